// Access to the store through another host while the store can't be reached directly.
#pragma once

#include "Cells/HostDirectory.h"
#include "Cells/RecordStore.h"
#include "Common/Lifetime.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <functional>
#include <optional>
#include <string>

namespace Cells {

/// A failed read, and a write that is known to have changed nothing, is relayed to a host that reports the store as
/// available. A write with an unknown outcome isn't retried. Watches aren't relayed.
class RelayedStore final : public RecordStore {
public:
    RelayedStore(Scheduler::Runtime&, RecordStore& direct, Scheduler::PeerPort&);

    /// Registers the handlers for relayed calls of other hosts. The directory must outlive this object.
    void start(const HostDirectory&);
    /// Whether the last direct call succeeded, watches aside; true before the first one. A call that fails after a
    /// later one has succeeded doesn't count.
    bool isDirectStoreAvailable() const { return m_directAvailable; }

    void get(const std::string& key, Freshness, Common::Callback<std::optional<Scheduler::StoreValue>>) override;
    void list(const std::string& prefix, Freshness, Common::Callback<RecordListing>) override;
    void watch(const std::string& prefix, Common::StoreRevision since, Common::Duration wait,
        Common::Callback<Scheduler::StoreChanges>) override;
    void commit(RecordTransaction, Common::Callback<TransactionOutcome>) override;

private:
    /// A random host that can relay a call; null when there is none.
    const HostState* chooseRelay();
    /// Whether direct calls failed a moment ago, so that a relay is tried first.
    bool avoidDirect() const;
    /// Calls the store and hands each result to `recordDirectResult`, also that of a call for another host.
    void getDirectly(const std::string& key, Freshness, Common::Callback<std::optional<Scheduler::StoreValue>>);
    void listDirectly(const std::string& prefix, Freshness, Common::Callback<RecordListing>);
    void commitDirectly(RecordTransaction, Common::Callback<TransactionOutcome>);
    template <typename T> Common::Callback<T> recorded(Common::Callback<T>);
    void recordDirectResult(bool succeeded, Common::MonotonicTime sentAt);
    void serve();
    void checkDirectStore();

    Scheduler::Runtime& m_runtime;
    RecordStore& m_direct;
    Scheduler::PeerPort& m_peers;
    const HostDirectory* m_directory = nullptr;
    bool m_directAvailable = true;
    bool m_everAvailable = false;
    Common::MonotonicTime m_directFailedAt;
    /// When the latest of the calls that have succeeded was sent.
    std::optional<Common::MonotonicTime> m_answeredCallSentAt;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
