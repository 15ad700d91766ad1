// Checks quotas against local and remote usage.
#include "Ledger/TeamUsage.h"

#include <algorithm>
#include <utility>

namespace Ledger {

namespace {

    struct Amounts {
        int64_t wanted = 0;
        int64_t quota = 0;
        int64_t local = 0;
        int64_t localAtExchange = 0;
        int64_t remote = 0;
    };

    bool isWithinQuota(const Amounts& amounts, uint32_t owners)
    {
        if (amounts.quota == 0)
            return true;
        if (amounts.local + amounts.remote + amounts.wanted > amounts.quota)
            return false;
        const int64_t left = std::max<int64_t>(0, amounts.quota - amounts.remote - amounts.localAtExchange);
        const int64_t growth = std::max<int64_t>(0, amounts.local - amounts.localAtExchange);
        return growth == 0 || growth + amounts.wanted <= left / owners;
    }

    Common::Resources amountOf(
        const std::map<Common::TeamName, Common::Resources>& amounts, const Common::TeamName& team)
    {
        const auto found = amounts.find(team);
        return found == amounts.end() ? Common::Resources {} : found->second;
    }

} // namespace

void TeamUsage::add(const Common::TeamName& team, const Common::Resources& amount) { m_local[team] += amount; }

void TeamUsage::subtract(const Common::TeamName& team, const Common::Resources& amount)
{
    Common::Resources& held = m_local[team];
    held -= amount;
    if (held == Common::Resources {})
        m_local.erase(team);
}

void TeamUsage::setRemote(std::map<Common::TeamName, Common::Resources> remote, uint32_t owners)
{
    m_remote = std::move(remote);
    m_localAtExchange = m_local;
    m_owners = std::max<uint32_t>(1, owners);
}

bool TeamUsage::allows(
    const Common::TeamName& team, const Common::Resources& wanted, const Common::Resources& quota) const
{
    const Common::Resources local = amountOf(m_local, team);
    const Common::Resources atExchange = amountOf(m_localAtExchange, team);
    const Common::Resources remote = amountOf(m_remote, team);
    const auto member = [&](int64_t Common::Resources::*amount) {
        return isWithinQuota(
            { wanted.*amount, quota.*amount, local.*amount, atExchange.*amount, remote.*amount }, m_owners);
    };
    return member(&Common::Resources::slots) && member(&Common::Resources::milliCores)
        && member(&Common::Resources::memoryMegabytes) && member(&Common::Resources::accelerators);
}

} // namespace Ledger
