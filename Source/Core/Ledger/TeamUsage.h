// What each team's batch tasks hold, against its quota.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"

#include <map>

namespace Ledger {

/// Of this process's shards exactly, of other daemons' as they last told. So a quota can be passed by what two daemons
/// start between two exchanges.
class TeamUsage {
public:
    void add(const Common::TeamName&, const Common::Resources&);
    void subtract(const Common::TeamName&, const Common::Resources&);
    void setRemote(std::map<Common::TeamName, Common::Resources> remote) { m_remote = std::move(remote); }
    const std::map<Common::TeamName, Common::Resources>& local() const { return m_local; }
    /// True when the team may hold `wanted` as well. Zero in a member of the quota means no limit there.
    bool allows(const Common::TeamName&, const Common::Resources& wanted, const Common::Resources& quota) const;

private:
    std::map<Common::TeamName, Common::Resources> m_local;
    std::map<Common::TeamName, Common::Resources> m_remote;
};

} // namespace Ledger
