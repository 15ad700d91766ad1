// Records heartbeats and expires silent hosts.
#include "Cells/HostDirectory.h"

namespace Cells {

namespace {

    /// Heartbeats are still sent to silent hosts for this time: they may be partitioned or paused.
    constexpr Common::Duration hostRetention = std::chrono::seconds(60);
    constexpr Common::Duration learnedAddressLifetime = std::chrono::seconds(5);

} // namespace

HostDirectory::HostDirectory(const HostSettings& settings)
    : m_settings(settings)
{
}

void HostDirectory::recordHeartbeat(HostHeartbeat heartbeat, std::string_view text, Common::MonotonicTime now)
{
    if (heartbeat.id == m_settings.id || m_replaced.contains(heartbeat.id))
        return;
    for (auto row = m_hosts.begin(); row != m_hosts.end();) {
        const HostHeartbeat& other = row->second.heartbeat;
        if (other.address != heartbeat.address || other.id == heartbeat.id) {
            ++row;
            continue;
        }
        if (other.startedAtMilliseconds > heartbeat.startedAtMilliseconds)
            return;
        m_replaced[other.id] = now;
        row = m_hosts.erase(row);
    }
    for (const std::string& address : heartbeat.knownAddresses)
        learnAddress(address, now);
    const Common::DaemonId id = heartbeat.id;
    const bool changesCells = !heartbeat.cells.empty() || !heartbeat.released.empty() || !heartbeat.transitioningCells
        || !heartbeat.transitioningCells->empty();
    m_hosts[id] = Row { std::move(heartbeat), now, changesCells ? std::string() : std::string(text) };
}

const HostHeartbeat* HostDirectory::recordRepeatedHeartbeat(std::string_view text, Common::MonotonicTime now)
{
    for (auto& [id, row] : m_hosts) {
        if (row.text.empty() || row.text != text || !isAlive(row, now))
            continue;
        row.lastHeartbeatAt = now;
        for (const std::string& address : row.heartbeat.knownAddresses)
            learnAddress(address, now);
        return &row.heartbeat;
    }
    return nullptr;
}

void HostDirectory::learnAddress(const std::string& heartbeatAddress, Common::MonotonicTime now)
{
    m_learnedAddresses[heartbeatAddress] = now;
}

void HostDirectory::expire(Common::MonotonicTime now)
{
    std::erase_if(m_hosts, [now](const auto& row) { return now - row.second.lastHeartbeatAt > hostRetention; });
    std::erase_if(m_learnedAddresses, [now](const auto& row) { return now - row.second > learnedAddressLifetime; });
    std::erase_if(m_replaced, [now](const auto& row) { return now - row.second > hostRetention; });
}

bool HostDirectory::isAlive(const Common::DaemonId& id, Common::MonotonicTime now) const
{
    const auto row = m_hosts.find(id);
    return row != m_hosts.end() && isAlive(row->second, now);
}

bool HostDirectory::isAlive(const Row& row, Common::MonotonicTime now) const
{
    return now - row.lastHeartbeatAt < m_settings.hostTimeout;
}

bool HostDirectory::isReplaced(const Common::DaemonId& id) const { return m_replaced.contains(id); }

const HostHeartbeat* HostDirectory::find(const Common::DaemonId& id) const
{
    const auto row = m_hosts.find(id);
    return row == m_hosts.end() ? nullptr : &row->second.heartbeat;
}

std::vector<const HostHeartbeat*> HostDirectory::liveHosts(Common::MonotonicTime now) const
{
    std::vector<const HostHeartbeat*> hosts;
    for (const auto& [id, row] : m_hosts) {
        if (isAlive(row, now))
            hosts.push_back(&row.heartbeat);
    }
    return hosts;
}

std::set<std::string> HostDirectory::heartbeatAddresses() const
{
    std::set<std::string> addresses(m_settings.seeds.begin(), m_settings.seeds.end());
    for (const auto& [id, row] : m_hosts)
        addresses.insert(row.heartbeat.heartbeatAddress);
    for (const auto& [address, lastHeartbeatAt] : m_learnedAddresses)
        addresses.insert(address);
    addresses.erase(m_settings.heartbeatAddress);
    return addresses;
}

} // namespace Cells
