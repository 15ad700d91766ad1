// Follows the current document in the store, on one daemon a domain.
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

/// Long polls; a watch that yields nothing is repeated from the last document seen, so that a lost notification
/// costs one wait. Calls to the store: one each watchWait and one each readInterval; while the store fails,
/// one each storePause.
/// Invariant: at most one call is under way.
class ConfigWatcher final : public std::enable_shared_from_this<ConfigWatcher> {
public:
    using Learn = std::function<void(const ConfigDocument&)>;

    ConfigWatcher(Scheduler::Runtime&, std::shared_ptr<ConfigStore>, const ConfigServiceOptions&, Learn);

    /// Whether this daemon is to watch now. A call that is under way ends by itself.
    void setActive(bool);

private:
    void step();
    void read();
    void watch();
    void stepAfter(Common::Duration);
    void takeFailure(const Common::Failure&);
    void takeChanges(const Scheduler::StoreChanges&, Common::MonotonicTime startedAt);

    Scheduler::Runtime& m_runtime;
    std::shared_ptr<ConfigStore> m_store;
    ConfigServiceOptions m_options;
    Learn m_learn;
    bool m_active = false;
    /// A call is under way or a step is scheduled.
    bool m_busy = false;
    /// Store revision of the last document seen.
    Common::StoreRevision m_since;
    /// Nothing: read before the next watch.
    std::optional<Common::MonotonicTime> m_lastRead;
};

} // namespace Config
