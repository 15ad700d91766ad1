// The settings that an entry host's process reads at start (`lavendercart-entry --settings FILE`).
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Config/Checked.h"

#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// Addresses are "IP:port" with an IPv4 number.
struct EntrySettings {
    /// The host's name. The DaemonId is made from it and the boot of the process.
    std::string hostName;
    Common::DomainId domain;
    Common::RegionId region;
    std::string callsAddress;
    std::string readinessAddress;
    std::string peersAddress;
    /// Empty: metrics are served on `peersAddress` only.
    std::string metricsAddress;
    /// UDP port for heartbeats between hosts; the same on all hosts.
    int64_t heartbeatPort = 0;
    std::string storeAddress;
    /// Peer addresses of hosts that are contacted at start; they may be out of date.
    std::vector<std::string> seeds;
    /// Cores that the process has, and the speed of such a core as a multiple of a usual one.
    double processorShare = 1;
    double processorSpeed = 1;
    /// The longest lease that workers grant to runs.
    Common::Duration longestRunLease = std::chrono::seconds(10);
    /// How many times longer tasks that belong on one rack run when they are spread over several.
    double spreadSlowdown = 2;
    /// Target number of workers of a cell; counts when the layout is written, by the first host that ever starts.
    int64_t workersPerCell = 20;
    /// How long the state of a job that has ended is told at least.
    Common::Duration statusRetention = std::chrono::seconds(120);
    /// Time from the stop signal until the process is killed.
    Common::Duration stopGrace = std::chrono::seconds(6);
    std::string logLevel = "info";

    /// Parses JSON with comments and checks every setting.
    static Checked<EntrySettings> parse(std::string_view text);
};

} // namespace Config
