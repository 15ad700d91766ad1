// Writes one operator's change of the configuration to the store.
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

/// Replaces the document by a compare-and-swap on the revision that the change was edited from. If the answer to a
/// write is lost, the current document is read and its change id compared before the write is repeated. Keeps itself
/// alive until the outcome is known.
/// Invariant: an accepted change has revision base + 1, since only the document of revision `base` is replaced.
class ConfigChange final : public std::enable_shared_from_this<ConfigChange> {
public:
    using DocumentHandler = std::function<void(const ConfigDocument&)>;

    /// The revision of `document` is base + 1. `onDocument` is called with every document that is read from the store.
    ConfigChange(Scheduler::Runtime&, std::shared_ptr<ConfigStore>, const ConfigServiceOptions&, ConfigDocument,
        DocumentHandler, ApplyCallback);

    void start();

private:
    void readCurrent();
    void checkCurrent(const ConfigStore::Stored&);
    void keepBaseInHistory(const ConfigStore::Stored&);
    void write(Common::StoreRevision expected);
    void checkHistory(const ConfigStore::Stored& current);
    void finishAccepted();
    void finishWithConflict(const ConfigDocument& current);
    void retryOrFail(const Common::Failure&);
    void finish(ApplyOutcome);
    Common::ConfigRevision base() const;

    Scheduler::Runtime& m_runtime;
    std::shared_ptr<ConfigStore> m_store;
    ConfigServiceOptions m_options;
    ConfigDocument m_document;
    DocumentHandler m_onDocument;
    ApplyCallback m_callback;
    Common::MonotonicTime m_deadline;
    /// A write was sent and may have taken effect.
    bool m_mayBeWritten = false;
};

} // namespace Config
