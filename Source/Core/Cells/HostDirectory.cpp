// Hosts by their last beats.
#include "Cells/HostDirectory.h"

namespace Cells {

namespace {

    /// Beats still go to silent hosts for this long: they may be cut off or frozen.
    constexpr Common::Duration forgetAfter = std::chrono::seconds(60);
    constexpr Common::Duration rumourLifetime = std::chrono::seconds(5);

} // namespace

HostDirectory::HostDirectory(const HostSettings& settings)
    : m_settings(settings)
{
}

void HostDirectory::heard(HostBeat beat, Common::MonotonicTime now)
{
    if (beat.id == m_settings.id || m_replaced.contains(beat.id))
        return;
    for (auto row = m_hosts.begin(); row != m_hosts.end();) {
        const HostBeat& other = row->second.beat;
        if (other.address != beat.address || other.id == beat.id) {
            ++row;
            continue;
        }
        if (other.startedMilliseconds > beat.startedMilliseconds)
            return;
        m_replaced[other.id] = now;
        row = m_hosts.erase(row);
    }
    for (const std::string& address : beat.others)
        introduce(address, now);
    const Common::DaemonId id = beat.id;
    m_hosts[id] = Row { std::move(beat), now };
}

void HostDirectory::introduce(const std::string& beatAddress, Common::MonotonicTime now)
{
    m_rumoured[beatAddress] = now;
}

void HostDirectory::expire(Common::MonotonicTime now)
{
    std::erase_if(m_hosts, [now](const auto& row) { return now - row.second.heardAt > forgetAfter; });
    std::erase_if(m_rumoured, [now](const auto& row) { return now - row.second > rumourLifetime; });
    std::erase_if(m_replaced, [now](const auto& row) { return now - row.second > forgetAfter; });
}

bool HostDirectory::alive(const Common::DaemonId& id, Common::MonotonicTime now) const
{
    const auto row = m_hosts.find(id);
    return row != m_hosts.end() && now - row->second.heardAt < m_settings.hostSilence;
}

bool HostDirectory::replaced(const Common::DaemonId& id) const { return m_replaced.contains(id); }

const HostBeat* HostDirectory::find(const Common::DaemonId& id) const
{
    const auto row = m_hosts.find(id);
    return row == m_hosts.end() ? nullptr : &row->second.beat;
}

std::vector<const HostBeat*> HostDirectory::live(Common::MonotonicTime now) const
{
    std::vector<const HostBeat*> hosts;
    for (const auto& [id, row] : m_hosts) {
        if (now - row.heardAt < m_settings.hostSilence)
            hosts.push_back(&row.beat);
    }
    return hosts;
}

std::set<std::string> HostDirectory::beatAddresses() const
{
    std::set<std::string> addresses(m_settings.seeds.begin(), m_settings.seeds.end());
    for (const auto& [id, row] : m_hosts)
        addresses.insert(row.beat.beatAddress);
    for (const auto& [address, heardAt] : m_rumoured)
        addresses.insert(address);
    addresses.erase(m_settings.beatAddress);
    return addresses;
}

} // namespace Cells
