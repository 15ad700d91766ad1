// Intervals, timeouts and limits of the configuration service.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Config {

struct DaemonSettings;

/// With these defaults a change is in force within 12 s on every reachable daemon, also when one watch is lost:
/// watchWait + watchGrace + storeTimeout + a heartbeat + pollInterval + peerTimeout.
struct ConfigServiceOptions {
    /// How long one watch waits in the store, and how much longer the watcher waits for the answer.
    Common::Duration watchWait = std::chrono::seconds(4);
    Common::Duration watchGrace = std::chrono::seconds(1);
    /// The watcher also reads the document at this interval, even if its watches yield nothing.
    Common::Duration readInterval = std::chrono::minutes(2);
    /// Timeout of one call to the store, and the pause after a failed call.
    Common::Duration storeTimeout = std::chrono::seconds(2);
    Common::Duration storePause = std::chrono::seconds(1);
    /// Interval of checks of the peers' revisions, and the timeout of fetching a document from a peer.
    Common::Duration pollInterval = std::chrono::milliseconds(500);
    Common::Duration peerTimeout = std::chrono::seconds(2);
    /// A daemon that is not its domain's watcher waits this long for a peer of its own domain to have the revision
    /// before it asks another domain.
    Common::Duration otherDomainDelay = std::chrono::seconds(2);
    /// How long apply() retries after lost answers.
    Common::Duration applyTimeout = std::chrono::seconds(10);
    /// Number of entries kept under config/history.
    uint64_t historyKept = 200;
    /// How long a daemon stays in the status after it was last live.
    Common::Duration statusRetention = std::chrono::minutes(10);

    static ConfigServiceOptions from(const DaemonSettings&);
};

} // namespace Config
