// A record store in memory, used by cell tests. It can be down, reject hosts, lose answers and apply writes late.
#pragma once

#include "Cells/RecordStore.h"
#include "Fakes/FakeCall.h"
#include "Fakes/FakeNetwork.h"
#include "Fakes/FakeProcess.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Fakes {

class FakeRecordStore {
public:
    static constexpr const char* address = "store:1";

    FakeRecordStore(VirtualRuntime& runtime, FakeNetwork& network, uint64_t seed)
        : m_runtime(runtime)
        , m_network(network)
        , m_random(seed)
    {
    }

    /// Every call fails with StoreUnavailable and has no effect.
    bool down = false;
    /// Addresses of hosts whose calls fail with StoreUnavailable while others are served.
    std::set<std::string> rejectedHosts;
    /// Per mille of the writes that are applied without an answer.
    uint64_t lostPerMille = 0;
    /// Per mille of the writes that are applied 1 to 5 s later without an answer.
    uint64_t latePerMille = 0;
    uint64_t writes = 0;
    uint64_t reads = 0;
    uint64_t refusedCalls = 0;

    Cells::RecordStore& client(const std::string& from, FakeProcess& process)
    {
        m_clients.push_back(std::make_unique<Client>(*this, process, from));
        return *m_clients.back();
    }
    std::optional<std::string> value(const std::string& key) const
    {
        const auto found = m_records.find(key);
        return found == m_records.end() ? std::nullopt : std::optional(found->second.value);
    }
    size_t countWithPrefix(const std::string& prefix) const
    {
        return static_cast<size_t>(std::count_if(
            m_records.begin(), m_records.end(), [&](const auto& row) { return row.first.starts_with(prefix); }));
    }
    /// Writes as another client, without faults or latency.
    std::map<std::string, std::string> recordsWithPrefix(const std::string& prefix) const
    {
        std::map<std::string, std::string> found;
        for (const auto& [key, record] : m_records) {
            if (key.starts_with(prefix))
                found.emplace(key, record.value);
        }
        return found;
    }
    void replaceWithPrefix(const std::string& prefix, const std::map<std::string, std::string>& records)
    {
        std::erase_if(m_records, [&prefix](const auto& row) { return row.first.starts_with(prefix); });
        for (const auto& [key, value] : records)
            put(key, value);
    }
    void put(const std::string& key, const std::string& value)
    {
        Cells::RecordTransaction transaction;
        transaction.puts.push_back({ key, value, {} });
        apply(transaction);
    }

private:
    struct Record {
        std::string value;
        uint64_t revision = 0;
    };

    class Client final : public Cells::RecordStore {
    public:
        Client(FakeRecordStore& store, FakeProcess& process, std::string from)
            : m_store(store)
            , m_process(process)
            , m_from(std::move(from))
        {
        }

        void get(const std::string& key, Cells::Freshness,
            Common::Callback<std::optional<Scheduler::StoreValue>> done) override
        {
            call<std::optional<Scheduler::StoreValue>>(
                [this, key] {
                    ++m_store.reads;
                    const auto found = m_store.m_records.find(key);
                    if (found == m_store.m_records.end())
                        return std::optional<Scheduler::StoreValue> {};
                    return std::optional(Scheduler::StoreValue {
                        key, found->second.value, Common::StoreRevision { found->second.revision } });
                },
                std::move(done));
        }
        void list(const std::string& prefix, Cells::Freshness, Common::Callback<Cells::RecordListing> done) override
        {
            call<Cells::RecordListing>(
                [this, prefix] {
                    ++m_store.reads;
                    Cells::RecordListing listing;
                    listing.upTo.value = m_store.m_revision;
                    for (const auto& [key, record] : m_store.m_records) {
                        if (key.starts_with(prefix))
                            listing.records.push_back({ key, record.value, Common::StoreRevision { record.revision } });
                    }
                    return listing;
                },
                std::move(done));
        }
        void watch(const std::string&, Common::StoreRevision, Common::Duration wait,
            Common::Callback<Scheduler::StoreChanges> done) override
        {
            m_process.schedule(wait, [done] { done(Common::Failure { Common::ErrorCode::HistoryLost, "", {} }); });
        }
        void commit(Cells::RecordTransaction transaction, Common::Callback<Cells::TransactionOutcome> done) override
        {
            if (m_store.refuses(m_from)) {
                refuse<Cells::TransactionOutcome>(std::move(done));
                return;
            }
            const bool late = m_store.happens(m_store.latePerMille);
            const bool lost = late || m_store.happens(m_store.lostPerMille);
            const auto serve
                = [this, transaction, late, lost](const Common::Callback<Cells::TransactionOutcome>& answer) {
                      if (late) {
                          const auto delay = std::chrono::milliseconds(1000 + m_store.m_random() % 4000);
                          m_store.m_runtime.schedule(delay, [this, transaction] { m_store.apply(transaction); });
                          return;
                      }
                      const Cells::TransactionOutcome outcome = m_store.apply(transaction);
                      if (!lost)
                          answer(outcome);
                  };
            callOver<Cells::TransactionOutcome>(
                m_store.m_network, m_process, m_from, address, timeout, serve, std::move(done), Delivery::AtMostOnce);
        }

    private:
        static constexpr Common::Duration timeout = std::chrono::milliseconds(800);

        template <typename T> void refuse(Common::Callback<T> done)
        {
            ++m_store.refusedCalls;
            m_process.schedule(std::chrono::milliseconds(2), [done] {
                done(Common::Failure { Common::ErrorCode::StoreUnavailable, "", {} });
            });
        }
        template <typename T> void call(std::function<T()> read, Common::Callback<T> done)
        {
            if (m_store.refuses(m_from)) {
                refuse<T>(std::move(done));
                return;
            }
            callOver<T>(
                m_store.m_network, m_process, m_from, address, timeout,
                [read](const Common::Callback<T>& answer) { answer(read()); }, std::move(done), Delivery::AtMostOnce);
        }

        FakeRecordStore& m_store;
        FakeProcess& m_process;
        std::string m_from;
    };

    bool refuses(const std::string& from) const { return down || rejectedHosts.contains(from); }
    bool happens(uint64_t perMille) { return perMille > 0 && m_random() % 1000 < perMille; }

    Cells::TransactionOutcome apply(const Cells::RecordTransaction& transaction)
    {
        Cells::Conflict conflict;
        bool revisionsMatch = true;
        for (const auto& [key, revision] : transaction.expected) {
            const auto found = m_records.find(key);
            const Record current = found == m_records.end() ? Record {} : found->second;
            conflict.current.push_back({ key, current.value, Common::StoreRevision { current.revision } });
            revisionsMatch = revisionsMatch && current.revision == revision.value;
        }
        if (!revisionsMatch)
            return conflict;
        ++writes;
        ++m_revision;
        for (const auto& put : transaction.puts)
            m_records[put.key] = Record { put.value, m_revision };
        for (const std::string& key : transaction.removals)
            m_records.erase(key);
        return Cells::Committed { Common::StoreRevision { m_revision } };
    }

    VirtualRuntime& m_runtime;
    FakeNetwork& m_network;
    std::mt19937_64 m_random;
    std::map<std::string, Record> m_records;
    uint64_t m_revision = 1;
    std::vector<std::unique_ptr<Client>> m_clients;
};

} // namespace Fakes
