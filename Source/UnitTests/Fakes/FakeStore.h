// The platform's store in memory, with seeded latency, outages, lost answers, late writes and clients cut off from it.
#pragma once

#include "Scheduler/Runtime.h"
#include "Scheduler/StorePort.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace Fakes {

class FakeStore {
public:
    struct Faults {
        Common::Duration minimumLatency = std::chrono::milliseconds(1);
        Common::Duration maximumLatency = std::chrono::milliseconds(3);
        Common::Duration timeout = std::chrono::milliseconds(500);
        /// No call reaches the store: half the calls fail to connect, half time out.
        bool down = false;
        /// Percentage of writes whose answer is lost after the write took effect.
        uint32_t lostAnswers = 0;
        /// Percentage of writes that time out at the caller and take effect after that.
        uint32_t lateWrites = 0;
        /// Percentage of all calls that fail to connect and have no effect.
        uint32_t refused = 0;
    };
    struct Counts {
        uint64_t gets = 0;
        uint64_t lists = 0;
        uint64_t writes = 0;
        uint64_t conflicts = 0;
        uint64_t removes = 0;
        uint64_t watches = 0;
        uint64_t leases = 0;
        uint64_t writtenBytes = 0;
        uint64_t largestValue = 0;
    };

    explicit FakeStore(Scheduler::Runtime& runtime)
        : m_runtime(runtime)
    {
    }

    Faults faults;
    Counts counts;
    std::map<std::string, std::vector<Scheduler::HostEntry>> hosts;

    /// Returns the store as one client uses it. Answers arrive on the client's own runtime. Lives as long as the store.
    Scheduler::StorePort& client(const std::string& name, Scheduler::Runtime& clientRuntime)
    {
        m_clients.push_back(std::make_unique<Client>(*this, name, clientRuntime));
        return *m_clients.back();
    }
    Scheduler::StorePort& client(const std::string& name = "client") { return client(name, m_runtime); }
    void cut(const std::string& name) { m_cut.insert(name); }
    void heal(const std::string& name) { m_cut.erase(name); }

    /// Direct access for the checks of a test, without faults or latency.
    const std::map<std::string, Scheduler::StoreValue>& values() const { return m_values; }
    Common::StoreRevision revision() const { return Common::StoreRevision { m_revision }; }
    void put(const std::string& key, std::string value) { write(key, std::move(value), {}); }
    void erase(const std::string& key)
    {
        if (m_values.erase(key) > 0)
            m_removals[++m_revision] = key;
    }
    void expireLease(const Common::LeaseId& lease)
    {
        m_leases.erase(lease.value());
        for (const std::string& key : m_leaseKeys[lease.value()])
            erase(key);
        m_leaseKeys.erase(lease.value());
    }

private:
    class Client final : public Scheduler::StorePort {
    public:
        Client(FakeStore& store, std::string name, Scheduler::Runtime& runtime)
            : m_store(store)
            , m_name(std::move(name))
            , m_runtime(runtime)
        {
        }

