// Builds batches and handles conflicts and unknown outcomes of transactions.
#include "Cells/CellCommitter.h"

#include "Cells/StoreKeys.h"
#include "Common/Log.h"
#include "Common/WorkTimes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cells {

namespace {

    /// Expected location, new location and job record.
    constexpr size_t entriesPerAccept = 3;
    /// Expected transfer, new transfer and the sending job's record.
    constexpr size_t entriesPerTransfer = 3;
    /// Expected cell record, the cell's workers and its pressure estimates.
    constexpr size_t reservedEntries = 3;

    const Scheduler::StoreValue* findKey(const Conflict& conflict, const std::string& key)
    {
        const auto found = std::find_if(conflict.current.begin(), conflict.current.end(),
            [&](const Scheduler::StoreValue& value) { return value.key == key; });
        return found == conflict.current.end() ? nullptr : &*found;
    }

    Common::Failure failure(Common::ErrorCode code, const char* detail)
    {
        return Common::Failure { code, detail, std::nullopt };
    }

} // namespace

CellCommitter::CellCommitter(Scheduler::Runtime& runtime, RecordStore& store, CellId cell, CellRecord record,
    Common::StoreRevision fence, Common::MonotonicTime confirmedAt, CommitterSettings settings, Hooks hooks)
    : m_runtime(runtime)
    , m_store(store)
    , m_cell(std::move(cell))
    , m_record(std::move(record))
    , m_fence(fence)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_confirmedAt(confirmedAt)
{
    m_runtime.schedule(m_settings.confirmInterval, m_lifetime.guard([this] { confirm(); }));
}

void CellCommitter::accept(const Common::JobId& job, std::string text, Common::Callback<AcceptOutcome> callback)
{
    if (m_stopped) {
        callback(failure(Common::ErrorCode::NotOwner, "the cell has another owner"));
        return;
    }
    const auto known = m_accepts.find(job);
    if (known == m_accepts.end()) {
        m_accepts.emplace(job, Accept { std::move(text), std::move(callback), m_runtime.now(), false });
    } else {
        // The first caller got OutcomeUnknown, and the outcome of the write is still open.
        known->second.callback = std::move(callback);
        known->second.since = m_runtime.now();
    }
    scheduleFlush(m_settings.urgentCommitDelay);
    m_runtime.schedule(currentAcceptTimeout(), m_lifetime.guard([this] { expireAccepts(); }));
}

void CellCommitter::markChanged(const Common::JobId& job)
{
    if (m_stopped)
        return;
    m_changes[job];
    scheduleFlush(m_settings.lazyCommitDelay);
}

void CellCommitter::markChangedUrgently(const Common::JobId& job, Common::Callback<Common::Done> done)
{
    if (m_stopped) {
        if (done)
            done(failure(Common::ErrorCode::NotOwner, "the cell has another owner"));
        return;
    }
    Change& change = m_changes[job];
    if (done)
        change.callbacks.push_back(std::move(done));
    scheduleFlush(m_settings.urgentCommitDelay);
}

void CellCommitter::transferTasks(
    const Common::JobId& job, std::string key, std::string text, Common::Callback<bool> done)
{
    m_transfers[job] = Transfer { std::move(key), std::move(text), std::move(done) };
    scheduleFlush(m_settings.urgentCommitDelay);
}

void CellCommitter::recordReceivedTransfer(const Common::JobId& job, std::string key)
{
    if (m_stopped)
        return;
    m_changes[job].receivedTransfers.insert(std::move(key));
    scheduleFlush(m_settings.lazyCommitDelay);
}

void CellCommitter::answerTransfer(const Common::JobId& job, bool committed)
{
    auto transfer = m_transfers.extract(job);
    if (!transfer.empty())
        transfer.mapped().callback(committed);
}

void CellCommitter::removeRecord(const Common::JobId& job, bool withLocation)
{
    m_removals.push_back({ job, withLocation });
    scheduleFlush(m_settings.lazyCommitDelay);
}

void CellCommitter::setWorkers(std::string text, std::function<void()> written)
{
    m_workers = std::move(text);
    m_workersWritten = std::move(written);
    scheduleFlush(m_settings.urgentCommitDelay);
}

void CellCommitter::release(std::function<void()> done)
{
    m_onReleased = std::move(done);
    if (m_stopped) {
        finishRelease();
        return;
    }
    scheduleFlush(Common::Duration::zero());
}

