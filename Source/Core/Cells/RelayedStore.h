// The store, by way of another host while it turns this one away.
#pragma once

#include "Cells/HostDirectory.h"
#include "Cells/RecordStore.h"
#include "Common/Lifetime.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <functional>
#include <string>

namespace Cells {

/// A call that the store surely didn't serve is passed on to a host that says that the store answers it. A write whose
/// fate is unclear isn't repeated. Watches aren't passed on.
class RelayedStore final : public RecordStore {
public:
    RelayedStore(Scheduler::Runtime&, RecordStore& direct, Scheduler::PeerPort&);

    /// Serves the calls of other hosts. The directory outlives the store.
    void start(const HostDirectory&);
    /// Whether the store served the last direct call.
    bool isDirectStoreAvailable() const { return m_answers; }

    void get(const std::string& key, Freshness, Common::Callback<std::optional<Scheduler::StoreValue>>) override;
    void list(const std::string& prefix, Freshness, Common::Callback<RecordListing>) override;
    void watch(const std::string& prefix, Common::StoreRevision since, Common::Duration wait,
        Common::Callback<Scheduler::StoreChanges>) override;
    void commit(RecordTransaction, Common::Callback<TransactionOutcome>) override;

private:
    /// Where a relayed call may go; null when no host can help.
    const HostHeartbeat* helper();
    /// Whether direct calls fail at present, so that a helper is asked first.
    bool avoidDirect() const;
    void note(bool answered);
    void serve();

    Scheduler::Runtime& m_runtime;
    RecordStore& m_direct;
    Scheduler::PeerPort& m_peers;
    const HostDirectory* m_directory = nullptr;
    bool m_answers = true;
    bool m_everAnswered = false;
    Common::MonotonicTime m_failedAt;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
