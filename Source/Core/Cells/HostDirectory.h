// The other hosts, as their beats tell.
#pragma once

#include "Cells/HostHeartbeat.h"
#include "Cells/HostSettings.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Cells {

/// Of several processes at one address only the one that started last counts.
class HostDirectory {
public:
    explicit HostDirectory(const HostSettings&);

    void recordHeartbeat(HostHeartbeat, Common::MonotonicTime now);
    /// Somebody told of a host that hears beats there.
    void learnAddress(const std::string& heartbeatAddress, Common::MonotonicTime now);
    /// Drops hosts that were silent for long.
    void expire(Common::MonotonicTime now);

    bool isAlive(const Common::DaemonId&, Common::MonotonicTime now) const;
    /// A later process has taken the place of that one.
    bool isReplaced(const Common::DaemonId&) const;
    const HostHeartbeat* find(const Common::DaemonId&) const;
    std::vector<const HostHeartbeat*> liveHosts(Common::MonotonicTime now) const;
    /// Where beats go: to all hosts that are known, and to the seeds.
    std::set<std::string> heartbeatAddresses() const;

private:
    struct Row {
        HostHeartbeat heartbeat;
        Common::MonotonicTime lastHeartbeatAt;
    };

    const HostSettings& m_settings;
    std::map<Common::DaemonId, Row> m_hosts;
    std::map<Common::DaemonId, Common::MonotonicTime> m_replaced;
    /// Told of by others, not heard yet.
    std::map<std::string, Common::MonotonicTime> m_learnedAddresses;
};

} // namespace Cells