void CellCommitter::settle(Common::Duration leaseHorizon)
{
    // A write in progress may be a rewrite that still says so.
    if (m_stopped || m_busy || !std::exchange(m_record.unsettled, false))
        return;
    m_record.leaseHorizon = leaseHorizon;
    m_needsRewrite = true;
    scheduleFlush(m_settings.lazyCommitDelay);
}

void CellCommitter::stop()
{
    if (std::exchange(m_stopped, true))
        return;
    const auto accepts = std::exchange(m_accepts, {});
    const auto changes = std::exchange(m_changes, {});
    m_transfers.clear();
    const auto batch = std::exchange(m_batch, {});
    for (const auto& [job, accept] : accepts) {
        if (!accept.callback)
            continue;
        const bool certain = !accept.outcomeUnknown && !m_busy;
        accept.callback(certain ? failure(Common::ErrorCode::NotOwner, "the cell has another owner")
                                : failure(Common::ErrorCode::OutcomeUnknown, "the cell was lost during the write"));
    }
    const auto refuse = [](const std::map<Common::JobId, Change>& waiting) {
        for (const auto& [job, change] : waiting) {
            for (const auto& callback : change.callbacks)
                callback(
                    failure(Common::ErrorCode::OutcomeUnknown, "the cell was lost before the write was confirmed"));
        }
    };
    refuse(changes);
    refuse(batch.changes);
    finishRelease();
}

bool CellCommitter::isIdle() const
{
    return m_accepts.empty() && m_changes.empty() && m_transfers.empty() && m_removals.empty() && !m_workers;
}

void CellCommitter::scheduleFlush(Common::Duration delay)
{
    const Common::MonotonicTime due = std::max(m_runtime.now() + delay, m_retryAt);
    if (m_flushTimer && m_flushDue <= due)
        return;
    if (m_flushTimer)
        m_runtime.cancel(*m_flushTimer);
    m_flushDue = due;
    m_flushTimer = m_runtime.schedule(due - m_runtime.now(), m_lifetime.guard([this] {
        m_flushTimer.reset();
        flush();
    }));
}

void CellCommitter::flush()
{
    if (m_busy || m_stopped)
        return;
    if (m_runtime.now() < m_retryAt) {
        scheduleFlush(Common::Duration::zero());
        return;
    }
    const Common::WorkTimes::Scope work(Common::WorkKind::Commits);
    if (m_needsRewrite) {
        rewriteRecord();
        return;
    }
    if (isIdle()) {
        if (m_onReleased) {
            m_record.released = true;
            rewriteRecord();
        }
        return;
    }
    m_busy = true;
    m_sentAt = m_runtime.suspendAwareNow();
    m_store.commit(buildTransaction(), m_lifetime.guard([this](const Common::Result<TransactionOutcome>& outcome) {
        m_busy = false;
        if (!m_stopped)
            onOutcome(outcome);
    }));
}

