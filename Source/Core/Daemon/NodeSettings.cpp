// Conversion of the settings file to the services' settings.
#include "Daemon/NodeSettings.h"

#include "Config/DaemonSettings.h"

namespace Daemon {

namespace {

    std::chrono::milliseconds inMilliseconds(Common::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

} // namespace

NodeSettings toNodeSettings(const Config::DaemonSettings& from, const std::string& boot, const std::string& address)
{
    NodeSettings to;
    to.self.id = Common::DaemonId(from.hostName + "@" + boot);
    to.self.domain = from.domain;
    to.self.region = from.region;
    to.self.address = address;
    to.membership.heartbeatInterval = from.heartbeatInterval;
    to.membership.silentIntervals = std::max<int64_t>(2, from.peerTimeout / from.heartbeatInterval);
    to.membership.sessionTimeToLive = from.sessionTimeToLive;
    to.membership.renewInterval = from.sessionTimeToLive / 3;
    to.membership.seeds = from.seedPeers;
    to.fleet.ownership.startWindow = inMilliseconds(from.startWindow);
    to.fleet.ownership.claimTimeToLive = inMilliseconds(from.claimTimeToLive);
    to.fleet.syncInterval = from.syncInterval;
    to.fleet.syncTimeout = from.syncTimeout;
    to.fleet.taskLease = inMilliseconds(from.taskLease);
    to.fleet.hostListInterval = from.hostListInterval;
    to.ledger.shardCount = static_cast<uint32_t>(from.ledgerShards);
    to.ledger.longestTaskLease = from.taskLease * 2;
    to.config.watchWait = from.configWatchWait;
    to.config.storeTimeout = from.storeTimeout;
    to.config.historyKept = static_cast<uint64_t>(from.configHistoryKept);
    to.requests.maximumKeptRequests = static_cast<size_t>(from.maximumKeptRequests);
    to.requests.maximumKeptBytes = static_cast<size_t>(from.maximumKeptBytes);
    to.tasks.taskLease = inMilliseconds(from.taskLease);
    to.interRegionBytesPerSecond = static_cast<double>(from.interRegionBytesPerSecond);
    to.drainTimeout = from.drainTimeout;
    return to;
}

} // namespace Daemon
