// Follows the current document in the store. One daemon per domain does so, and each daemon that has no revision yet.
#pragma once

#include "Common/Units.h"
#include "Config/ConfigServiceOptions.h"
#include "Config/ConfigStore.h"

#include <functional>
#include <memory>
#include <optional>

namespace Scheduler {
class Runtime;
}

namespace Config {

/// Uses long polls. A watch that yields nothing is repeated from the last document seen, so that a lost notification
/// delays a change by one wait. Load on the store: one call per watchWait and one per readInterval; while the store
/// fails, one per storePause.
/// Invariant: at most one call is under way.
class ConfigWatcher final : public std::enable_shared_from_this<ConfigWatcher> {
public:
    using DocumentHandler = std::function<void(const ConfigDocument&)>;

    ConfigWatcher(Scheduler::Runtime&, std::shared_ptr<ConfigStore>, const ConfigServiceOptions&, DocumentHandler);

    /// Starts or stops watching. A call that is under way is not cancelled.
    void setActive(bool);

private:
    void step();
    void read();
    void watch();
    void stepAfter(Common::Duration);
    void handleFailure(const Common::Failure&);
    void handleChanges(const Scheduler::StoreChanges&, Common::MonotonicTime startedAt);

    Scheduler::Runtime& m_runtime;
    std::shared_ptr<ConfigStore> m_store;
    ConfigServiceOptions m_options;
    DocumentHandler m_onDocument;
    bool m_active = false;
    /// A call is under way or a step is scheduled.
    bool m_busy = false;
    /// Store revision of the last document seen.
    Common::StoreRevision m_since;
    /// Empty: the document is read before the next watch.
    std::optional<Common::MonotonicTime> m_lastRead;
};

} // namespace Config
