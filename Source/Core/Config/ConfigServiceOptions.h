// Times and bounds of the configuration service.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Config {

struct DaemonSettings;

/// With these defaults a change is in force within 12 s on every daemon that can be reached, also when one watch is
/// lost: watchWait + watchGrace + storeTimeout + a heartbeat + pollInterval + peerTimeout.
struct ConfigServiceOptions {
    /// How long one watch waits in the store, and how much longer the watcher waits for its answer.
    Common::Duration watchWait = std::chrono::seconds(4);
    Common::Duration watchGrace = std::chrono::seconds(1);
    /// The watcher reads the document this often even if its watches yield nothing.
    Common::Duration readInterval = std::chrono::minutes(2);
    /// Bound on one call to the store and pause after one that failed.
    Common::Duration storeTimeout = std::chrono::seconds(2);
    Common::Duration storePause = std::chrono::seconds(1);
    /// How often the peers' revisions are looked at, and the bound on fetching a document from one.
    Common::Duration pollInterval = std::chrono::milliseconds(500);
    Common::Duration peerTimeout = std::chrono::seconds(2);
    /// A daemon that is not its domain's watcher waits this long for its own domain before it asks another.
    Common::Duration outsideDelay = std::chrono::seconds(2);
    /// How long apply() goes on resolving lost answers.
    Common::Duration applyTimeout = std::chrono::seconds(10);
    /// Entries kept under config/history.
    uint64_t historyKept = 200;
    /// How long a daemon that is no longer heard from stays in the status.
    Common::Duration statusRetention = std::chrono::minutes(10);

    static ConfigServiceOptions from(const DaemonSettings&);
};

} // namespace Config
