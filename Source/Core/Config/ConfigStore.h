// The configuration's keys in the platform's store.
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

/// Every call is bounded in time. A failed write may have taken effect unless its code is ConnectFailed or
/// RevisionConflict.
class ConfigStore final : public std::enable_shared_from_this<ConfigStore> {
public:
    /// A key's document; both revisions are zero when the key does not exist.
    struct Stored {
        ConfigDocument document;
        Common::StoreRevision storeRevision;
    };

    ConfigStore(Scheduler::Runtime&, Scheduler::StorePort&, Common::Duration callBound);

    void readCurrent(Common::Callback<Stored>);
    void writeCurrent(Common::StoreRevision expected, const ConfigDocument&, Common::Callback<Common::StoreRevision>);
    /// Waits for a change of the current document after `since`, at most `wait`; the answer may take `grace` more.
    void watchCurrent(Common::StoreRevision since, Common::Duration wait, Common::Duration grace,
        Common::Callback<Scheduler::StoreChanges>);
    void readHistory(Common::ConfigRevision, Common::Callback<Stored>);
    /// Succeeds also when the entry is there already.
    void writeHistory(const ConfigDocument&, Common::Callback<Common::Done>);
    /// Removes an entry. An entry that is left over does no harm, so that failures are not reported.
    void removeHistory(Common::ConfigRevision);

    static const std::string& currentKey();

private:
    void read(const std::string& key, Common::Callback<Stored>);

    Scheduler::Runtime& m_runtime;
    Scheduler::StorePort& m_store;
    Common::Duration m_callBound;
};

} // namespace Config
