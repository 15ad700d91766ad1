// The store for what must outlive the processes, as cells see it.
#pragma once

#include "Cells/RecordListing.h"
#include "Cells/RecordTransaction.h"
#include "Cells/TransactionOutcome.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Scheduler/StoreChanges.h"
#include "Scheduler/StoreValue.h"

#include <optional>
#include <string>

namespace Cells {

enum class Freshness {
    Linearizable,
    /// May be seconds old; costs a tenth.
    Stale,
};

/// Failures: ConnectFailed, StoreUnavailable and QuotaExceeded mean that nothing was done; Timeout and ConnectionLost
/// that a write may have been done, or may be done seconds later if its conditions still hold. No call is repeated by
/// itself.
class RecordStore {
public:
    virtual ~RecordStore() = default;

    /// Nothing inside the result when the key doesn't exist.
    virtual void get(const std::string& key, Freshness, Common::Callback<std::optional<Scheduler::StoreValue>>) = 0;
    /// All records with the prefix, in key order. Large listings are not a snapshot.
    virtual void list(const std::string& prefix, Freshness, Common::Callback<RecordListing>) = 0;
    /// Waits for changes after `since`, at most `wait`. HistoryLost: list again.
    virtual void watch(const std::string& prefix, Common::StoreRevision since, Common::Duration wait,
        Common::Callback<Scheduler::StoreChanges>)
        = 0;
    /// At most `maximumEntries` entries.
    virtual void commit(RecordTransaction, Common::Callback<TransactionOutcome>) = 0;

    static constexpr size_t maximumEntries = 32;
};

/// Whether a call that ended with this failure surely did nothing, so that it may be sent again.
inline bool provesNoEffect(Common::ErrorCode code)
{
    return code == Common::ErrorCode::ConnectFailed || code == Common::ErrorCode::StoreUnavailable
        || code == Common::ErrorCode::QuotaExceeded;
}

} // namespace Cells
