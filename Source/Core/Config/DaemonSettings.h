// The settings that one daemon reads at start (`lavendercartd --settings FILE`).
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Config/Checked.h"

#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// Addresses are "IP:port" with an IPv4 number. The defaults are those of a setting left out of the file.
struct DaemonSettings {
    /// The host's name. The daemon makes its DaemonId from this and its boot.
    std::string hostName;
    /// Port 0 takes a free one.
    std::string listenAddress;
    /// Where others reach this daemon; the listen address if left out.
    std::string advertisedAddress;
    Common::DomainId domain;
    Common::RegionId region;
    std::string storeAddress;
    /// Daemons to ask at first, of any domain.
    std::vector<std::string> seedPeers;

    std::string logLevel = "info";
    int64_t timelineCapacity = 20'000;

    Common::Duration heartbeatInterval = std::chrono::milliseconds(500);
    Common::Duration peerTimeout = std::chrono::milliseconds(2500);
    /// Lease of this daemon's entry among the members in the store.
    Common::Duration sessionTimeToLive = std::chrono::seconds(10);

    Common::Duration hostListInterval = std::chrono::seconds(2);
    Common::Duration syncInterval = std::chrono::seconds(1);
    Common::Duration syncTimeout = std::chrono::milliseconds(800);
    Common::Duration startWindow = std::chrono::seconds(3);
    Common::Duration claimTimeToLive = std::chrono::seconds(6);
    Common::Duration taskLease = std::chrono::seconds(15);
    int64_t connectionsPerWorker = 60;

    Common::Duration storeTimeout = std::chrono::seconds(2);
    Common::Duration configWatchWait = std::chrono::seconds(4);
    int64_t configHistoryKept = 200;
    /// The same for all daemons of the system, for ever.
    int64_t ledgerShards = 16;
    Common::Duration ledgerCommitInterval = std::chrono::milliseconds(100);

    int64_t maximumBodyBytes = int64_t { 16 } << 20;
    int64_t maximumConnections = 4096;
    /// Requests kept at once, queued or under way, and the bytes of their bodies.
    int64_t maximumKeptRequests = 20'000;
    int64_t maximumKeptBytes = int64_t { 48 } << 20;
    /// What this daemon may send over the link between regions.
    int64_t interRegionBytesPerSecond = 250'000;
    /// The longest that a planned stop waits for what runs.
    Common::Duration drainTimeout = std::chrono::seconds(60);

    bool operator==(const DaemonSettings&) const = default;

    /// Reads JSON with comments and checks it as a whole.
    static Checked<DaemonSettings> parse(std::string_view text);
};

} // namespace Config
