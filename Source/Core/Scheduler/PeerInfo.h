// What a daemon knows of another daemon.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <string>

namespace Scheduler {

struct PeerInfo {
    Common::DaemonId id;
    Common::DomainId domain;
    Common::RegionId region;
    /// "IP:port", one port for callers and peers alike.
    std::string address;
    /// A draining daemon owns nothing new and hands over what it owns.
    bool draining = false;
    Common::ConfigRevision configRevision;
    /// Load summary: capacity that could take work now.
    int64_t freeSlots = 0;
    int64_t totalSlots = 0;
    int64_t queuedRequests = 0;
};

} // namespace Scheduler