RecordTransaction CellCommitter::buildTransaction()
{
    RecordTransaction transaction;
    m_batch = Batch {};
    transaction.expected.emplace_back(StoreKeys::cell(m_cell), m_fence);
    size_t remainingEntries = RecordStore::maximumEntries - reservedEntries;
    if (m_workers) {
        transaction.puts.push_back({ StoreKeys::cellWorkers(m_cell), *m_workers, {} });
        m_batch.workers = m_workers;
    }
    if (m_pressureEstimates) {
        transaction.puts.push_back({ StoreKeys::pressureEstimates(m_cell), *m_pressureEstimates, {} });
        m_batch.pressureEstimates = m_pressureEstimates;
    }
    for (const auto& [job, accept] : m_accepts) {
        if (remainingEntries < entriesPerAccept)
            break;
        transaction.expected.emplace_back(StoreKeys::jobLocation(job), Common::StoreRevision {});
        transaction.puts.push_back({ StoreKeys::jobLocation(job), m_cell.value(), {} });
        transaction.puts.push_back({ StoreKeys::job(m_cell, job), accept.text, {} });
        m_batch.accepts.push_back(job);
        remainingEntries -= entriesPerAccept;
    }
    for (auto row = m_transfers.begin(); row != m_transfers.end() && remainingEntries >= entriesPerTransfer;) {
        const auto current = row++;
        const auto& [job, transfer] = *current;
        const auto snapshot = m_hooks.snapshot(job);
        if (!snapshot) {
            answerTransfer(job, false);
            continue;
        }
        transaction.expected.emplace_back(transfer.key, Common::StoreRevision {});
        transaction.puts.push_back({ transfer.key, transfer.text, {} });
        transaction.puts.push_back({ StoreKeys::job(m_cell, job), snapshot->text, {} });
        m_batch.transfers.push_back(job);
        m_batch.snapshots.emplace(job, snapshot->changes);
        remainingEntries -= entriesPerTransfer;
    }
    for (auto row = m_changes.begin(); row != m_changes.end() && remainingEntries > 0;) {
        const auto current = row++;
        const bool written = m_batch.snapshots.contains(current->first);
        // The job's record has given up the tasks of a transfer that this transaction doesn't contain.
        if (!written && m_transfers.contains(current->first))
            continue;
        auto change = m_changes.extract(current);
        if (const auto snapshot = written ? std::nullopt : m_hooks.snapshot(change.key())) {
            transaction.puts.push_back({ StoreKeys::job(m_cell, change.key()), snapshot->text, {} });
            m_batch.snapshots.emplace(change.key(), snapshot->changes);
            --remainingEntries;
        }
        std::set<std::string>& received = change.mapped().receivedTransfers;
        // The record names the transfers that it contains, so that some may be removed later.
        std::set<std::string> removedLater;
        while (received.size() > remainingEntries)
            removedLater.insert(received.extract(std::prev(received.end())));
        for (const std::string& transfer : received)
            transaction.removals.push_back(transfer);
        remainingEntries -= received.size();
        if (!removedLater.empty())
            m_changes[change.key()].receivedTransfers = std::move(removedLater);
        m_batch.changes.insert(std::move(change));
    }
    while (remainingEntries > 1 && !m_removals.empty()) {
        const Removal removal = m_removals.back();
        m_removals.pop_back();
        if (removal.withLocation)
            transaction.removals.push_back(StoreKeys::jobLocation(removal.job));
        transaction.removals.push_back(StoreKeys::job(m_cell, removal.job));
        m_batch.removals.push_back(removal);
        remainingEntries -= 2;
    }
    return transaction;
}

void CellCommitter::onOutcome(Common::Result<TransactionOutcome> outcome)
{
    if (!outcome) {
        const bool outcomeUnknown = !provesNoEffect(outcome.reason().code);
        LC_WARN(Store,
            "event=commit-failed cell=" << m_cell.value() << " reason=" << Common::errorName(outcome.reason().code)
                                        << " jobs=" << m_batch.accepts.size() + m_batch.changes.size());
        m_failing = true;
        if (outcomeUnknown) {
            m_needsRewrite = true;
            for (const Common::JobId& job : m_batch.accepts) {
                if (const auto accept = m_accepts.find(job); accept != m_accepts.end())
                    accept->second.outcomeUnknown = true;
            }
        }
        requeue();
        retryLater();
        expireAccepts();
        return;
    }
    m_failing = false;
    m_retryPause = {};
    std::visit(
        [this](const auto& result) {
            if constexpr (std::is_same_v<std::decay_t<decltype(result)>, Committed>)
                onCommitted(result.revision);
            else
                onConflict(result);
        },
        *outcome);
    if (!m_stopped && (!isIdle() || m_onReleased || m_needsRewrite))
        scheduleFlush(m_onReleased ? Common::Duration::zero() : m_settings.urgentCommitDelay);
}

void CellCommitter::onCommitted(Common::StoreRevision)
{
    m_confirmedAt = m_sentAt;
    const Batch batch = std::exchange(m_batch, {});
    if (batch.workers && batch.workers == m_workers) {
        m_workers.reset();
        std::exchange(m_workersWritten, nullptr)();
    }
    if (batch.pressureEstimates && batch.pressureEstimates == m_pressureEstimates)
        m_pressureEstimates.reset();
    for (const auto& [job, changes] : batch.snapshots)
        m_hooks.committed(job, changes);
    for (const Common::JobId& job : batch.accepts)
        answerAccept(job, AcceptOutcome(Accepted {}));
    for (const Common::JobId& job : batch.transfers)
        answerTransfer(job, true);
    for (const auto& [job, change] : batch.changes) {
        for (const auto& callback : change.callbacks)
            callback(Common::Done {});
    }
}

