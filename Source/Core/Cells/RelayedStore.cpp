// Direct calls to the store, the relaying of failed calls, and the JSON form of relayed calls.
#include "Cells/RelayedStore.h"

#include "Cells/StoreKeys.h"
#include "Common/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cells {

namespace {

    using Json = nlohmann::json;

    constexpr const char* getMethod = "store.get";
    constexpr const char* listMethod = "store.list";
    constexpr const char* commitMethod = "store.commit";
    constexpr Common::Duration relayTimeout = std::chrono::milliseconds(900);
    /// For this time after a failure calls go to a relay first; then the store is tried directly again.
    constexpr Common::Duration directRetryPause = std::chrono::milliseconds(1000);

    /// Time between two direct calls that tell whether an unavailable store answers again.
    constexpr Common::Duration directCheckInterval = std::chrono::seconds(2);

    Json valueToJson(const Scheduler::StoreValue& value)
    {
        return Json::array({ value.key, value.value, value.revision.value });
    }

    Scheduler::StoreValue valueFromJson(const Json& row)
    {
        return Scheduler::StoreValue { row.at(0).get<std::string>(), row.at(1).get<std::string>(),
            Common::StoreRevision { row.at(2).get<uint64_t>() } };
    }

    Json valuesToJson(const std::vector<Scheduler::StoreValue>& values)
    {
        Json rows = Json::array();
        for (const Scheduler::StoreValue& value : values)
            rows.push_back(valueToJson(value));
        return rows;
    }

    std::vector<Scheduler::StoreValue> valuesFromJson(const Json& rows)
    {
        std::vector<Scheduler::StoreValue> values;
        for (const Json& row : rows)
            values.push_back(valueFromJson(row));
        return values;
    }

    Json transactionToJson(const RecordTransaction& transaction)
    {
        Json expected = Json::array();
        for (const auto& [key, revision] : transaction.expected)
            expected.push_back(Json::array({ key, revision.value }));
        Json puts = Json::array();
        for (const RecordTransaction::Put& put : transaction.puts)
            puts.push_back(Json::array({ put.key, put.value, put.lease.value() }));
        return Json { { "expected", std::move(expected) }, { "puts", std::move(puts) },
            { "removals", transaction.removals } };
    }

    RecordTransaction transactionFromJson(const Json& object)
    {
        RecordTransaction transaction;
        for (const Json& row : object.at("expected"))
            transaction.expected.emplace_back(
                row.at(0).get<std::string>(), Common::StoreRevision { row.at(1).get<uint64_t>() });
        for (const Json& row : object.at("puts"))
            transaction.puts.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                Common::LeaseId(row.at(2).get<std::string>()) });
        transaction.removals = object.at("removals").get<std::vector<std::string>>();
        return transaction;
    }

    Json outcomeToJson(const TransactionOutcome& outcome)
    {
        if (const auto* const committed = std::get_if<Committed>(&outcome))
            return Json { { "revision", committed->revision.value } };
        return Json { { "conflict", valuesToJson(std::get<Conflict>(outcome).current) } };
    }

    TransactionOutcome outcomeFromJson(const Json& object)
    {
        if (object.contains("conflict"))
            return Conflict { valuesFromJson(object.at("conflict")) };
        return Committed { Common::StoreRevision { object.at("revision").get<uint64_t>() } };
    }

    Common::Failure malformed(const Json::exception& error)
    {
        return Common::Failure { Common::ErrorCode::ProtocolError, error.what(), std::nullopt };
    }

    /// Converts a relay's answer into a typed result.
    template <typename T, typename Decode>
    Scheduler::PeerPort::Reply decoded(Common::Callback<T> callback, Decode decode)
    {
        return [callback = std::move(callback), decode](const Common::Result<Json>& answer) {
            if (!answer) {
                callback(answer.reason());
                return;
            }
            std::optional<T> value;
            try {
                value.emplace(decode(*answer));
            } catch (const Json::exception& error) {
                callback(malformed(error));
                return;
            }
            callback(std::move(*value));
        };
    }

    std::optional<Scheduler::StoreValue> foundFromJson(const Json& answer)
    {
        if (!answer.contains("found"))
            return std::nullopt;
        return valueFromJson(answer.at("found"));
    }

    RecordListing listingFromJson(const Json& answer)
    {
        return RecordListing { valuesFromJson(answer.at("records")),
            Common::StoreRevision { answer.at("upTo").get<uint64_t>() }, answer.value("unreadable", 0U) };
    }

    Freshness freshnessOf(const Json& params)
    {
        return params.value("stale", false) ? Freshness::Stale : Freshness::Linearizable;
    }

} // namespace

