// Identity of a host and the intervals and timeouts of its exchange with other hosts.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cells {

struct HostSettings {
    /// Host and boot; unique across restarts.
    Common::DaemonId id;
    /// "IP:port" where it serves calls of other hosts, and where it receives heartbeats.
    std::string address;
    std::string heartbeatAddress;
    Common::DomainId domain;
    Common::RegionId region;
    /// All failure domains of the fleet.
    std::vector<Common::DomainId> domains;
    /// Heartbeat addresses known at the start; they may be out of date.
    std::vector<std::string> seeds;
    /// Capacity of the host for owning cells, in thousandths of a core.
    int64_t weight = 1000;

    Common::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// Interval during the discovery period after the start, so that hosts that start together find each other soon.
    Common::Duration startupHeartbeatInterval = std::chrono::milliseconds(150);
    /// A host without a heartbeat for this time is considered dead: four intervals, since datagrams get lost.
    Common::Duration hostTimeout = std::chrono::milliseconds(2000);
    /// Cells without an owner aren't claimed for this time after the start, while hosts don't know each other yet.
    Common::Duration startupGrace = std::chrono::milliseconds(700);
    /// The second-ranked host for a cell waits this long for the first, the third twice as long, and so on.
    Common::Duration claimStagger = std::chrono::milliseconds(700);
    /// A cell is handed over once another host has ranked first for this time.
    Common::Duration handOverDelay = std::chrono::seconds(6);
    /// The same for an owner that is late, whose lateness is smoothed already.
    Common::Duration reliefDelay = std::chrono::seconds(2);
    /// Pause between two watches of the platform's list of workers, in which each entry changes every second or two.
    Common::Duration workerListPause = std::chrono::milliseconds(800);
    /// Longest wait of one watch of that list. With the pause before it, the store client's timeout and the pause after
    /// a failure it takes less than the four seconds after which a host whose connection fell silent counts as well
    /// again.
    Common::Duration workerListWait = std::chrono::milliseconds(1500);
    Common::Duration tickInterval = std::chrono::milliseconds(200);
    /// Target number of workers per cell: a tenth of a core can place tasks for about this many.
    uint32_t workersPerCell = 20;
};

} // namespace Cells
