// In-memory fake of the part of the platform's store that membership uses, with outages and a count of the calls.
#pragma once

#include "Fakes/FakeProcess.h"
#include "Scheduler/StorePort.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Fakes {

/// Shared by all daemons; each has a MemoryStore::Client.
class MemoryStore {
public:
    bool isDown = false;
    std::vector<Scheduler::HostEntry> hosts;
    /// Number of calls by kind, failed ones included.
    std::map<std::string, int> calls;

    class Client final : public Scheduler::StorePort {
    public:
        Client(MemoryStore& store, FakeProcess& process)
            : m_store(store)
            , m_process(process)
        {
        }

        void get(const std::string& key, Common::Callback<std::optional<Scheduler::StoreValue>> done) override
        {
            answer<std::optional<Scheduler::StoreValue>>("get", std::move(done), [this, key] {
                const auto found = m_store.m_values.find(key);
                return found == m_store.m_values.end() ? std::nullopt : std::optional(found->second);
            });
        }
        void list(const std::string& prefix, Common::Callback<std::vector<Scheduler::StoreValue>> done) override
        {
            answer<std::vector<Scheduler::StoreValue>>("list", std::move(done), [this, prefix] {
                std::vector<Scheduler::StoreValue> found;
                for (const auto& [key, value] : m_store.m_values) {
                    if (key.starts_with(prefix))
                        found.push_back(value);
                }
                return found;
            });
        }
        void compareAndSwap(const std::string& key, Common::StoreRevision expected, std::string value,
            const Common::LeaseId&, Common::Callback<Common::StoreRevision> done) override
        {
            answer<Common::StoreRevision>(
                "write", std::move(done), [this, key, expected, value]() -> Common::Result<Common::StoreRevision> {
                    Scheduler::StoreValue& entry = m_store.m_values[key];
                    if (entry.revision != expected)
                        return Common::Failure { Common::ErrorCode::RevisionConflict, key, std::nullopt };
                    entry = { key, value, { ++m_store.m_revision } };
                    return entry.revision;
                });
        }
        void remove(const std::string& key, Common::StoreRevision, Common::Callback<Common::Done> done) override
        {
            answer<Common::Done>("remove", std::move(done), [this, key] {
                m_store.m_values.erase(key);
                return Common::Done {};
            });
        }
        void watch(const std::string&, Common::StoreRevision, Common::Duration,
            Common::Callback<Scheduler::StoreChanges> done) override
        {
            answer<Scheduler::StoreChanges>("watch", std::move(done), [] { return Scheduler::StoreChanges {}; });
        }
        void grantLease(Common::Duration, Common::Callback<Common::LeaseId> done) override
        {
            answer<Common::LeaseId>("grant", std::move(done), [] { return Common::LeaseId("lease"); });
        }
        void renewLease(const Common::LeaseId&, Common::Callback<Common::Done> done) override
        {
            answer<Common::Done>("renew", std::move(done), [] { return Common::Done {}; });
        }
        void listHosts(const Common::DomainId&, Common::Callback<std::vector<Scheduler::HostEntry>> done) override
        {
            answer<std::vector<Scheduler::HostEntry>>("hosts", std::move(done), [this] { return m_store.hosts; });
        }

    private:
        template <typename Value>
        void answer(const char* kind, Common::Callback<Value> done, std::function<Common::Result<Value>()> act)
        {
            ++m_store.calls[kind];
            m_process.schedule(std::chrono::milliseconds(m_store.isDown ? 500 : 3),
                [this, isDown = m_store.isDown, done = std::move(done), act = std::move(act)] {
                    if (isDown || m_store.isDown)
                        done(Common::Failure { Common::ErrorCode::Timeout, "down", std::nullopt });
                    else
                        done(act());
                });
        }

        MemoryStore& m_store;
        FakeProcess& m_process;
    };

private:
    uint64_t m_revision = 0;
    std::map<std::string, Scheduler::StoreValue> m_values;
};

} // namespace Fakes