RelayedStore::RelayedStore(Scheduler::Runtime& runtime, RecordStore& direct, Scheduler::PeerPort& peers)
    : m_runtime(runtime)
    , m_direct(direct)
    , m_peers(peers)
{
}

void RelayedStore::start(const HostDirectory& directory)
{
    m_directory = &directory;
    serve();
    checkDirectStore();
}

/// A host that makes no calls of its own would report the store as unavailable long after an outage.
void RelayedStore::checkDirectStore()
{
    m_runtime.schedule(directCheckInterval, m_lifetime.guard([this] { checkDirectStore(); }));
    if (m_directAvailable)
        return;
    getDirectly(
        StoreKeys::layout, Freshness::Linearizable, [](const Common::Result<std::optional<Scheduler::StoreValue>>&) {});
}

void RelayedStore::serve()
{
    using Reply = Scheduler::PeerPort::Reply;
    m_peers.serve(getMethod, [this](const Json& params, const Reply& reply) {
        getDirectly(params.value("key", std::string {}), freshnessOf(params),
            [reply](const Common::Result<std::optional<Scheduler::StoreValue>>& found) {
                if (!found)
                    reply(found.reason());
                else
                    reply(*found ? Json { { "found", valueToJson(**found) } } : Json::object());
            });
    });
    m_peers.serve(listMethod, [this](const Json& params, const Reply& reply) {
        listDirectly(params.value("prefix", std::string {}), freshnessOf(params),
            [reply](const Common::Result<RecordListing>& listing) {
                if (!listing)
                    reply(listing.reason());
                else
                    reply(Json { { "records", valuesToJson(listing->records) }, { "upTo", listing->upTo.value },
                        { "unreadable", listing->unreadable } });
            });
    });
    m_peers.serve(commitMethod, [this](const Json& params, const Reply& reply) {
        RecordTransaction transaction;
        try {
            transaction = transactionFromJson(params);
        } catch (const Json::exception& error) {
            reply(malformed(error));
            return;
        }
        commitDirectly(std::move(transaction), [reply](const Common::Result<TransactionOutcome>& outcome) {
            if (!outcome)
                reply(outcome.reason());
            else
                reply(outcomeToJson(*outcome));
        });
    });
}

void RelayedStore::getDirectly(
    const std::string& key, Freshness freshness, Common::Callback<std::optional<Scheduler::StoreValue>> callback)
{
    m_direct.get(key, freshness, recorded(std::move(callback)));
}

void RelayedStore::listDirectly(
    const std::string& prefix, Freshness freshness, Common::Callback<RecordListing> callback)
{
    m_direct.list(prefix, freshness, recorded(std::move(callback)));
}

void RelayedStore::commitDirectly(RecordTransaction transaction, Common::Callback<TransactionOutcome> callback)
{
    m_direct.commit(std::move(transaction), recorded(std::move(callback)));
}

template <typename T> Common::Callback<T> RelayedStore::recorded(Common::Callback<T> callback)
{
    return m_lifetime.guard(
        [this, sentAt = m_runtime.now(), callback = std::move(callback)](const Common::Result<T>& result) {
            recordDirectResult(result.hasValue(), sentAt);
            callback(result);
        });
}

