// Which daemon has which revision of the configuration in force.
#pragma once

#include "Common/Units.h"
#include "Scheduler/PeerInfo.h"

#include <vector>

namespace Config {

struct ConfigStatus {
    struct Row {
        Scheduler::PeerInfo daemon;
        /// False: the daemon was live recently, but is not now.
        bool live = true;
        /// Has `latest` in force; false for every daemon if there is no revision.
        bool current = false;
    };

    /// The highest revision that this daemon knows of; zero if none.
    Common::ConfigRevision latest;
    std::vector<Row> rows;
};

} // namespace Config