        void get(const std::string& key, Common::Callback<std::optional<Scheduler::StoreValue>> done) override
        {
            ++m_store.counts.gets;
            read<std::optional<Scheduler::StoreValue>>(std::move(done), [this, key] {
                const auto found = m_store.m_values.find(key);
                return found == m_store.m_values.end() ? std::optional<Scheduler::StoreValue>() : found->second;
            });
        }
        void list(const std::string& prefix, Common::Callback<std::vector<Scheduler::StoreValue>> done) override
        {
            ++m_store.counts.lists;
            read<std::vector<Scheduler::StoreValue>>(std::move(done), [this, prefix] {
                std::vector<Scheduler::StoreValue> found;
                for (auto at = m_store.m_values.lower_bound(prefix);
                     at != m_store.m_values.end() && at->first.starts_with(prefix); ++at)
                    found.push_back(at->second);
                return found;
            });
        }
        void compareAndSwap(const std::string& key, Common::StoreRevision expected, std::string value,
            const Common::LeaseId& lease, Common::Callback<Common::StoreRevision> done) override
        {
            ++m_store.counts.writes;
            m_store.counts.writtenBytes += value.size();
            m_store.counts.largestValue = std::max<uint64_t>(m_store.counts.largestValue, value.size());
            write<Common::StoreRevision>(std::move(done), [this, key, expected, value = std::move(value), lease] {
                return m_store.swap(key, expected, value, lease);
            });
        }
        void remove(
            const std::string& key, Common::StoreRevision expected, Common::Callback<Common::Done> done) override
        {
            ++m_store.counts.removes;
            write<Common::Done>(std::move(done), [this, key, expected]() -> Common::Result<Common::Done> {
                if (m_store.revisionOf(key) != expected)
                    return m_store.conflict();
                m_store.erase(key);
                return Common::Done {};
            });
        }
        void watch(const std::string& prefix, Common::StoreRevision since, Common::Duration wait,
            Common::Callback<Scheduler::StoreChanges> done) override
        {
            ++m_store.counts.watches;
            watchUntil(prefix, since, m_runtime.now() + wait, std::move(done));
        }
        void grantLease(Common::Duration timeToLive, Common::Callback<Common::LeaseId> done) override
        {
            ++m_store.counts.leases;
            write<Common::LeaseId>(std::move(done),
                [this, timeToLive]() -> Common::Result<Common::LeaseId> { return m_store.grant(timeToLive); });
        }
        void renewLease(const Common::LeaseId& lease, Common::Callback<Common::Done> done) override
        {
            ++m_store.counts.leases;
            write<Common::Done>(
                std::move(done), [this, lease]() -> Common::Result<Common::Done> { return m_store.renew(lease); });
        }
        void listHosts(
            const Common::DomainId& domain, Common::Callback<std::vector<Scheduler::HostEntry>> done) override
        {
            ++m_store.counts.lists;
            read<std::vector<Scheduler::HostEntry>>(
                std::move(done), [this, domain] { return m_store.hosts[domain.value()]; });
        }

    private:
        template <typename T> void answer(Common::Duration delay, Common::Callback<T> done, Common::Result<T> result)
        {
            m_store.m_runtime.schedule(delay, [this, done = std::move(done), result = std::move(result)] {
                m_runtime.schedule(Common::Duration(0), [done, result] { done(result); });
            });
        }
        bool unreachable() const { return m_store.faults.down || m_store.m_cut.contains(m_name); }
        template <typename T> bool fail(Common::Callback<T>& done)
        {
            if (!unreachable() && !m_store.chance(m_store.faults.refused))
                return false;
            if (unreachable() && m_store.chance(50))
                answer<T>(m_store.faults.timeout, std::move(done), Common::Failure { Common::ErrorCode::Timeout });
            else
                answer<T>(m_store.latency(), std::move(done), Common::Failure { Common::ErrorCode::ConnectFailed });
            return true;
        }
        template <typename T> void read(Common::Callback<T> done, std::function<T()> readValue)
        {
            if (fail<T>(done))
                return;
            m_store.m_runtime.schedule(
                m_store.latency(), [this, done = std::move(done), readValue = std::move(readValue)] {
                    answer<T>(m_store.latency(), done, readValue());
                });
        }
        template <typename T> void write(Common::Callback<T> done, std::function<Common::Result<T>()> apply)
        {
            if (fail<T>(done))
                return;
            if (m_store.chance(m_store.faults.lateWrites)) {
                answer<T>(m_store.faults.timeout, std::move(done), Common::Failure { Common::ErrorCode::Timeout });
                m_store.m_runtime.schedule(m_store.faults.timeout + m_store.latency() * 4, [apply] { apply(); });
                return;
            }
            const bool lost = m_store.chance(m_store.faults.lostAnswers);
            m_store.m_runtime.schedule(
                m_store.latency(), [this, lost, done = std::move(done), apply = std::move(apply)] {
                    const Common::Result<T> result = apply();
                    if (lost)
                        answer<T>(m_store.latency(), done, Common::Failure { Common::ErrorCode::ConnectionLost });
                    else
                        answer<T>(m_store.latency(), done, result);
                });
        }
        void watchUntil(const std::string& prefix, Common::StoreRevision since, Common::MonotonicTime end,
            Common::Callback<Scheduler::StoreChanges> done)
        {
            if (fail<Scheduler::StoreChanges>(done))
                return;
            const Scheduler::StoreChanges changes = m_store.changesSince(prefix, since);
            if (!changes.written.empty() || !changes.removed.empty() || m_runtime.now() >= end) {
                answer<Scheduler::StoreChanges>(m_store.latency(), std::move(done), changes);
                return;
            }
            m_store.m_runtime.schedule(std::chrono::milliseconds(10),
                [this, prefix, since, end, done = std::move(done)] { watchUntil(prefix, since, end, done); });
        }

