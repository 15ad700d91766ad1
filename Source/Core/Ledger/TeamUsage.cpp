// Sums of local and remote use.
#include "Ledger/TeamUsage.h"

namespace Ledger {

namespace {

    bool within(int64_t used, int64_t quota) { return quota == 0 || used <= quota; }

} // namespace

void TeamUsage::add(const Common::TeamName& team, const Common::Resources& amount) { m_local[team] += amount; }

void TeamUsage::subtract(const Common::TeamName& team, const Common::Resources& amount)
{
    Common::Resources& held = m_local[team];
    held -= amount;
    if (held == Common::Resources {})
        m_local.erase(team);
}

bool TeamUsage::allows(
    const Common::TeamName& team, const Common::Resources& wanted, const Common::Resources& quota) const
{
    Common::Resources used = wanted;
    if (const auto held = m_local.find(team); held != m_local.end())
        used += held->second;
    if (const auto held = m_remote.find(team); held != m_remote.end())
        used += held->second;
    return within(used.slots, quota.slots) && within(used.milliCores, quota.milliCores)
        && within(used.memoryMegabytes, quota.memoryMegabytes) && within(used.accelerators, quota.accelerators);
}

} // namespace Ledger
