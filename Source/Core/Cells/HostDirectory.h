// The other hosts, as their beats tell.
#pragma once

#include "Cells/HostBeat.h"
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

    void heard(HostBeat, Common::MonotonicTime now);
    /// Somebody told of a host that hears beats there.
    void introduce(const std::string& beatAddress, Common::MonotonicTime now);
    /// Drops hosts that were silent for long.
    void expire(Common::MonotonicTime now);

    bool alive(const Common::DaemonId&, Common::MonotonicTime now) const;
    /// A later process has taken the place of that one.
    bool replaced(const Common::DaemonId&) const;
    const HostBeat* find(const Common::DaemonId&) const;
    std::vector<const HostBeat*> live(Common::MonotonicTime now) const;
    /// Where beats go: to all hosts that are known, and to the seeds.
    std::set<std::string> beatAddresses() const;

private:
    struct Row {
        HostBeat beat;
        Common::MonotonicTime heardAt;
    };

    const HostSettings& m_settings;
    std::map<Common::DaemonId, Row> m_hosts;
    std::map<Common::DaemonId, Common::MonotonicTime> m_replaced;
    /// Told of by others, not heard yet.
    std::map<std::string, Common::MonotonicTime> m_rumoured;
};

} // namespace Cells
