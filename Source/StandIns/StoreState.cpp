// The store stand-in's data: keys, leases, watches and the host list.
#include "StandIns/StoreState.h"

#include <utility>

namespace StandIns {

namespace {

    using Common::ErrorCode;
    using Common::Failure;

    Failure conflict(const std::string& key, Common::StoreRevision found)
    {
        return { ErrorCode::RevisionConflict, key + " has revision " + std::to_string(found.value), std::nullopt };
    }

    Failure noLease(const Common::LeaseId& lease)
    {
        return { ErrorCode::NoAuthority, "lease " + lease.value() + " has expired", std::nullopt };
    }

} // namespace

StoreState::StoreState(Clock clock, Common::Duration hostListLag)
    : m_clock(std::move(clock))
    , m_hostListLag(hostListLag)
{
}

std::optional<Scheduler::StoreValue> StoreState::get(const std::string& key)
{
    expireLeases();
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return std::nullopt;
    return found->second.value;
}

std::vector<Scheduler::StoreValue> StoreState::list(const std::string& prefix)
{
    expireLeases();
    std::vector<Scheduler::StoreValue> values;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end(); ++entry) {
        if (!entry->first.starts_with(prefix))
            break;
        values.push_back(entry->second.value);
    }
    return values;
}

Common::Result<Common::StoreRevision> StoreState::put(const std::string& key,
    std::optional<Common::StoreRevision> expected, std::string value, const Common::LeaseId& lease)
{
    expireLeases();
    if (value.size() > maximumValueBytes)
        return Failure { ErrorCode::RequestTooLarge, key + " has a value over the size limit", std::nullopt };
    const auto found = m_entries.find(key);
    const Common::StoreRevision current
        = found == m_entries.end() ? Common::StoreRevision {} : found->second.value.revision;
    if (expected && *expected != current)
        return conflict(key, current);
    if (!lease.empty() && m_leases.count(lease) == 0)
        return noLease(lease);
    ++m_revision.value;
    Entry& entry = m_entries[key];
    detachLease(key, entry.lease);
    entry = Entry { { key, std::move(value), m_revision }, lease };
    if (!lease.empty())
        m_leases[lease].keys.insert(key);
    recordChange(key);
    // Watchers may write to the store and increase the revision.
    const Common::StoreRevision written = m_revision;
    notifyWatchers(key);
    return written;
}

Common::Result<Common::Done> StoreState::remove(const std::string& key, std::optional<Common::StoreRevision> expected)
{
    expireLeases();
    const auto found = m_entries.find(key);
    const Common::StoreRevision current
        = found == m_entries.end() ? Common::StoreRevision {} : found->second.value.revision;
    if (expected && *expected != current)
        return conflict(key, current);
    if (found != m_entries.end())
        erase(key);
    return Common::Done {};
}

void StoreState::erase(const std::string& key)
{
    const auto found = m_entries.find(key);
    detachLease(key, found->second.lease);
    m_entries.erase(found);
    ++m_revision.value;
    recordChange(key);
    notifyWatchers(key);
}

Common::LeaseId StoreState::grantLease(Common::Duration timeToLive)
{
    expireLeases();
    Common::LeaseId lease("lease-" + std::to_string(++m_lastLease));
    m_leases[lease] = Lease { m_clock() + timeToLive, timeToLive, {} };
    return lease;
}

Common::Result<Common::Done> StoreState::renewLease(const Common::LeaseId& lease)
{
    expireLeases();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return noLease(lease);
    found->second.expiresAt = m_clock() + found->second.timeToLive;
    return Common::Done {};
}

Scheduler::StoreChanges StoreState::changes(const std::string& prefix, Common::StoreRevision since)
{
    expireLeases();
    Scheduler::StoreChanges changes;
    changes.upTo = m_revision;
    for (auto change = m_lastChanges.upper_bound(since.value); change != m_lastChanges.end(); ++change) {
        const std::string& key = change->second;
        if (!key.starts_with(prefix))
            continue;
        const auto entry = m_entries.find(key);
        if (entry == m_entries.end())
            changes.removed.push_back(key);
        else
            changes.written.push_back(entry->second.value);
    }
    return changes;
}

uint64_t StoreState::watch(const std::string& prefix, Common::StoreRevision since, Watcher watcher)
{
    const uint64_t id = ++m_lastWatch;
    Scheduler::StoreChanges known = changes(prefix, since);
    if (!known.written.empty() || !known.removed.empty()) {
        watcher(std::move(known));
        return id;
    }
    m_watches.emplace(id, Watch { prefix, since, std::move(watcher) });
    return id;
}

void StoreState::cancelWatch(uint64_t id) { m_watches.erase(id); }

void StoreState::updateHosts(std::vector<Scheduler::HostEntry> rows, bool replaceAll)
{
    m_hostUpdates.push_back(HostUpdate { m_clock() + m_hostListLag, std::move(rows), replaceAll });
}

void StoreState::setHosts(const std::vector<Scheduler::HostEntry>& rows) { applyHosts(rows, true); }

std::vector<Scheduler::HostEntry> StoreState::hosts(const Common::DomainId& domain)
{
    applyDueHostUpdates();
    std::vector<Scheduler::HostEntry> rows;
    for (const auto& [worker, row] : m_hosts) {
        if (domain.empty() || row.domain == domain)
            rows.push_back(row);
    }
    return rows;
}

void StoreState::expireLeases()
{
    const Common::MonotonicTime now = m_clock();
    std::vector<std::string> expiredKeys;
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.expiresAt > now) {
            ++lease;
            continue;
        }
        expiredKeys.insert(expiredKeys.end(), lease->second.keys.begin(), lease->second.keys.end());
        lease = m_leases.erase(lease);
    }
    for (const std::string& key : expiredKeys) {
        if (m_entries.count(key) > 0)
            erase(key);
    }
}

void StoreState::recordChange(const std::string& key)
{
    const auto before = m_changedAt.find(key);
    if (before != m_changedAt.end())
        m_lastChanges.erase(before->second);
    m_changedAt[key] = m_revision.value;
    m_lastChanges[m_revision.value] = key;
}

void StoreState::detachLease(const std::string& key, const Common::LeaseId& lease)
{
    const auto found = m_leases.find(lease);
    if (found != m_leases.end())
        found->second.keys.erase(key);
}

void StoreState::notifyWatchers(const std::string& key)
{
    std::vector<Watch> due;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (!key.starts_with(watch->second.prefix)) {
            ++watch;
            continue;
        }
        due.push_back(std::move(watch->second));
        watch = m_watches.erase(watch);
    }
    for (const Watch& watch : due)
        watch.watcher(changes(watch.prefix, watch.since));
}

void StoreState::applyHosts(const std::vector<Scheduler::HostEntry>& rows, bool replaceAll)
{
    if (replaceAll)
        m_hosts.clear();
    for (const Scheduler::HostEntry& row : rows)
        m_hosts[row.worker] = row;
}

void StoreState::applyDueHostUpdates()
{
    const Common::MonotonicTime now = m_clock();
    while (!m_hostUpdates.empty() && m_hostUpdates.front().visibleAt <= now) {
        applyHosts(m_hostUpdates.front().rows, m_hostUpdates.front().replaceAll);
        m_hostUpdates.pop_front();
    }
}

} // namespace StandIns
