// What each team's batch tasks hold, against its quota.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"

#include <cstdint>
#include <map>

namespace Ledger {

/// Of this process's shards exactly, of other daemons' as they last told. Between two exchanges each daemon that owns
/// shards may add its equal share of what was left, or one task. So a quota is passed by at most one task a daemon.
class TeamUsage {
public:
    void add(const Common::TeamName&, const Common::Resources&);
    void subtract(const Common::TeamName&, const Common::Resources&);
    /// `owners` is the number of daemons that own shards, this one included.
    void setRemote(std::map<Common::TeamName, Common::Resources> remote, uint32_t owners);
    const std::map<Common::TeamName, Common::Resources>& local() const { return m_local; }
    /// True when the team may hold `wanted` as well. Zero in a member of the quota means no limit there.
    bool allows(const Common::TeamName&, const Common::Resources& wanted, const Common::Resources& quota) const;

private:
    std::map<Common::TeamName, Common::Resources> m_local;
    std::map<Common::TeamName, Common::Resources> m_remote;
    /// What this process's shards held at the last exchange.
    std::map<Common::TeamName, Common::Resources> m_localThen;
    uint32_t m_owners = 1;
};

} // namespace Ledger
