// One operator's change on its way into the store.
#pragma once

#include "Common/Units.h"
#include "Config/ApplyOutcome.h"
#include "Config/ConfigDocument.h"
#include "Config/ConfigServiceOptions.h"
#include "Config/ConfigStore.h"

#include <functional>
#include <memory>

namespace Scheduler {
class Runtime;
}

namespace Config {

/// Swaps the document on the revision that it was edited from. When the answer to a write is lost, reads back and
/// compares the change id before it writes again. Keeps itself alive until the outcome is known.
/// Invariant: an accepted change has revision base + 1, since the store's value is swapped only on `base`.
class ConfigChange final : public std::enable_shared_from_this<ConfigChange> {
public:
    using Learn = std::function<void(const ConfigDocument&)>;

    /// `document` carries the revision base + 1. `learn` gets every document that is seen in the store.
    ConfigChange(Scheduler::Runtime&, std::shared_ptr<ConfigStore>, const ConfigServiceOptions&, ConfigDocument, Learn,
        ApplyCallback);

    void start();

private:
    void readCurrent();
    void consider(const ConfigStore::Stored&);
    void keepBaseInHistory(const ConfigStore::Stored&);
    void write(Common::StoreRevision expected);
    void considerHistory(const ConfigStore::Stored& current);
    void accept();
    void conflict(const ConfigDocument& current);
    void retryAfter(const Common::Failure&);
    void finish(ApplyOutcome);
    Common::ConfigRevision base() const;

    Scheduler::Runtime& m_runtime;
    std::shared_ptr<ConfigStore> m_store;
    ConfigServiceOptions m_options;
    ConfigDocument m_document;
    Learn m_learn;
    ApplyCallback m_callback;
    Common::MonotonicTime m_deadline;
    /// A write was sent whose effect is not known.
    bool m_mayBeWritten = false;
};

} // namespace Config
