// Records states and silence of hosts and expires silent ones.
#include "Cells/HostDirectory.h"

#include "Common/Hash.h"

#include <utility>

namespace Cells {

namespace {

    /// Silent hosts are kept for this time, so that an old message about them isn't taken for news.
    constexpr Common::Duration hostRetention = std::chrono::seconds(60);
    constexpr Common::Duration learnedAddressLifetime = std::chrono::seconds(5);
    /// A host that this many others don't hear is dead; a single one may be cut off from it.
    constexpr size_t sufficientReporters = 2;

} // namespace

HostDirectory::HostDirectory(const HostSettings& settings)
    : m_settings(settings)
{
}

HostDirectory::Key HostDirectory::keyOf(const Common::DaemonId& id) { return Common::stableHash(id.value()); }

bool HostDirectory::recordState(HostState state, uint64_t version, std::string frame, Common::MonotonicTime now)
{
    const Key key = keyOf(state.id);
    const auto known = m_rows.find(key);
    if (state.id == m_settings.id || state.address == m_settings.address || m_replaced.contains(state.id)
        || (known != m_rows.end() && known->second.version >= version && !known->second.isEarlierRelease))
        return false;
    if (const Row* const other = rowAt(state.address);
        other && other->key != key && other->state.startedAtMilliseconds > state.startedAtMilliseconds)
        return false;
    removeOthersAt(state, now);
    m_addresses[state.address] = key;
    m_regions[state.domain] = state.region;
    Row& row = m_rows[key];
    row.key = key;
    row.state = std::move(state);
    row.version = version;
    row.frame = std::move(frame);
    row.silenceReporters.clear();
    row.isSilenceConfirmed = false;
    row.isEarlierRelease = false;
    ++m_changes;
    return true;
}

void HostDirectory::recordEarlierRelease(HostState state, Common::MonotonicTime now)
{
    const Key key = keyOf(state.id);
    if (const Row* const known = row(key); !known || known->state != state || !known->isEarlierRelease) {
        if (!recordState(std::move(state), (known ? known->version : 0) + 1, {}, now))
            return;
        m_rows.at(key).isEarlierRelease = true;
    }
    recordContact(key, now);
}

/// Forgets processes that ran earlier at the state's address.
void HostDirectory::removeOthersAt(const HostState& state, Common::MonotonicTime now)
{
    const auto other = m_addresses.find(state.address);
    if (other == m_addresses.end())
        return;
    const auto row = m_rows.find(other->second);
    if (row == m_rows.end() || row->second.state.id == state.id)
        return;
    m_replaced[row->second.state.id] = now;
    m_dead.erase(row->first);
    m_rows.erase(row);
}

void HostDirectory::recordContact(Key key, Common::MonotonicTime now)
{
    const auto row = m_rows.find(key);
    if (row == m_rows.end())
        return;
    row->second.heardAt = now;
    m_lastContactAt = now;
}

bool HostDirectory::recordSilence(Key key, uint64_t version, Key reporter, bool isConfirmed, Common::MonotonicTime now)
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end() || found->second.version != version || found->second.isEarlierRelease)
        return false;
    Row& row = found->second;
    if (row.silenceReporters.empty())
        row.silentSince = now;
    const bool isNews = row.silenceReporters.insert(reporter).second || (isConfirmed && !row.isSilenceConfirmed);
    row.isSilenceConfirmed = row.isSilenceConfirmed || isConfirmed;
    return isNews;
}

void HostDirectory::learnAddress(const std::string& heartbeatAddress, Common::MonotonicTime now)
{
    m_learnedAddresses[heartbeatAddress] = now;
}

void HostDirectory::expire(Common::MonotonicTime now)
{
    for (auto row = m_rows.begin(); row != m_rows.end();) {
        const bool isDead = !isAlive(row->second, now);
        if (isDead ? m_dead.insert(row->first).second : m_dead.erase(row->first) > 0)
            ++m_changes;
        const Common::MonotonicTime since
            = row->second.isEarlierRelease ? row->second.heardAt.value_or(now) : row->second.silentSince;
        const bool isGone = isDead && now - since > hostRetention
            && (row->second.isEarlierRelease || !row->second.silenceReporters.empty());
        if (!isGone) {
            ++row;
            continue;
        }
        m_dead.erase(row->first);
        if (const auto address = m_addresses.find(row->second.state.address);
            address != m_addresses.end() && address->second == row->first)
            m_addresses.erase(address);
        row = m_rows.erase(row);
    }
    std::erase_if(m_learnedAddresses, [now](const auto& row) { return now - row.second > learnedAddressLifetime; });
    std::erase_if(m_replaced, [now](const auto& row) { return now - row.second > hostRetention; });
}

bool HostDirectory::isAlive(const Common::DaemonId& id, Common::MonotonicTime now) const
{
    const Row* const known = row(keyOf(id));
    return known && isAlive(*known, now);
}

bool HostDirectory::isAlive(const Row& row, Common::MonotonicTime now) const
{
    if (isHeard(row, now))
        return true;
    if (row.isEarlierRelease || !hearsAnyone(now))
        return false;
    return !row.isSilenceConfirmed && row.silenceReporters.size() < sufficientReporters
        && (row.silenceReporters.empty() || now - row.silentSince < m_settings.hostTimeout);
}

bool HostDirectory::hearsAnyone(Common::MonotonicTime now) const
{
    return m_lastContactAt && now - *m_lastContactAt < m_settings.hostTimeout;
}

bool HostDirectory::isHeard(const Row& row, Common::MonotonicTime now) const
{
    return row.heardAt && now - *row.heardAt < m_settings.hostTimeout;
}

bool HostDirectory::isReplaced(const Common::DaemonId& id) const { return m_replaced.contains(id); }

const HostState* HostDirectory::find(const Common::DaemonId& id) const
{
    const Row* const known = row(keyOf(id));
    return known ? &known->state : nullptr;
}

const HostDirectory::Row* HostDirectory::row(Key key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? nullptr : &found->second;
}

const HostDirectory::Row* HostDirectory::rowAt(const std::string& address) const
{
    const auto found = m_addresses.find(address);
    return found == m_addresses.end() ? nullptr : row(found->second);
}

std::vector<const HostState*> HostDirectory::liveHosts(Common::MonotonicTime now) const
{
    std::vector<const HostState*> hosts;
    for (const auto& [key, row] : m_rows) {
        if (isAlive(row, now))
            hosts.push_back(&row.state);
    }
    return hosts;
}

Common::RegionId HostDirectory::regionOf(const Common::DomainId& domain) const
{
    if (domain == m_settings.domain)
        return m_settings.region;
    const auto found = m_regions.find(domain);
    return found == m_regions.end() ? Common::RegionId {} : found->second;
}

std::set<std::string> HostDirectory::unknownAddresses(Common::MonotonicTime now) const
{
    std::set<std::string> addresses(m_settings.seeds.begin(), m_settings.seeds.end());
    for (const auto& [address, mentionedAt] : m_learnedAddresses)
        addresses.insert(address);
    for (const auto& [key, row] : m_rows) {
        if (isHeard(row, now) || (isAlive(row, now) && hearsAnyone(now)))
            addresses.erase(row.state.heartbeatAddress);
    }
    addresses.erase(m_settings.heartbeatAddress);
    return addresses;
}

} // namespace Cells
