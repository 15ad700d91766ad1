// Tracks the resources that each team's batch tasks hold, and checks them against the team's quota.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"

#include <cstdint>
#include <map>

namespace Ledger {

/// Usage of this process's shards is exact; usage of other daemons is what they last reported. Between two exchanges
/// each daemon that owns shards may add an equal share of the remaining quota, or one task. So a quota is exceeded by
/// at most one task per daemon.
class TeamUsage {
public:
    void add(const Common::TeamName&, const Common::Resources&);
    void subtract(const Common::TeamName&, const Common::Resources&);
    /// Sets the usage of the other daemons. `owners` is the number of daemons that own shards, including this one.
    void setRemote(std::map<Common::TeamName, Common::Resources> remote, uint32_t owners);
    const std::map<Common::TeamName, Common::Resources>& local() const { return m_local; }
    /// Returns true if the team may hold `wanted` in addition. A zero member of the quota means no limit.
    bool allows(const Common::TeamName&, const Common::Resources& wanted, const Common::Resources& quota) const;

private:
    std::map<Common::TeamName, Common::Resources> m_local;
    std::map<Common::TeamName, Common::Resources> m_remote;
    /// Usage of this process's shards at the last exchange.
    std::map<Common::TeamName, Common::Resources> m_localAtExchange;
    uint32_t m_owners = 1;
};

} // namespace Ledger
