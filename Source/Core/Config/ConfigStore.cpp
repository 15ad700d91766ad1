// Reads and writes the configuration's keys, each call with a timeout.
#include "Config/ConfigStore.h"

#include "Config/BoundedCall.h"
#include "Scheduler/StorePort.h"

#include <nlohmann/json.hpp>

namespace Config {

namespace {

    using Common::ErrorCode;
    using Common::Result;

    constexpr size_t historyDigits = 10;
    const Common::LeaseId noLease;

    std::string historyKey(Common::ConfigRevision revision)
    {
        const std::string digits = std::to_string(revision.value);
        const size_t padding = digits.size() < historyDigits ? historyDigits - digits.size() : 0;
        return "config/history/" + std::string(padding, '0') + digits;
    }

} // namespace

ConfigStore::ConfigStore(Scheduler::Runtime& runtime, Scheduler::StorePort& store, Common::Duration callTimeout)
    : m_runtime(runtime)
    , m_store(store)
    , m_callTimeout(callTimeout)
{
}

const std::string& ConfigStore::currentKey()
{
    static const std::string key = "config/current";
    return key;
}

void ConfigStore::read(const std::string& key, Common::Callback<Stored> callback)
{
    using Value = std::optional<Scheduler::StoreValue>;
    const auto receive = [callback = std::move(callback)](const Result<Value>& value) {
        if (!value) {
            callback(value.reason());
            return;
        }
        if (!*value) {
            callback(Stored {});
            return;
        }
        const Result<ConfigDocument> document = documentFromText((*value)->value);
        if (!document) {
            callback(document.reason());
            return;
        }
        callback(Stored { *document, (*value)->revision });
    };
    m_store.get(key, withTimeout<Value>(m_runtime, m_callTimeout, receive));
}

void ConfigStore::readCurrent(Common::Callback<Stored> callback) { read(currentKey(), std::move(callback)); }

void ConfigStore::readHistory(Common::ConfigRevision revision, Common::Callback<Stored> callback)
{
    read(historyKey(revision), std::move(callback));
}

void ConfigStore::writeCurrent(
    Common::StoreRevision expected, const ConfigDocument& document, Common::Callback<Common::StoreRevision> callback)
{
    m_store.compareAndSwap(currentKey(), expected, toJson(document).dump(), noLease,
        withTimeout<Common::StoreRevision>(m_runtime, m_callTimeout, std::move(callback)));
}

void ConfigStore::watchCurrent(Common::StoreRevision since, Common::Duration wait, Common::Duration grace,
    Common::Callback<Scheduler::StoreChanges> callback)
{
    m_store.watch(
        currentKey(), since, wait, withTimeout<Scheduler::StoreChanges>(m_runtime, wait + grace, std::move(callback)));
}

void ConfigStore::writeHistory(const ConfigDocument& document, Common::Callback<Common::Done> callback)
{
    const auto receive = [callback = std::move(callback)](const Result<Common::StoreRevision>& written) {
        if (written || written.reason().code == ErrorCode::RevisionConflict)
            callback(Common::Done {});
        else
            callback(written.reason());
    };
    m_store.compareAndSwap(historyKey(document.revision), Common::StoreRevision {}, toJson(document).dump(), noLease,
        withTimeout<Common::StoreRevision>(m_runtime, m_callTimeout, receive));
}

void ConfigStore::removeHistory(Common::ConfigRevision revision)
{
    readHistory(revision, [self = shared_from_this(), revision](const Result<Stored>& stored) {
        if (!stored || stored->storeRevision == Common::StoreRevision {})
            return;
        self->m_store.remove(historyKey(revision), stored->storeRevision, [](const Result<Common::Done>&) {});
    });
}

} // namespace Config
