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

    void recordHeartbeat(HostHeartbeat, Common::MonoTime now);
    /// Somebody told of a host that hears beats there.
    void learnAddress(const std::string& heartbeatAddress, Common::MonoTime now);
    /// Drops hosts that were silent for long.
    void expire(Common::MonoTime now);

    bool isAlive(const Common::DaemonId&, Common::MonoTime now) const;
    /// A later process has taken the place of that one.
    bool isReplaced(const Common::DaemonId&) const;
    const HostHeartbeat* find(const Common::DaemonId&) const;
    std::vector<const HostHeartbeat*> liveHosts(Common::MonoTime now) const;
    /// Where beats go: to all hosts that are known, and to the seeds.
    std::set<std::string> heartbeatAddresses() const;

private:
    struct Row {
        HostHeartbeat heartbeat;
        Common::MonoTime lastHeartbeatAt;
    };

    const HostSettings& m_settings;
    std::map<Common::DaemonId, Row> m_hosts;
    std::map<Common::DaemonId, Common::MonoTime> m_replaced;
    /// Told of by others, not heard yet.
    std::map<std::string, Common::MonoTime> m_learnedAddresses;
};

} // namespace Cells
