// The settings that one daemon reads at start (`lavendercartd --settings FILE`).
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Config/Checked.h"

#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// Addresses are "IP:port" with an IPv4 number. Members are initialized with the default of a setting that is left out.
struct DaemonSettings {
    /// The host's name. The DaemonId is made from it and the daemon's boot.
    std::string hostName;
    /// Port 0: any free port.
    std::string listenAddress;
    /// Where other daemons reach this one; the listen address if the setting is left out.
    std::string advertisedAddress;
    Common::DomainId domain;
    Common::RegionId region;
    std::string storeAddress;
    /// Daemons of any domain that are contacted at start.
    std::vector<std::string> seedPeers;

    std::string logLevel = "info";
    int64_t timelineCapacity = 20'000;

    Common::Duration heartbeatInterval = std::chrono::milliseconds(500);
    Common::Duration peerTimeout = std::chrono::milliseconds(2500);
    /// Lease of this daemon's membership entry in the store.
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
    /// Must be the same for all daemons, and can't be changed once jobs have been accepted.
    int64_t ledgerShards = 16;
    Common::Duration ledgerCommitInterval = std::chrono::milliseconds(100);

    int64_t maximumBodyBytes = int64_t { 16 } << 20;
    int64_t maximumConnections = 4096;
    /// Limits on the requests kept at once, queued or under way, and on the bytes of their bodies.
    int64_t maximumKeptRequests = 20'000;
    int64_t maximumKeptBytes = int64_t { 48 } << 20;
    /// What this daemon may send to other regions; 0 keeps all work in its own.
    int64_t interRegionBytesPerSecond = 250'000;
    /// Maximum time that a planned stop waits for running work.
    Common::Duration drainTimeout = std::chrono::seconds(60);

    bool operator==(const DaemonSettings&) const = default;

    /// Parses JSON with comments and checks the settings, each by itself and together.
    static Checked<DaemonSettings> parse(std::string_view text);
};

} // namespace Config