        FakeStore& m_store;
        std::string m_name;
        Scheduler::Runtime& m_runtime;
    };

    struct Lease {
        Common::Duration timeToLive;
        Scheduler::TimerId timer;
    };

    bool chance(uint32_t percent) { return percent > 0 && m_runtime.random()() % 100 < percent; }
    Common::Duration latency()
    {
        const auto spread = static_cast<uint64_t>((faults.maximumLatency - faults.minimumLatency).count());
        const auto extra = static_cast<int64_t>(m_runtime.random()() % (spread + 1));
        return (faults.minimumLatency + Common::Duration(extra)) / 2;
    }
    Common::StoreRevision revisionOf(const std::string& key) const
    {
        const auto found = m_values.find(key);
        return found == m_values.end() ? Common::StoreRevision {} : found->second.revision;
    }
    Common::Failure conflict()
    {
        ++counts.conflicts;
        return Common::Failure { Common::ErrorCode::RevisionConflict, "the key has another revision" };
    }
    Common::StoreRevision write(const std::string& key, std::string value, const Common::LeaseId& lease)
    {
        const Common::StoreRevision revision { ++m_revision };
        m_values[key] = Scheduler::StoreValue { key, std::move(value), revision };
        if (!lease.empty())
            m_leaseKeys[lease.value()].insert(key);
        return revision;
    }
    Common::Result<Common::StoreRevision> swap(
        const std::string& key, Common::StoreRevision expected, const std::string& value, const Common::LeaseId& lease)
    {
        if (revisionOf(key) != expected || (!lease.empty() && !m_leases.contains(lease.value())))
            return conflict();
        return write(key, value, lease);
    }
    Common::LeaseId grant(Common::Duration timeToLive)
    {
        Common::LeaseId lease("lease-" + std::to_string(++m_lastLease));
        m_leases[lease.value()] = Lease { timeToLive, {} };
        renew(lease);
        return lease;
    }
    Common::Result<Common::Done> renew(const Common::LeaseId& lease)
    {
        const auto found = m_leases.find(lease.value());
        if (found == m_leases.end())
            return Common::Failure { Common::ErrorCode::NotOwner, "the lease has expired" };
        m_runtime.cancel(found->second.timer);
        found->second.timer = m_runtime.schedule(found->second.timeToLive, [this, lease] { expireLease(lease); });
        return Common::Done {};
    }
    Scheduler::StoreChanges changesSince(const std::string& prefix, Common::StoreRevision since) const
    {
        Scheduler::StoreChanges changes { .upTo = Common::StoreRevision { m_revision } };
        for (auto at = m_values.lower_bound(prefix); at != m_values.end() && at->first.starts_with(prefix); ++at) {
            if (at->second.revision > since)
                changes.written.push_back(at->second);
        }
        for (auto at = m_removals.upper_bound(since.value); at != m_removals.end(); ++at) {
            if (at->second.starts_with(prefix) && !m_values.contains(at->second))
                changes.removed.push_back(at->second);
        }
        return changes;
    }

    Scheduler::Runtime& m_runtime;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::set<std::string> m_cut;
    uint64_t m_revision = 0;
    uint64_t m_lastLease = 0;
    std::map<std::string, Scheduler::StoreValue> m_values;
    std::map<uint64_t, std::string> m_removals;
    std::map<std::string, Lease> m_leases;
    std::map<std::string, std::set<std::string>> m_leaseKeys;
};

} // namespace Fakes
