// Reads the history backwards from the current document.
#include "Config/ConfigHistory.h"

namespace Config {

using Common::Result;

ConfigHistory::ConfigHistory(std::shared_ptr<ConfigStore> store, size_t limit, Callback callback)
    : m_store(std::move(store))
    , m_limit(limit)
    , m_callback(std::move(callback))
{
}

void ConfigHistory::start()
{
    m_store->readCurrent([self = shared_from_this()](const Result<ConfigStore::Stored>& stored) {
        if (stored)
            self->addEntry(*stored);
        else
            self->m_callback(stored.reason());
    });
}

void ConfigHistory::addEntry(const ConfigStore::Stored& stored)
{
    const uint64_t revision = stored.document.revision.value;
    if (revision > 0)
        m_entries.push_back(stored.document);
    if (revision <= 1 || m_entries.size() >= m_limit) {
        m_callback(std::move(m_entries));
        return;
    }
    m_store->readHistory(
        Common::ConfigRevision { revision - 1 }, [self = shared_from_this()](const Result<ConfigStore::Stored>& entry) {
            if (entry)
                self->addEntry(*entry);
            else
                self->m_callback(entry.reason());
        });
}

} // namespace Config
