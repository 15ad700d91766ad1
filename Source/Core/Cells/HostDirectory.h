// The other hosts of the fleet by their heartbeats. CellOwnership updates it; RelayedStore picks relays from it.
#pragma once

#include "Cells/HostHeartbeat.h"
#include "Cells/HostSettings.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Cells {

/// Of several processes at one address only the one that started last is kept.
class HostDirectory {
public:
    explicit HostDirectory(const HostSettings&);

    /// `text` is the heartbeat as it was received.
    void recordHeartbeat(HostHeartbeat, std::string_view text, Common::MonotonicTime now);
    /// Records a heartbeat whose text equals the last one of a live host that neither owns nor changes cells, without
    /// decoding it. Returns that host's heartbeat; null for any other text, which must be decoded and recorded.
    const HostHeartbeat* recordRepeatedHeartbeat(std::string_view text, Common::MonotonicTime now);
    /// Another host or a cell record mentions a host that receives heartbeats at this address.
    void learnAddress(const std::string& heartbeatAddress, Common::MonotonicTime now);
    /// Drops hosts and addresses without a recent heartbeat or mention.
    void expire(Common::MonotonicTime now);

    bool isAlive(const Common::DaemonId&, Common::MonotonicTime now) const;
    /// Whether a process with a later start was seen at the same address.
    bool isReplaced(const Common::DaemonId&) const;
    const HostHeartbeat* find(const Common::DaemonId&) const;
    std::vector<const HostHeartbeat*> liveHosts(Common::MonotonicTime now) const;
    /// Destinations of heartbeats: known hosts, learned addresses and the seeds, without this host.
    std::set<std::string> heartbeatAddresses() const;

private:
    struct Row {
        HostHeartbeat heartbeat;
        Common::MonotonicTime lastHeartbeatAt;
        /// The heartbeat as it was received; empty if the host owns or changes cells.
        std::string text;
    };

    bool isAlive(const Row&, Common::MonotonicTime now) const;

    const HostSettings& m_settings;
    std::map<Common::DaemonId, Row> m_hosts;
    std::map<Common::DaemonId, Common::MonotonicTime> m_replaced;
    /// Addresses mentioned by others, with the time of the last mention.
    std::map<std::string, Common::MonotonicTime> m_learnedAddresses;
};

} // namespace Cells
