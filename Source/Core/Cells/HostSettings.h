// What a host is told about itself, and the pace of its talk with others.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cells {

struct HostSettings {
    /// Host and boot; unique over restarts.
    Common::DaemonId id;
    /// "IP:port" where it serves peers, and where it hears beats.
    std::string address;
    std::string heartbeatAddress;
    Common::DomainId domain;
    Common::RegionId region;
    /// All failure domains of the fleet.
    std::vector<Common::DomainId> domains;
    /// Beat addresses to begin with; they may be out of date.
    std::vector<std::string> seeds;
    /// What the host can carry, in thousandths of a core.
    int64_t weight = 1000;

    Common::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// Between beats during the first second, so that hosts that start together find each other soon.
    Common::Duration startupHeartbeatInterval = std::chrono::milliseconds(150);
    /// A host that wasn't heard for this long is taken for dead: four beats, since datagrams get lost.
    Common::Duration hostTimeout = std::chrono::milliseconds(2000);
    /// Cells without an owner aren't claimed in the first moments, when hosts don't know each other yet.
    Common::Duration startupGrace = std::chrono::milliseconds(700);
    /// The second choice for a cell waits this long for the first, the third twice as long, and so on.
    Common::Duration claimStagger = std::chrono::milliseconds(700);
    /// A cell is handed over once another host has been the first choice for this long.
    Common::Duration handOverDelay = std::chrono::seconds(6);
    /// Pause between two readings of changes in the platform's list of workers: each worker's entry changes every
    /// second or two.
    Common::Duration workerListPause = std::chrono::milliseconds(800);
    Common::Duration workerListWait = std::chrono::seconds(10);
    Common::Duration tickInterval = std::chrono::milliseconds(200);
    /// Workers that one cell is made for: a tenth of a core places for about this many.
    uint32_t workersPerCell = 20;
};

} // namespace Cells
