// Reads and writes the configuration's keys in the platform's store.
#pragma once

#include "Common/Result.h"
#include "Config/ConfigDocument.h"
#include "Scheduler/StoreChanges.h"

#include <memory>
#include <string>

namespace Scheduler {
class Runtime;
class StorePort;
}

namespace Config {

/// Every call has a timeout. A failed write may have taken effect unless its code is ConnectFailed or
/// RevisionConflict.
class ConfigStore final : public std::enable_shared_from_this<ConfigStore> {
public:
    /// The document under a key; both revisions are zero when the key does not exist.
    struct Stored {
        ConfigDocument document;
        Common::StoreRevision storeRevision;
    };

    ConfigStore(Scheduler::Runtime&, Scheduler::StorePort&, Common::Duration callTimeout);

    void readCurrent(Common::Callback<Stored>);
    void writeCurrent(Common::StoreRevision expected, const ConfigDocument&, Common::Callback<Common::StoreRevision>);
    /// Waits up to `wait` for a change of the current document after `since`; times out after `wait` and `grace`.
    void watchCurrent(Common::StoreRevision since, Common::Duration wait, Common::Duration grace,
        Common::Callback<Scheduler::StoreChanges>);
    void readHistory(Common::ConfigRevision, Common::Callback<Stored>);
    /// Also succeeds if the entry exists already.
    void writeHistory(const ConfigDocument&, Common::Callback<Common::Done>);
    /// Removes an entry if it exists. Failures are not reported, since an entry that stays does no harm.
    void removeHistory(Common::ConfigRevision);

    static const std::string& currentKey();

private:
    void read(const std::string& key, Common::Callback<Stored>);

    Scheduler::Runtime& m_runtime;
    Scheduler::StorePort& m_store;
    Common::Duration m_callTimeout;
};

} // namespace Config
