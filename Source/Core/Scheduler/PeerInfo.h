// What a daemon knows about another daemon.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <string>

namespace Scheduler {

struct PeerInfo {
    Common::DaemonId id;
    Common::DomainId domain;
    Common::RegionId region;
    /// "IP:port"; the same port serves callers and peers.
    std::string address;
    /// A draining daemon takes no new ownership and hands over what it owns.
    bool draining = false;
    Common::ConfigRevision configRevision;
    /// Load summary: capacity available for new work.
    int64_t freeSlots = 0;
    int64_t totalSlots = 0;
    int64_t queuedRequests = 0;
};

} // namespace Scheduler