void RelayedStore::recordDirectResult(bool succeeded, Common::MonotonicTime sentAt)
{
    if (succeeded) {
        m_everAvailable = true;
        m_answeredCallSentAt = std::max(m_answeredCallSentAt.value_or(sentAt), sentAt);
    } else if (m_answeredCallSentAt && sentAt < *m_answeredCallSentAt) {
        return;
    } else {
        m_directFailedAt = m_runtime.now();
    }
    if (m_directAvailable == succeeded)
        return;
    m_directAvailable = succeeded;
    if (succeeded)
        LC_INFO(Store, "event=store-answers");
    else
        LC_WARN(Store, "event=store-fails");
}

bool RelayedStore::avoidDirect() const
{
    return !m_directAvailable && m_runtime.now() - m_directFailedAt < directRetryPause;
}

const HostState* RelayedStore::chooseRelay()
{
    if (!m_directory)
        return nullptr;
    std::vector<const HostState*> hosts = m_directory->liveHosts(m_runtime.now());
    std::erase_if(hosts, [](const HostState* host) { return !host->storeAvailable || host->draining; });
    if (hosts.empty())
        return nullptr;
    return hosts[m_runtime.random()() % hosts.size()];
}

void RelayedStore::get(
    const std::string& key, Freshness freshness, Common::Callback<std::optional<Scheduler::StoreValue>> callback)
{
    const auto relay = [this, key, freshness](Common::Callback<std::optional<Scheduler::StoreValue>> done) {
        const HostState* const host = chooseRelay();
        if (!host)
            return false;
        m_peers.call(host->address, getMethod, Json { { "key", key }, { "stale", freshness == Freshness::Stale } },
            relayTimeout, decoded(std::move(done), foundFromJson));
        return true;
    };
    if (avoidDirect() && relay(callback))
        return;
    getDirectly(key, freshness,
        m_lifetime.guard([this, relay, callback](const Common::Result<std::optional<Scheduler::StoreValue>>& found) {
            if (found || !relay(callback))
                callback(found);
        }));
}

void RelayedStore::list(const std::string& prefix, Freshness freshness, Common::Callback<RecordListing> callback)
{
    const auto relay = [this, prefix, freshness](Common::Callback<RecordListing> done) {
        const HostState* const host = chooseRelay();
        if (!host)
            return false;
        m_peers.call(host->address, listMethod,
            Json { { "prefix", prefix }, { "stale", freshness == Freshness::Stale } }, relayTimeout,
            decoded(std::move(done), listingFromJson));
        return true;
    };
    if (avoidDirect() && relay(callback))
        return;
    listDirectly(
        prefix, freshness, m_lifetime.guard([this, relay, callback](const Common::Result<RecordListing>& listing) {
            if (listing || !relay(callback))
                callback(listing);
        }));
}

void RelayedStore::watch(const std::string& prefix, Common::StoreRevision since, Common::Duration wait,
    Common::Callback<Scheduler::StoreChanges> callback)
{
    m_direct.watch(prefix, since, wait, std::move(callback));
}

void RelayedStore::commit(RecordTransaction transaction, Common::Callback<TransactionOutcome> callback)
{
    const auto relay = [this, transaction](Common::Callback<TransactionOutcome> done) {
        const HostState* const host = chooseRelay();
        if (!host)
            return false;
        m_peers.call(host->address, commitMethod, transactionToJson(transaction), relayTimeout,
            decoded(std::move(done), outcomeFromJson));
        return true;
    };
    if (avoidDirect() && relay(callback))
        return;
    commitDirectly(std::move(transaction),
        m_lifetime.guard([this, relay, callback](const Common::Result<TransactionOutcome>& outcome) {
            const bool mayRetry = !outcome && provesNoEffect(outcome.reason().code);
            if (!mayRetry || !relay(callback))
                callback(outcome);
        }));
}

} // namespace Cells
