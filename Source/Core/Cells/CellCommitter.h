// Writes what a cell's owner decides into the store, a batch at a time.
#pragma once

#include "Cells/AcceptOutcome.h"
#include "Cells/CellRecord.h"
#include "Cells/CommitterSettings.h"
#include "Cells/RecordStore.h"
#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Common/Result.h"
#include "Scheduler/Runtime.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cells {

/// Every transaction expects the cell's record as this owner last wrote it. When the fate of one is unclear the record
/// is rewritten first: after that the lost transaction can't be carried out any more, and its changes are written anew.
/// Invariant: at most one transaction is under way.
class CellCommitter {
public:
    struct Snapshot {
        std::string text;
        uint64_t changes = 0;
    };
    struct Hooks {
        /// The job's record as of now; nothing when the job isn't known any more.
        std::function<std::optional<Snapshot>(const Common::JobId&)> snapshot;
        /// The store has the job as of that change.
        std::function<void(const Common::JobId&, uint64_t changes)> committed;
        /// A submission whose caller heard "unknown" turned out to be durable.
        std::function<void(const Common::JobId&)> acceptedLate;
        /// Another owner has the cell. Nothing is written any more.
        std::function<void()> lost;
    };

    CellCommitter(
        Scheduler::Runtime&, RecordStore&, CellId, CellRecord, Common::StoreRevision, CommitterSettings, Hooks);

    /// Writes the job's first record, unless a job of that id is there. Failures: StoreUnavailable and NotOwner mean
    /// that it was not written and will not be; OutcomeUnknown that it may have been.
    void accept(const Common::JobId&, std::string text, Common::Callback<AcceptOutcome>);
    /// The job has changed; it is written soon.
    void markChanged(const Common::JobId&);
    /// The job has changed and somebody waits. `done` is called when the change is durable, or with the failure.
    void markChangedUrgently(const Common::JobId&, Common::Callback<Common::Done> done);
    /// The job has given tasks to another cell: its own record and the gift are written together. False: there is
    /// another gift under that key, and nothing was written. One gift of a job at a time: its record lets go of all.
    void transferTasks(const Common::JobId&, std::string key, std::string text, Common::Callback<bool> done);
    bool isTransferring(const Common::JobId& job) const { return m_transfers.contains(job); }
    /// The job has taken over what lies under the key: its own record is written and the gift removed, together.
    void recordReceivedTransfer(const Common::JobId&, std::string key);
    /// Removes the record of a job that nobody asks for any more; `withLocation`: also that of its place.
    void removeRecord(const Common::JobId&, bool withLocation);
    /// Replaces the record of the cell's workers.
    void setWorkers(std::string text, std::function<void()> written);
    /// Has the cell's beliefs written together with whatever is written next.
    void setPressureEstimates(std::string text) { m_pressureEstimates = std::move(text); }
    /// Writes what is left, then marks the cell as released. `done` is called also when that fails.
    void release(std::function<void()> done);
    /// Nothing is written any more; who waits hears NotOwner.
    void stop();

    /// When the store last confirmed that the cell is ours, on the clock that counts suspended time.
    Common::MonotonicTime confirmedAt() const { return m_confirmedAt; }
    bool isStoreAvailable() const { return !m_failing; }
    size_t waiting() const { return m_accepts.size() + m_changes.size(); }

private:
    struct Accept {
        std::string text;
        Common::Callback<AcceptOutcome> callback;
        Common::MonotonicTime since;
        /// A transaction with it had no answer.
        bool unclear = false;
    };
    struct Change {
        std::vector<Common::Callback<Common::Done>> callbacks;
        /// Keys of gifts that the job's record has taken in.
        std::set<std::string> receivedTransfers;
    };
    /// Tasks on their way to another cell.
    struct Transfer {
        std::string key;
        std::string text;
        Common::Callback<bool> callback;
    };
    struct Forgotten {
        Common::JobId job;
        bool withLocation = true;
    };
    struct Batch {
        std::vector<Common::JobId> transfers;
        std::vector<Common::JobId> accepts;
        std::map<Common::JobId, Change> changes;
        std::map<Common::JobId, uint64_t> snapshots;
        std::vector<Forgotten> forgotten;
        std::optional<std::string> workers;
        std::optional<std::string> pressureEstimates;
    };

    void gather(Common::Duration);
    void flush();
    RecordTransaction build();
    void onOutcome(Common::Result<TransactionOutcome>);
    void onCommitted(Common::StoreRevision);
    void onConflict(const Conflict&);
    void requeue();
    void retryLater();
    void rewriteRecord();
    void onRewritten(Common::Result<TransactionOutcome>);
    void confirm();
    void lose();
    void expireAccepts();
    /// How long a submission may wait to be written.
    Common::Duration currentAcceptTimeout() const;
    void answer(const Common::JobId&, Common::Result<AcceptOutcome>);
    void answerTransfer(const Common::JobId&, bool given);
    void finishRelease();
    bool idle() const;

    Scheduler::Runtime& m_runtime;
    RecordStore& m_store;
    CellId m_cell;
    CellRecord m_record;
    Common::StoreRevision m_fence;
    CommitterSettings m_settings;
    Hooks m_hooks;
    std::map<Common::JobId, Accept> m_accepts;
    std::map<Common::JobId, Change> m_changes;
    std::map<Common::JobId, Transfer> m_transfers;
    std::vector<Forgotten> m_forgotten;
    std::optional<std::string> m_workers;
    std::function<void()> m_workersWritten;
    std::optional<std::string> m_pressureEstimates;
    Batch m_batch;
    std::function<void()> m_released;
    std::optional<Scheduler::TimerId> m_flushTimer;
    Common::MonotonicTime m_flushDue;
    Common::MonotonicTime m_confirmedAt;
    /// When the call under way was sent.
    Common::MonotonicTime m_sentAt;
    Common::Duration m_pause {};
    bool m_busy = false;
    bool m_needsRewrite = false;
    bool m_failing = false;
    bool m_stopped = false;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
