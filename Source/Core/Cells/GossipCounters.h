// Counters of the exchange between hosts, for metrics and tests.
#pragma once

#include <cstdint>

namespace Cells {

struct GossipCounters {
    uint64_t messagesSent = 0;
    uint64_t bytesSent = 0;
    uint64_t messagesReceived = 0;
    uint64_t bytesReceived = 0;
    /// Host states that were decoded; frames whose content is known already aren't.
    uint64_t statesDecoded = 0;
    /// Messages that can't be read.
    uint64_t unreadable = 0;
    /// Reports of this host that another one is silent.
    uint64_t silencesReported = 0;
    /// Reports of this host's silence that it has refuted.
    uint64_t silencesRefuted = 0;
};

} // namespace Cells