void CellCommitter::onConflict(const Conflict& conflict)
{
    const Scheduler::StoreValue* const cell = findKey(conflict, StoreKeys::cell(m_cell));
    requeue();
    if (!cell || cell->revision != m_fence) {
        loseCell();
        return;
    }
    m_confirmedAt = m_sentAt;
    for (const auto& value : conflict.current) {
        if (value.revision.value == 0 || &value == cell)
            continue;
        // Besides the cell's record, transactions expect only job locations and transfers.
        const auto transfer = std::find_if(
            m_transfers.begin(), m_transfers.end(), [&](const auto& row) { return row.second.key == value.key; });
        if (transfer != m_transfers.end()) {
            // An equal text is this owner's own write whose answer was lost.
            answerTransfer(transfer->first, value.value == transfer->second.text);
            continue;
        }
        const Common::JobId job(value.key.substr(value.key.rfind('/') + 1));
        if (value.value == m_cell.value())
            answerAccept(job, AcceptOutcome(Accepted {}));
        else
            answerAccept(job, AcceptOutcome(AlreadyAccepted { CellId(value.value) }));
    }
}

void CellCommitter::answerAccept(const Common::JobId& job, Common::Result<AcceptOutcome> outcome)
{
    auto accept = m_accepts.extract(job);
    if (accept.empty())
        return;
    if (accept.mapped().callback)
        accept.mapped().callback(std::move(outcome));
    else if (outcome && std::holds_alternative<Accepted>(*outcome))
        m_hooks.acceptedLate(job);
}

/// Puts the changes of a failed batch back; the retry writes the jobs' state at that time.
void CellCommitter::requeue()
{
    Batch batch = std::exchange(m_batch, {});
    for (auto& [job, change] : batch.changes) {
        auto& callbacks = m_changes[job].callbacks;
        callbacks.insert(callbacks.end(), std::make_move_iterator(change.callbacks.begin()),
            std::make_move_iterator(change.callbacks.end()));
        m_changes[job].receivedTransfers.merge(change.receivedTransfers);
    }
    m_removals.insert(m_removals.end(), batch.removals.begin(), batch.removals.end());
}

/// The pause bounds the rate of calls to a failing store, so it counts from the sending of the call: one that has ended
/// by its timeout has waited already.
void CellCommitter::retryLater()
{
    m_retryPause = std::clamp(2 * m_retryPause, m_settings.firstRetryPause, m_settings.longestRetryPause);
    const Common::Duration took = m_runtime.suspendAwareNow() - m_sentAt;
    m_retryAt = m_runtime.now() + std::max(m_retryPause - took, m_settings.firstRetryPause);
    scheduleFlush(Common::Duration::zero());
}

Common::Duration CellCommitter::currentAcceptTimeout() const
{
    return m_failing ? m_settings.acceptTimeoutWhileFailing : m_settings.acceptTimeout;
}

void CellCommitter::expireAccepts()
{
    const Common::MonotonicTime now = m_runtime.now();
    std::vector<Common::JobId> refused;
    for (auto& [job, accept] : m_accepts) {
        const bool inProgress
            = m_busy && std::find(m_batch.accepts.begin(), m_batch.accepts.end(), job) != m_batch.accepts.end();
        if (accept.outcomeUnknown || inProgress) {
            // The caller gets OutcomeUnknown after the timeout; the outcome is resolved later.
            const bool withinTimeout = now - accept.since < m_settings.unknownOutcomeTimeout;
            if (accept.callback && !withinTimeout)
                std::exchange(accept.callback, nullptr)(
                    failure(Common::ErrorCode::OutcomeUnknown, "the store's answer to the write was lost"));
            continue;
        }
        if (now - accept.since >= currentAcceptTimeout())
            refused.push_back(job);
    }
    for (const Common::JobId& job : refused) {
        Common::Failure reason = failure(Common::ErrorCode::StoreUnavailable, "the store can't be written");
        reason.retryAfter = std::chrono::seconds(1);
        answerAccept(job, reason);
    }
}

void CellCommitter::rewriteRecord()
{
    m_busy = true;
    m_unansweredCopies = 0;
    sendRewrite();
}

