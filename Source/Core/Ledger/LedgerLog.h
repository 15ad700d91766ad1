// The log of one shard in the store: recovery, fencing, group commits and snapshots. LedgerShard uses it.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/CommitPacer.h"
#include "Ledger/LedgerSettings.h"
#include "Ledger/Lifetime.h"
#include "Ledger/LogEntry.h"
#include "Ledger/ShardIndex.h"
#include "Ledger/SnapshotWriter.h"
#include "Scheduler/ServiceContext.h"
#include "Scheduler/StorePort.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Ledger {

/// The log is a ring of slots. Entry n is written to slot n modulo slotCount, by compare-and-swap on the slot's last
/// known revision; slots are never removed. Invariants: a replaced owner can't commit, because its successor has
/// written the slot of its next entry; a slot is overwritten only after an entry has named a snapshot that contains the
/// slot's entry.
class LedgerLog {
public:
    struct Ticket {
        uint64_t value = 0;
    };
    enum class Urgency {
        /// A caller waits for the delta: commit as soon as the pace allows.
        Eager,
        /// Joins the next commit, at the latest after lazyCommitDelay.
        Lazy,
    };
    struct Recovered {
        std::vector<std::string> snapshotParts;
        /// The deltas of all entries after the snapshot, in order.
        std::vector<LedgerDelta> deltas;
    };
    /// Returns the state after all commits so far, in parts.
    using SnapshotSource = std::function<std::vector<std::string>()>;

    LedgerLog(const Scheduler::ServiceContext&, Scheduler::StorePort&, ShardIndex, const Common::DaemonId&,
        const LedgerSettings&);

    /// Reads the snapshot and the log, then writes an entry that fences the previous owner. After any failure this
    /// process doesn't own the log: RevisionConflict if another owner wrote meanwhile, ProtocolError if an entry is
    /// malformed, Internal if the ring is full, or the store's failure.
    void recover(Common::Callback<Recovered>);
    void setSnapshotSource(SnapshotSource source) { m_snapshotSource = std::move(source); }
    /// The action is called once, after another owner has taken over the shard. It may destroy the log.
    void onFenced(std::function<void()> action) { m_onFenced = std::move(action); }

    /// Commits the delta together with the other pending ones. Waits while the store is unavailable. Fails only when
    /// the shard is lost: with NotOwner if the delta was not committed, with OutcomeUnknown if it may have been.
    Ticket append(std::string delta, Urgency, Common::Callback<Common::Done>);
    /// Withdraws a delta that wasn't sent yet; its callback is not called. Returns false if it was sent.
    bool withdraw(Ticket);
    /// Commits the pending deltas and marks the last entry as the release of the shard. append() must not be called
    /// afterwards. `done` is not called if the shard is lost first.
    void release(std::function<void()> done);

    uint64_t epoch() const { return m_epoch; }
    /// Number of deltas that aren't sent yet.
    size_t pendingCount() const { return m_queue.size(); }

private:
    struct Pending {
        Ticket ticket;
        std::string delta;
        Urgency urgency = Urgency::Eager;
        Common::Callback<Common::Done> done;
    };
    struct Commit {
        LogEntry head;
        std::string value;
        std::vector<Pending> batch;
        /// An answer was lost, so the entry may be in the log.
        bool mayBeCommitted = false;
        Common::MonotonicTime sentAt {};
    };
    enum class State {
        NotOwned,
        Recovering,
        Owned,
        Fenced,
        Released,
    };

    std::string slotKey(uint64_t number) const;
    std::string snapshotPrefix(uint32_t side) const;
    Common::StoreRevision& slotRevision(uint64_t number);
    std::string newCommitId();

    void loadEntries(const std::vector<Scheduler::StoreValue>&, Common::Callback<Recovered>);
    void loadSnapshot(
        const std::vector<Scheduler::StoreValue>&, std::vector<LogEntry>, const Common::Callback<Recovered>&);
    void fence(Recovered, const Common::Callback<Recovered>&);
    void verifyFence(const LogEntry& head, Recovered, const Common::Callback<Recovered>&);
    void becomeOwner(const LogEntry& head, Common::StoreRevision, Recovered, const Common::Callback<Recovered>&);
    void failRecovery(const Common::Failure&, const Common::Callback<Recovered>&);

    void scheduleCommit(Common::Duration);
    void commitNext();
    bool hasWork() const;
    bool hasUrgentWork() const;
    bool ringHasRoom() const;
    void buildCommit();
    void send();
    void onSendAnswer(const Common::Result<Common::StoreRevision>&);
    void readBack();
    void onReadBack(const Common::Result<std::optional<Scheduler::StoreValue>>&);
    void retry(void (LedgerLog::*step)());
    void onCommitted(Common::StoreRevision);
    void loseOwnership();
    void checkOwnershipLater();
    void checkOwnership(uint64_t lastBefore);
    void onOwnershipChecked(uint64_t next, const Common::Result<std::optional<Scheduler::StoreValue>>&);
    void snapshotIfDue();

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    ShardIndex m_shard;
    Common::DaemonId m_self;
    const LedgerSettings& m_settings;
    State m_state = State::NotOwned;
    uint64_t m_lastEntry = 0;
    uint64_t m_epoch = 0;
    /// The snapshot that the last entry names.
    SnapshotName m_snapshot;
    /// A complete snapshot that the next entry names.
    std::optional<SnapshotName> m_nextSnapshot;
    std::vector<Common::StoreRevision> m_slotRevisions;
    std::deque<Pending> m_queue;
    /// The commit in progress. Invariant: while set, nothing else is written to the ring. Reset as soon as the shard is
    /// lost, even if a call is still in progress.
    std::optional<Commit> m_commit;
    uint64_t m_lastTicket = 0;
    uint64_t m_lastCommitId = 0;
    CommitPacer m_pacer;
    Common::Duration m_retryPause {};
    std::optional<Common::MonotonicTime> m_nextCommitAt;
    bool m_releasing = false;
    SnapshotSource m_snapshotSource;
    SnapshotWriter m_snapshotWriter;
    std::function<void()> m_onFenced;
    std::function<void()> m_onReleased;
    Lifetime m_lifetime;
};

} // namespace Ledger
