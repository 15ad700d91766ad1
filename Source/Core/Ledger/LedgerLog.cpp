// Recovers, fences and writes a shard's ring of slots.
#include "Ledger/LedgerLog.h"

#include "Common/Log.h"
#include "Scheduler/Runtime.h"

#include <algorithm>
#include <utility>

namespace Ledger {

namespace {

    std::string padded(uint64_t number, size_t width)
    {
        std::string digits = std::to_string(number);
        return std::string(digits.size() < width ? width - digits.size() : 0, '0') + digits;
    }

    Common::Failure conflict(const char* what) { return Common::Failure { Common::ErrorCode::RevisionConflict, what }; }

    bool provesNotWritten(Common::ErrorCode code) { return code == Common::ErrorCode::ConnectFailed; }

} // namespace

LedgerLog::LedgerLog(const Scheduler::ServiceContext& context, Scheduler::StorePort& store, ShardIndex shard,
    const Common::DaemonId& self, const LedgerSettings& settings)
    : m_context(context)
    , m_store(store)
    , m_shard(shard)
    , m_self(self)
    , m_settings(settings)
    , m_slotRevisions(settings.slotCount)
    , m_pacer(settings)
    , m_snapshotWriter(context, store, settings)
{
}

std::string LedgerLog::slotKey(uint64_t number) const
{
    return "ledger/" + padded(m_shard.value, 2) + "/log/" + padded(number % m_settings.slotCount, 4);
}

std::string LedgerLog::snapshotPrefix(uint32_t side) const
{
    return "ledger/" + padded(m_shard.value, 2) + "/snapshot/" + (side == 0 ? "a/" : "b/");
}

Common::StoreRevision& LedgerLog::slotRevision(uint64_t number)
{
    return m_slotRevisions[number % m_settings.slotCount];
}

std::string LedgerLog::newCommitId()
{
    // The owner's id is unique across restarts; the random part distinguishes two recoveries within one process.
    return m_self.value() + "/" + std::to_string(++m_lastCommitId) + "/" + std::to_string(m_context.runtime.random()());
}

// Recovery

void LedgerLog::recover(Common::Callback<Recovered> done)
{
    m_state = State::Recovering;
    m_store.list("ledger/" + padded(m_shard.value, 2) + "/log/",
        m_lifetime.guard(
            [this, done = std::move(done)](const Common::Result<std::vector<Scheduler::StoreValue>>& slots) {
                if (!slots) {
                    failRecovery(slots.reason(), done);
                    return;
                }
                loadEntries(*slots, done);
            }));
}

void LedgerLog::loadEntries(const std::vector<Scheduler::StoreValue>& slots, Common::Callback<Recovered> done)
{
    std::vector<LogEntry> entries;
    m_slotRevisions.assign(m_settings.slotCount, Common::StoreRevision {});
    for (const Scheduler::StoreValue& slot : slots) {
        Common::Result<LogEntry> entry = decodeEntry(slot.value);
        if (!entry) {
            failRecovery(entry.reason(), done);
            return;
        }
        slotRevision(entry->number) = slot.revision;
        entries.push_back(std::move(*entry));
    }
    std::sort(entries.begin(), entries.end(),
        [](const LogEntry& left, const LogEntry& right) { return left.number < right.number; });
    m_lastEntry = entries.empty() ? 0 : entries.back().number;
    m_epoch = entries.empty() ? 0 : entries.back().epoch;
    m_snapshot = entries.empty() ? SnapshotName {} : entries.back().snapshot;
    if (m_snapshot.upTo == 0) {
        loadSnapshot({}, std::move(entries), done);
        return;
    }
    m_store.list(snapshotPrefix(m_snapshot.side),
        m_lifetime.guard([this, entries = std::move(entries), done = std::move(done)](
                             const Common::Result<std::vector<Scheduler::StoreValue>>& parts) {
            if (!parts) {
                failRecovery(parts.reason(), done);
                return;
            }
            loadSnapshot(*parts, entries, done);
        }));
}

void LedgerLog::loadSnapshot(const std::vector<Scheduler::StoreValue>& parts, std::vector<LogEntry> entries,
    const Common::Callback<Recovered>& done)
{
    Recovered recovered;
    if (parts.size() < m_snapshot.parts) {
        failRecovery(conflict("a part of the snapshot is missing"), done);
        return;
    }
    for (uint32_t part = 0; part < m_snapshot.parts; ++part) {
        std::optional<std::string> records = SnapshotWriter::recordsOf(parts[part].value, m_snapshot);
        if (!records) {
            failRecovery(conflict("the snapshot was replaced while it was read"), done);
            return;
        }
        recovered.snapshotParts.push_back(std::move(*records));
    }
    uint64_t expected = m_snapshot.upTo;
    for (LogEntry& entry : entries) {
        if (entry.number <= m_snapshot.upTo)
            continue;
        if (entry.number != ++expected) {
            failRecovery(conflict("an entry of the log is missing"), done);
            return;
        }
        std::move(entry.deltas.begin(), entry.deltas.end(), std::back_inserter(recovered.deltas));
    }
    fence(std::move(recovered), done);
}

void LedgerLog::fence(Recovered recovered, const Common::Callback<Recovered>& done)
{
    if (m_lastEntry + 1 > m_snapshot.upTo + m_settings.slotCount) {
        failRecovery(Common::Failure { Common::ErrorCode::Internal, "the ring of log slots is full" }, done);
        return;
    }
    const LogEntry head { .number = m_lastEntry + 1,
        .owner = m_self,
        .epoch = m_epoch + 1,
        .commitId = newCommitId(),
        .snapshot = m_snapshot };
    m_store.compareAndSwap(slotKey(head.number), slotRevision(head.number), encodeEntry(head, {}), {},
        m_lifetime.guard([this, head, recovered = std::move(recovered), done](
                             const Common::Result<Common::StoreRevision>& revision) {
            if (revision) {
                becomeOwner(head, *revision, recovered, done);
                return;
            }
            if (provesNotWritten(revision.reason().code)) {
                failRecovery(revision.reason(), done);
                return;
            }
            verifyFence(head, recovered, done);
        }));
}

void LedgerLog::verifyFence(const LogEntry& head, Recovered recovered, const Common::Callback<Recovered>& done)
{
    m_store.get(slotKey(head.number),
        m_lifetime.guard([this, head, recovered = std::move(recovered), done](
                             const Common::Result<std::optional<Scheduler::StoreValue>>& found) {
            if (!found || !found->has_value()) {
                failRecovery(found ? conflict("the fence is not in the log") : found.reason(), done);
                return;
            }
            const Common::Result<LogEntry> there = decodeEntry((*found)->value);
            if (!there || there->commitId != head.commitId) {
                failRecovery(conflict("another owner wrote the slot"), done);
                return;
            }
            becomeOwner(head, (*found)->revision, recovered, done);
        }));
}

void LedgerLog::becomeOwner(
    const LogEntry& head, Common::StoreRevision revision, Recovered recovered, const Common::Callback<Recovered>& done)
{
    slotRevision(head.number) = revision;
    m_lastEntry = head.number;
    m_epoch = head.epoch;
    m_state = State::Owned;
    checkOwnershipLater();
    done(std::move(recovered));
}

void LedgerLog::failRecovery(const Common::Failure& reason, const Common::Callback<Recovered>& done)
{
    m_state = State::NotOwned;
    done(reason);
}

// Commits

LedgerLog::Ticket LedgerLog::append(std::string delta, Urgency urgency, Common::Callback<Common::Done> done)
{
    const Ticket ticket { ++m_lastTicket };
    if (m_state != State::Owned) {
        m_context.runtime.schedule(Common::Duration(0), [done = std::move(done)] {
            done(Common::Failure { Common::ErrorCode::NotOwner, "another daemon owns the shard" });
        });
        return ticket;
    }
    m_queue.push_back(Pending { ticket, std::move(delta), urgency, std::move(done) });
    scheduleCommit(urgency == Urgency::Eager ? Common::Duration(0) : m_settings.lazyCommitDelay);
    return ticket;
}

bool LedgerLog::withdraw(Ticket ticket)
{
    // Tickets increase along the queue.
    const auto found = std::lower_bound(m_queue.begin(), m_queue.end(), ticket.value,
        [](const Pending& pending, uint64_t value) { return pending.ticket.value < value; });
    if (found == m_queue.end() || found->ticket.value != ticket.value)
        return false;
    m_queue.erase(found);
    return true;
}

void LedgerLog::release(std::function<void()> done)
{
    m_releasing = true;
    m_onReleased = std::move(done);
    scheduleCommit(Common::Duration(0));
}

void LedgerLog::scheduleCommit(Common::Duration delay)
{
    const Common::MonotonicTime at = m_context.runtime.now() + delay;
    if (m_nextCommitAt && *m_nextCommitAt <= at)
        return;
    m_nextCommitAt = at;
    m_context.runtime.schedule(delay, m_lifetime.guard([this, at] {
        // An earlier commit was scheduled in the meantime.
        if (m_nextCommitAt != at)
            return;
        m_nextCommitAt.reset();
        commitNext();
    }));
}

bool LedgerLog::hasUrgentWork() const
{
    const auto eager = [](const Pending& pending) { return pending.urgency == Urgency::Eager; };
    return m_nextSnapshot || m_releasing || std::any_of(m_queue.begin(), m_queue.end(), eager);
}

bool LedgerLog::hasWork() const { return !m_queue.empty() || m_nextSnapshot || m_releasing; }

bool LedgerLog::ringHasRoom() const
{
    const uint64_t reserved = m_nextSnapshot ? 0 : m_settings.reservedSlots;
    return m_lastEntry + 1 + reserved <= m_snapshot.upTo + m_settings.slotCount;
}

void LedgerLog::commitNext()
{
    if (m_state != State::Owned || m_commit || !hasWork())
        return;
    snapshotIfDue();
    // The completion of the snapshot schedules the next commit.
    if (!ringHasRoom())
        return;
    const Common::Duration wait = m_pacer.timeToNextCommit(m_context.runtime.now());
    if (wait > Common::Duration(0)) {
        scheduleCommit(wait);
        return;
    }
    buildCommit();
    send();
}

void LedgerLog::buildCommit()
{
    Commit commit { .head = LogEntry { .number = m_lastEntry + 1,
                        .owner = m_self,
                        .epoch = m_epoch,
                        .commitId = newCommitId(),
                        .snapshot = m_nextSnapshot.value_or(m_snapshot) } };
    std::vector<std::string> deltas;
    size_t bytes = 0;
    while (!m_queue.empty()) {
        Pending& first = m_queue.front();
        if (!deltas.empty() && bytes + first.delta.size() > m_settings.maximumEntryBytes)
            break;
        bytes += first.delta.size() + 1;
        deltas.push_back(std::move(first.delta));
        commit.batch.push_back(std::move(first));
        m_queue.pop_front();
    }
    commit.head.released = m_releasing && m_queue.empty();
    commit.value = encodeEntry(commit.head, deltas);
    m_commit = std::move(commit);
    m_pacer.recordCommit(m_context.runtime.now());
}

void LedgerLog::send()
{
    if (!m_commit)
        return;
    m_commit->sentAt = m_context.runtime.now();
    const uint64_t number = m_commit->head.number;
    m_store.compareAndSwap(slotKey(number), slotRevision(number), m_commit->value, {},
        m_lifetime.guard([this](const Common::Result<Common::StoreRevision>& revision) { onSendAnswer(revision); }));
}

void LedgerLog::onSendAnswer(const Common::Result<Common::StoreRevision>& revision)
{
    if (!m_commit)
        return;
    m_pacer.recordAnswer(revision.hasValue(), m_context.runtime.now() - m_commit->sentAt);
    if (revision) {
        onCommitted(*revision);
        return;
    }
    if (provesNotWritten(revision.reason().code)) {
        retry(&LedgerLog::send);
        return;
    }
    // The conflicting write may be an earlier try of this commit whose answer was lost.
    if (revision.reason().code != Common::ErrorCode::RevisionConflict)
        m_commit->mayBeCommitted = true;
    readBack();
}

void LedgerLog::readBack()
{
    if (!m_commit)
        return;
    m_store.get(slotKey(m_commit->head.number), m_lifetime.guard([this](const auto& found) { onReadBack(found); }));
}

void LedgerLog::onReadBack(const Common::Result<std::optional<Scheduler::StoreValue>>& found)
{
    if (!m_commit)
        return;
    if (!found) {
        retry(&LedgerLog::readBack);
        return;
    }
    const Common::StoreRevision there = found->has_value() ? (*found)->revision : Common::StoreRevision {};
    if (there == slotRevision(m_commit->head.number)) {
        retry(&LedgerLog::send);
        return;
    }
    if (!found->has_value()) {
        // The slot was removed, so it is unknown whether the entry was committed.
        m_commit->mayBeCommitted = true;
        loseOwnership();
        return;
    }
    const Common::Result<LogEntry> entry = decodeEntry((*found)->value);
    if (entry && entry->commitId == m_commit->head.commitId) {
        onCommitted(there);
        return;
    }
    loseOwnership();
}

void LedgerLog::retry(void (LedgerLog::*step)())
{
    m_retryPause = std::clamp(m_retryPause * 2, m_settings.storeRetryMinimum, m_settings.storeRetryMaximum);
    m_context.runtime.schedule(m_retryPause, m_lifetime.guard([this, step] { (this->*step)(); }));
}

void LedgerLog::onCommitted(Common::StoreRevision revision)
{
    Commit commit = std::move(*m_commit);
    m_commit.reset();
    m_retryPause = {};
    slotRevision(commit.head.number) = revision;
    m_lastEntry = commit.head.number;
    m_snapshot = commit.head.snapshot;
    if (m_nextSnapshot && m_nextSnapshot->upTo == m_snapshot.upTo)
        m_nextSnapshot.reset();
    if (commit.head.released)
        m_state = State::Released;
    const std::weak_ptr<int> alive = m_lifetime.token();
    for (const Pending& pending : commit.batch) {
        pending.done(Common::Done {});
        if (alive.expired())
            return;
    }
    if (m_state == State::Released) {
        m_onReleased();
        return;
    }
    snapshotIfDue();
    if (hasWork())
        scheduleCommit(hasUrgentWork() ? Common::Duration(0) : m_settings.lazyCommitDelay);
}

void LedgerLog::loseOwnership()
{
    m_state = State::Fenced;
    std::vector<Pending> sent;
    const bool mayBeCommitted = m_commit && m_commit->mayBeCommitted;
    if (m_commit)
        sent = std::move(m_commit->batch);
    m_commit.reset();
    const std::deque<Pending> queued = std::exchange(m_queue, {});
    const std::weak_ptr<int> alive = m_lifetime.token();
    const Common::Failure lost { mayBeCommitted ? Common::ErrorCode::OutcomeUnknown : Common::ErrorCode::NotOwner,
        "the shard was taken over" };
    for (const Pending& pending : sent)
        pending.done(lost);
    for (const Pending& pending : queued)
        pending.done(Common::Failure { Common::ErrorCode::NotOwner, "the shard was taken over" });
    if (!alive.expired() && m_onFenced)
        m_onFenced();
}

// An owner that was paused or cut off detects its successor's entry at its next commit. An idle owner has to read the
// slot instead.

void LedgerLog::checkOwnershipLater()
{
    m_context.runtime.schedule(
        m_settings.ownershipCheckInterval, m_lifetime.guard([this, last = m_lastEntry] { checkOwnership(last); }));
}

void LedgerLog::checkOwnership(uint64_t lastBefore)
{
    if (m_state != State::Owned)
        return;
    const bool busy = m_commit || m_lastEntry != lastBefore;
    if (busy) {
        checkOwnershipLater();
        return;
    }
    const uint64_t next = m_lastEntry + 1;
    m_store.get(slotKey(next), m_lifetime.guard([this, next](const auto& found) { onOwnershipChecked(next, found); }));
}

void LedgerLog::onOwnershipChecked(uint64_t next, const Common::Result<std::optional<Scheduler::StoreValue>>& found)
{
    if (m_state != State::Owned)
        return;
    checkOwnershipLater();
    // A commit since the read is newer information.
    if (!found || m_commit || m_lastEntry + 1 != next)
        return;
    const Common::StoreRevision there = found->has_value() ? (*found)->revision : Common::StoreRevision {};
    if (there != slotRevision(next))
        loseOwnership();
}

// Snapshots

void LedgerLog::snapshotIfDue()
{
    const bool due = m_lastEntry - m_snapshot.upTo >= m_settings.snapshotEvery;
    if (!due || m_state != State::Owned || m_commit || m_snapshotWriter.isBusy() || m_nextSnapshot || !m_snapshotSource)
        return;
    std::vector<std::string> parts = m_snapshotSource();
    const SnapshotName name { 1 - m_snapshot.side, m_lastEntry, static_cast<uint32_t>(parts.size()) };
    m_snapshotWriter.write(
        snapshotPrefix(name.side), m_epoch, name, std::move(parts), m_lifetime.guard([this, name](bool complete) {
            if (m_state != State::Owned)
                return;
            if (!complete) {
                // A commit in progress may have reached the log before the fence.
                if (m_commit)
                    m_commit->mayBeCommitted = true;
                loseOwnership();
                return;
            }
            m_nextSnapshot = name;
            scheduleCommit(Common::Duration(0));
        }));
}

} // namespace Ledger
