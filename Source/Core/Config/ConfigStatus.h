// Which daemon has which revision in force.
#pragma once

#include "Common/Units.h"
#include "Scheduler/PeerInfo.h"

#include <vector>

namespace Config {

struct ConfigStatus {
    struct Row {
        Scheduler::PeerInfo daemon;
        /// False: heard from lately, but not now.
        bool live = true;
        /// Has `latest` in force.
        bool current = false;
    };

    /// The highest revision that this daemon knows of.
    Common::ConfigRevision latest;
    std::vector<Row> rows;
};

} // namespace Config
