// Reads the newest accepted documents from the store, one at a time.
#pragma once

#include "Common/Result.h"
#include "Config/ConfigDocument.h"
#include "Config/ConfigStore.h"

#include <memory>
#include <vector>

namespace Config {

/// Yields documents newest first, up to `limit`, revision one or the first entry that the store no longer holds. Fails
/// with the store's failure. The object keeps itself alive until the callback was called.
class ConfigHistory final : public std::enable_shared_from_this<ConfigHistory> {
public:
    using Callback = Common::Callback<std::vector<ConfigDocument>>;

    ConfigHistory(std::shared_ptr<ConfigStore>, size_t limit, Callback);

    void start();

private:
    void addEntry(const ConfigStore::Stored&);

    std::shared_ptr<ConfigStore> m_store;
    size_t m_limit;
    Callback m_callback;
    std::vector<ConfigDocument> m_entries;
};

} // namespace Config