/// Sends a copy of the rewrite, and another one after a while if none is answered. At most one copy commits, since all
/// expect the same revision; for the others the conflict shows this owner's own record.
void CellCommitter::sendRewrite()
{
    ++m_unansweredCopies;
    CellRecord rewritten = m_record;
    ++rewritten.rewrites;
    RecordTransaction transaction;
    transaction.expected.emplace_back(StoreKeys::cell(m_cell), m_fence);
    transaction.puts.push_back({ StoreKeys::cell(m_cell), rewritten.encode(), {} });
    m_store.commit(std::move(transaction),
        m_lifetime.guard([this, rewrite = m_rewrite, sentAt = m_runtime.suspendAwareNow()](
                             const Common::Result<TransactionOutcome>& outcome) {
            if (m_stopped || rewrite != m_rewrite)
                return;
            --m_unansweredCopies;
            const bool mayBeAnswered = m_unansweredCopies > 0 && !m_record.released;
            if (!outcome && !provesNoEffect(outcome.reason().code) && mayBeAnswered)
                return;
            ++m_rewrite;
            m_busy = false;
            m_sentAt = sentAt;
            onRewritten(outcome);
        }));
    m_runtime.schedule(m_settings.rewriteRepeat, m_lifetime.guard([this, rewrite = m_rewrite] {
        if (!m_stopped && rewrite == m_rewrite)
            sendRewrite();
    }));
}

void CellCommitter::onRewritten(Common::Result<TransactionOutcome> outcome)
{
    if (!outcome) {
        m_failing = true;
        expireAccepts();
        if (m_record.released) {
            // The successor takes over without the release mark too, only later.
            stop();
            return;
        }
        retryLater();
        return;
    }
    m_failing = false;
    m_retryPause = {};
    if (const auto* const committed = std::get_if<Committed>(&*outcome)) {
        m_fence = committed->revision;
        ++m_record.rewrites;
    } else {
        // An earlier rewrite may have committed after its call had failed.
        const auto* const current = findKey(std::get<Conflict>(*outcome), StoreKeys::cell(m_cell));
        const auto record = current ? CellRecord::decode(current->value) : CellRecord::decode("");
        if (!record || record->owner != m_record.owner || record->token != m_record.token) {
            loseCell();
            return;
        }
        m_fence = current->revision;
        m_record.rewrites = record->rewrites;
        const bool isOutdated = (m_record.released && !record->released) || (record->unsettled && !m_record.unsettled);
        if (isOutdated) {
            rewriteRecord();
            return;
        }
    }
    m_confirmedAt = m_sentAt;
    m_needsRewrite = false;
    if (m_record.released) {
        stop();
        return;
    }
    // Submissions whose caller got OutcomeUnknown are sent again too. If the first write was committed, the location
    // conflicts and the conflict confirms it.
    flush();
}

void CellCommitter::confirm()
{
    const Common::Duration left = m_settings.confirmInterval - (m_runtime.suspendAwareNow() - m_confirmedAt);
    const bool isDue = left <= Common::Duration::zero();
    m_runtime.schedule(isDue ? m_settings.confirmRetryInterval : left, m_lifetime.guard([this] { confirm(); }));
    if (isDue)
        readRecord();
}

void CellCommitter::confirmNow(std::function<void()> confirmed)
{
    // While the store fails, the regular confirmation tells when it answers again.
    if (m_stopped || m_busy || m_failing)
        return;
    m_awaitingConfirmation.push_back(std::move(confirmed));
    if (!m_reading)
        readRecord();
}

void CellCommitter::readRecord()
{
    if (m_stopped || m_busy)
        return;
    m_reading = true;
    m_store.get(StoreKeys::cell(m_cell), Freshness::Linearizable,
        m_lifetime.guard([this, now = m_runtime.suspendAwareNow()](
                             const Common::Result<std::optional<Scheduler::StoreValue>>& found) {
            m_reading = false;
            const auto waiting = std::exchange(m_awaitingConfirmation, {});
            if (m_stopped || m_busy || m_needsRewrite)
                return;
            m_failing = !found;
            if (!found)
                return;
            const auto record = *found ? CellRecord::decode((*found)->value) : CellRecord::decode("");
            if (!record || record->owner != m_record.owner || record->token != m_record.token) {
                loseCell();
                return;
            }
            if ((*found)->revision != m_fence)
                return;
            m_confirmedAt = std::max(m_confirmedAt, now);
            for (const auto& confirmed : waiting)
                confirmed();
        }));
}

void CellCommitter::loseCell()
{
    LC_WARN(Jobs, "event=cell-lost cell=" << m_cell.value() << " token=" << m_record.token.value);
    stop();
    m_hooks.lost();
}

void CellCommitter::finishRelease()
{
    if (const auto released = std::exchange(m_onReleased, nullptr))
        released();
}

} // namespace Cells
