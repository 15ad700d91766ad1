// Writes the state of an owned cell to the store in batched transactions. CellEngine calls it for each change.
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

/// Every transaction expects the cell's record at the revision that this owner last wrote. After a transaction with an
/// unknown outcome the record is rewritten first: from then on the lost transaction can't commit any more, and its
/// changes are written again. Invariant: at most one transaction is in progress, or copies of one rewrite.
class CellCommitter {
public:
    struct Snapshot {
        std::string text;
        uint64_t changes = 0;
    };
    struct Hooks {
        /// Returns the job's current record; nullopt when the job is no longer known.
        std::function<std::optional<Snapshot>(const Common::JobId&)> snapshot;
        /// The job is durable up to and including change number `changes`.
        std::function<void(const Common::JobId&, uint64_t changes)> committed;
        /// A submission whose caller got OutcomeUnknown turned out to be durable.
        std::function<void(const Common::JobId&)> acceptedLate;
        /// Another host owns the cell. Nothing more is written.
        std::function<void()> lost;
    };

    /// `confirmedAt`: see confirmedAt(); that of the claim.
    CellCommitter(Scheduler::Runtime&, RecordStore&, CellId, CellRecord, Common::StoreRevision,
        Common::MonotonicTime confirmedAt, CommitterSettings, Hooks);

    /// Writes the job's first record unless a job with that id exists. Failures: StoreUnavailable and NotOwner mean
    /// that it was not written and will not be; OutcomeUnknown means that it may have been.
    void accept(const Common::JobId&, std::string text, Common::Callback<AcceptOutcome>);
    /// Schedules a write of the job after `lazyCommitDelay`.
    void markChanged(const Common::JobId&);
    /// Schedules a write of the job after `urgentCommitDelay`. `done` may be null; it is called when the change is
    /// durable, or with NotOwner or OutcomeUnknown when the cell was lost.
    void markChangedUrgently(const Common::JobId&, Common::Callback<Common::Done> done);
    /// Writes the record of a task transfer to another cell together with the job's own record. `done` gets false when
    /// a different transfer exists under that key or the job is no longer known; nothing was written then. A job has at
    /// most one transfer in progress, because its record gives up all transferred tasks at once.
    void transferTasks(const Common::JobId&, std::string key, std::string text, Common::Callback<bool> done);
    bool isTransferring(const Common::JobId& job) const { return m_transfers.contains(job); }
    /// Writes the job, which has received the transfer under the key, and removes the transfer in the same transaction.
    void recordReceivedTransfer(const Common::JobId&, std::string key);
    /// Removes the record of an expired job, and its location record if `withLocation` is set.
    void removeRecord(const Common::JobId&, bool withLocation);
    /// Replaces the record of the cell's workers; `written` is called when it is durable.
    void setWorkers(std::string text, std::function<void()> written);
    /// Writes the cell's pressure estimates along with the next transaction; doesn't cause one.
    void setPressureEstimates(std::string text) { m_pressureEstimates = std::move(text); }
    /// Writes all pending changes, then marks the cell as released. `done` is called even if that fails.
    void release(std::function<void()> done);
    /// Whether the cell's record says that an earlier owner may still grant leases.
    bool isUnsettled() const { return m_record.unsettled; }
    /// Takes that out of the record: no earlier owner can grant leases any more, and those of this owner end by the
    /// horizon. No effect while a write is in progress.
    void settle(Common::Duration leaseHorizon);
    /// Stops writing. Pending calls fail: submissions known not to be written with NotOwner, all others with
    /// OutcomeUnknown. Callbacks of transfers are dropped without a call.
    void stop();

    /// When the store last confirmed that this host owns the cell, on the clock that includes suspended time.
    Common::MonotonicTime confirmedAt() const { return m_confirmedAt; }
    /// Reads the cell's record. `confirmed` is called when it shows that this host owns the cell; it is dropped if it
    /// can't be read, or while a write that may show this is on its way.
    void confirmNow(std::function<void()> confirmed);
    /// Whether the release mark was sent: a successor that reads it counts on no further leases.
    bool isMarkingRelease() const { return m_record.released; }
    bool isStoreAvailable() const { return !m_failing; }
    size_t waiting() const { return m_accepts.size() + m_changes.size(); }

private:
    struct Accept {
        std::string text;
        Common::Callback<AcceptOutcome> callback;
        Common::MonotonicTime since;
        /// A transaction that contained it got no answer.
        bool outcomeUnknown = false;
    };
    struct Change {
        std::vector<Common::Callback<Common::Done>> callbacks;
        /// Keys of transfers that the job's record already contains.
        std::set<std::string> receivedTransfers;
    };
    /// A transfer of tasks to another cell that isn't durable yet.
    struct Transfer {
        std::string key;
        std::string text;
        Common::Callback<bool> callback;
    };
    struct Removal {
        Common::JobId job;
        bool withLocation = true;
    };
    struct Batch {
        std::vector<Common::JobId> transfers;
        std::vector<Common::JobId> accepts;
        std::map<Common::JobId, Change> changes;
        std::map<Common::JobId, uint64_t> snapshots;
        std::vector<Removal> removals;
        std::optional<std::string> workers;
        std::optional<std::string> pressureEstimates;
    };

    void scheduleFlush(Common::Duration);
    void flush();
    RecordTransaction buildTransaction();
    void onOutcome(Common::Result<TransactionOutcome>);
    void onCommitted(Common::StoreRevision);
    void onConflict(const Conflict&);
    void requeue();
    void retryLater();
    void rewriteRecord();
    void sendRewrite();
    void onRewritten(Common::Result<TransactionOutcome>);
    void confirm();
    void readRecord();
    void loseCell();
    void expireAccepts();
    /// How long a submission may wait to be written, depending on whether writes fail at present.
    Common::Duration currentAcceptTimeout() const;
    void answerAccept(const Common::JobId&, Common::Result<AcceptOutcome>);
    void answerTransfer(const Common::JobId&, bool committed);
    void finishRelease();
    bool isIdle() const;

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
    std::vector<Removal> m_removals;
    std::optional<std::string> m_workers;
    std::function<void()> m_workersWritten;
    std::optional<std::string> m_pressureEstimates;
    Batch m_batch;
    std::function<void()> m_onReleased;
    std::optional<Scheduler::TimerId> m_flushTimer;
    Common::MonotonicTime m_flushDue;
    Common::MonotonicTime m_confirmedAt;
    /// Callers of confirmNow() that wait for the reading that is on its way.
    std::vector<std::function<void()>> m_awaitingConfirmation;
    bool m_reading = false;
    /// When the call in progress, or the copy of a rewrite that ended it, was sent, on the clock that includes
    /// suspended time.
    Common::MonotonicTime m_sentAt;
    Common::Duration m_retryPause {};
    /// Nothing is sent before this time.
    Common::MonotonicTime m_retryAt;
    /// Number of the rewrite in progress, or of the next one. Answers to copies of earlier ones are ignored.
    uint64_t m_rewrite = 0;
    uint32_t m_unansweredCopies = 0;
    bool m_busy = false;
    bool m_needsRewrite = false;
    bool m_failing = false;
    bool m_stopped = false;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
