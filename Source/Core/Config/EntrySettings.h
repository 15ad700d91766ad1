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
    /// The host's name. The process makes its DaemonId from this and its boot.
    std::string hostName;
    Common::DomainId domain;
    Common::RegionId region;
    std::string callsAddress;
    std::string readinessAddress;
    std::string peersAddress;
    /// Empty: metrics are served on the peers' address only.
    std::string metricsAddress;
    int64_t heartbeatPort = 0;
    std::string storeAddress;
    /// Peers' addresses of hosts to begin with; they may be out of date.
    std::vector<std::string> seeds;
    /// Share of a core, and how many times as fast as a usual one.
    double processorShare = 1;
    double processorSpeed = 1;
    Common::Duration longestRunLease = std::chrono::seconds(10);
    /// How many times as long tasks that belong on one rack take on several.
    double spreadSlowdown = 2;
    /// From the signal to stop until the process is killed.
    Common::Duration stopGrace = std::chrono::seconds(6);
    std::string logLevel = "info";

    static Checked<EntrySettings> parse(std::string_view text);
};

} // namespace Config
