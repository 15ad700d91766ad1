// Port to the store of records that outlive processes: cells, jobs and their locations.
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
    /// May be seconds old; costs a tenth of a linearizable read.
    Stale,
};

/// Failures: ConnectFailed, StoreUnavailable and QuotaExceeded mean that nothing was changed. Timeout and
/// ConnectionLost mean that a write may have been committed, or may be committed seconds later if its conditions still
/// hold. No call is retried automatically.
class RecordStore {
public:
    virtual ~RecordStore() = default;

    /// The result is nullopt when the key doesn't exist.
    virtual void get(const std::string& key, Freshness, Common::Callback<std::optional<Scheduler::StoreValue>>) = 0;
    /// All records with the prefix, in key order. Large listings are not a snapshot.
    virtual void list(const std::string& prefix, Freshness, Common::Callback<RecordListing>) = 0;
    /// Waits at most `wait` for changes after `since`. On HistoryLost the caller has to list again.
    virtual void watch(const std::string& prefix, Common::StoreRevision since, Common::Duration wait,
        Common::Callback<Scheduler::StoreChanges>)
        = 0;
    /// At most `maximumEntries` entries.
    virtual void commit(RecordTransaction, Common::Callback<TransactionOutcome>) = 0;

    static constexpr size_t maximumEntries = 32;
};

/// Whether a call that failed with this code is known to have changed nothing, so that it may be retried.
inline bool provesNoEffect(Common::ErrorCode code)
{
    return code == Common::ErrorCode::ConnectFailed || code == Common::ErrorCode::StoreUnavailable
        || code == Common::ErrorCode::QuotaExceeded;
}

} // namespace Cells
