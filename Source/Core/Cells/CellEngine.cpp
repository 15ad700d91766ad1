// Jobs, workers' reports and periodic checks of one cell.
#include "Cells/CellEngine.h"

#include "Cells/PressureEstimateCodec.h"
#include "Common/Log.h"
#include "Common/WorkTimes.h"
#include "Policy/UnreadEnd.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace Cells {

namespace {

    constexpr Common::Duration sweepInterval = std::chrono::milliseconds(500);
    /// The ends of late starts are rounded up to a multiple of that in the record of workers, so that further copies of
    /// an order rarely change it.
    constexpr int64_t lateStartsStepMilliseconds = 4000;
    /// A final job is known for this much longer than CellSettings::statusRetention: a query that began in time may
    /// wait for calls without an answer, and wall clocks of hosts differ.
    constexpr Common::Duration lateQueryTime = std::chrono::seconds(10);
    /// A run without progress for this long is stuck: two polls and the slack between them.
    constexpr Common::Duration stuckTimeout = std::chrono::milliseconds(3600);
    /// A long-running task that hasn't finished its start-up after this long is moved.
    constexpr Common::Duration startUpTimeout = std::chrono::milliseconds(4500);
    /// Tasks that save their progress are moved off a leaving worker when it may leave within this time.
    constexpr Common::Duration evacuationTime = std::chrono::milliseconds(900);
    /// Least time between two requests for the entry of a worker's present life.
    constexpr Common::Duration entryRequestInterval = std::chrono::milliseconds(400);
    /// Progress of a long-running task that has started up, and the pace of a run that isn't slowed down.
    constexpr uint32_t fullPercent = 100;
    /// Smaller changes of pace, in percent, aren't sent. The limit is lower for a slow-down because it protects
    /// services.
    constexpr uint32_t minimumPaceIncrease = 12;
    constexpr uint32_t minimumPaceDecrease = 6;
    /// Share of the unused processor time beside services that backfill of any image can count on.
    constexpr double backfillShareBesideServices = 0.25;
    /// Workers whose free processor time a heartbeat lists.
    constexpr size_t maximumReportedWorkers = 8;
    constexpr double microsecondsPerSecond = 1e6;
    /// In thousandths of a core times seconds; the sum over thousands of such steps fits into int64_t.
    constexpr double maximumWaitingOfStep = 1e15;

    const char* endName(RunEnd end)
    {
        constexpr std::array<const char*, 6> names { "done", "failed", "stopped", "lapsed", "broken", "alone" };
        return names.at(static_cast<size_t>(end));
    }

    /// A backfill run below this pace, in percent, for `starvationTimeout` is starved.
    constexpr uint32_t starvationPace = 50;
    constexpr Common::Duration starvationTimeout = std::chrono::milliseconds(1000);
    /// A starved run is moved only to a worker where it can work at this pace.
    constexpr double minimumPaceAfterMove = 0.8;
    /// A worker counts towards an image's backfill capacity if a run that needs this share of the worker could work at
    /// `acceptablePace`.
    constexpr double usualBackfillShare = 0.1;
    constexpr double acceptablePace = 0.7;
    /// Time between log lines about the pressure estimates. They are written to the store at the same interval, for a
    /// successor.
    constexpr Common::Duration pressureEstimateInterval = std::chrono::seconds(5);
    constexpr size_t storedPressureEstimates = 200;

    void addCapacity(const WorkerEntry& entry, CellLoad& load)
    {
        const int64_t milliCores = entry.capacity.milliCores;
        load.capacityMilliCores += milliCores;
        load.services[entry.service.value()] += milliCores;
        std::set<std::string> labels(entry.labels.begin(), entry.labels.end());
        if (!entry.rack.empty())
            labels.insert(entry.rack.value());
        for (const std::string& label : labels)
            load.labels[label] += milliCores;
    }

    /// Sorts the rooms, largest first, and drops those that heartbeats don't list.
    void keepLargest(std::vector<int64_t>& rooms)
    {
        std::sort(rooms.rbegin(), rooms.rend());
        if (rooms.size() > maximumReportedWorkers)
            rooms.resize(maximumReportedWorkers);
    }

    bool isSignificantPaceChange(uint32_t before, uint32_t after)
    {
        const bool atLimit = after == 0 || after == fullPercent;
        return after < before ? before - after >= minimumPaceDecrease || atLimit
                              : after - before >= minimumPaceIncrease || (after > before && atLimit);
    }

    bool isRun(const LiveTask* task, const Common::WorkerId& worker, Common::AttemptNumber attempt)
    {
        return task && task->run && task->run->worker == worker && task->run->attempt == attempt;
    }

} // namespace

CellEngine::CellEngine(Scheduler::Runtime& runtime, RecordStore& store, WorkerOrders& orders, CellId id,
    const CellSettings& settings, RecoveredCell recoveredCell, PeerCells peerCells, std::function<void()> lost)
    : m_runtime(runtime)
    , m_id(std::move(id))
    , m_token(recoveredCell.record.token)
    , m_settings(settings)
    , m_committer(runtime, store, m_id, recoveredCell.record, recoveredCell.fence, recoveredCell.confirmedAt,
          settings.commits,
          CellCommitter::Hooks {
              .snapshot = [this](const Common::JobId& job) -> std::optional<CellCommitter::Snapshot> {
                  const LiveJob* const live = findJob(job);
                  if (!live)
                      return std::nullopt;
                  return CellCommitter::Snapshot { live->toRecord().encode(), live->changes() };
              },
              .committed =
                  [this](const Common::JobId& job, uint64_t changes) {
                      if (LiveJob* const live = findJob(job))
                          live->committed(changes);
                  },
              .acceptedLate =
                  [this](const Common::JobId& job) {
                      auto record = m_submitted.extract(job);
                      if (!record.empty())
                          addJob(std::move(record.mapped()), false);
                  },
              .lost = [this] { stopAfterLoss(); },
          })
    , m_workers(runtime, orders, m_token, settings,
          recoveredCell.formerOwnerStopped
              ? InheritedLeases::ofStoppedOwners(recoveredCell.claimedAt, settings)
              : InheritedLeases::ofClaim(recoveredCell.record, recoveredCell.claimedAt, settings),
          CellWorkers::Hooks {
              .report = [this](CellWorker& worker, const RunReport& report,
                            Common::MonotonicTime askedAt) { onReport(worker, report, askedAt); },
              .runsCleared = [this](CellWorker& worker, bool rebooted) { onRunsCleared(worker, rebooted); },
              .startUnanswered = [this] { writeWorkers(); },
              .fenced =
                  [this] {
                      LC_WARN(Jobs, "event=fenced cell=" << m_id.value() << " token=" << m_token.value);
                      stopAfterLoss();
                  },
              .acknowledge = [this](CellWorker& worker) { acknowledge(worker); },
              .dropped = [this] { writeWorkers(); },
              .authorityLeft = [this] { return authorityLeft(); },
              .ownedAt =
                  [this] {
                      // Read first: this process may be suspended between the two.
                      const Common::MonotonicTime now = m_runtime.now();
                      return now - (m_runtime.suspendAwareNow() - m_committer.confirmedAt());
                  },
              .confirmOwnership =
                  [this](std::function<void()> confirmed) {
                      m_committer.confirmNow([this, confirmed = std::move(confirmed)] {
                          confirmed();
                          schedulePlacement();
                      });
                  },
              .shouldPollFrequently = [this](const CellWorker& worker) { return shouldPollFrequently(worker); },
              .pollThroughHost =
                  [this](const PollForHost& poll, const std::string& address, Common::Callback<RunReport> callback) {
                      return m_peerCells.pollThroughHost
                          ? m_peerCells.pollThroughHost(m_id, poll, address, std::move(callback))
                          : std::string();
                  },
          })
    , m_lost(std::move(lost))
    , m_peerCells(std::move(peerCells))
{
    m_tails.inherit(recoveredCell.pressureEstimates);
    for (Jobs::JobRecord& record : recoveredCell.jobs)
        notifyParts(addJob(std::move(record), true));
    for (const TaskTransfer& transfer : recoveredCell.transfers)
        receiveTransfer(transfer);
    for (const RecordedWorker& worker : recoveredCell.workers) {
        m_inheritedWorkers.insert(worker.id);
        m_workers.addRecorded(worker);
    }
    m_runtime.schedule(sweepInterval, m_lifetime.guard([this] { sweep(); }));
}

CellEngine::~CellEngine() = default;

void CellEngine::listWorker(const WorkerEntry& entry)
{
    noticeReplacement(entry);
    m_disownedWorkers.erase(entry.id);
    m_workers.add(entry);
    m_health.add(entry.id);
    writeWorkers();
    schedulePlacement();
}

void CellEngine::unlistWorker(const Common::WorkerId& id) { m_workers.unlist(id); }

void CellEngine::disownWorker(const Common::WorkerId& id)
{
    CellWorker* const worker = m_workers.find(id);
    if (!worker)
        return;
    worker->listed = false;
    m_disownedWorkers.insert(id);
    leaveDisownedWorkers();
}

void CellEngine::leaveDisownedWorkers()
{
    for (auto row = m_disownedWorkers.begin(); row != m_disownedWorkers.end();) {
        const Common::WorkerId id = *row;
        const CellWorker* const worker = m_workers.find(id);
        const auto hasRun = [this](const auto& run) { return findJob(run.first.task.job) != nullptr; };
        const bool mayHaveRuns = worker
            && ((!worker->contacted && m_inheritedWorkers.contains(id)) || m_workers.mayStartLate(*worker)
                || std::any_of(worker->allocations().begin(), worker->allocations().end(), hasRun));
        if (mayHaveRuns) {
            ++row;
            continue;
        }
        row = m_disownedWorkers.erase(row);
        if (!worker)
            continue;
        LC_WARN(Worker, "event=worker-disowned worker=" << id.value() << " cell=" << m_id.value());
        m_workers.remove(id);
    }
}

void CellEngine::unlistOthers(const std::map<Common::WorkerId, WorkerEntry>& listed)
{
    for (const auto& [id, worker] : m_workers.all()) {
        if (!listed.contains(id))
            m_workers.unlist(id);
    }
}

/// The record of workers must be durable before the first run is started on a new worker, or on a new life of one: a
/// successor may find no entry that tells of it.
void CellEngine::writeWorkers()
{
    nlohmann::json rows = nlohmann::json::array();
    std::map<Common::WorkerId, int64_t> lives;
    for (const auto& [id, worker] : m_workers.all()) {
        // A successor needn't wait for a worker that has no runs and gets none, and whose ends are durable.
        const bool takesWork = worker->listed && !worker->entry().draining;
        const bool mayHoldRuns = !worker->allocations().empty() || !worker->pendingEnds.empty()
            || m_workers.mayStartLate(*worker) || (!worker->contacted && m_inheritedWorkers.contains(id));
        if (!takesWork && !mayHoldRuns)
            continue;
        nlohmann::json row = nlohmann::json::array(
            { id.value(), worker->entry().address, worker->startedAtMilliseconds, worker->lateCallsEndMilliseconds });
        if (nlohmann::json starts = lateStarts(*worker); !starts.empty())
            row.push_back(std::move(starts));
        rows.push_back(std::move(row));
        lives.emplace(id, worker->startedAtMilliseconds);
    }
    std::string text = rows.dump();
    if (text == m_writtenWorkers)
        return;
    m_writtenWorkers = text;
    // From now on the durable record may be one that leaves these out, until a record with them is known to be durable.
    std::erase_if(m_recordedWorkers, [&lives](const auto& row) {
        const auto written = lives.find(row.first);
        return written == lives.end() || written->second != row.second;
    });
    m_committer.setWorkers(std::move(text), m_lifetime.guard([this, lives = std::move(lives)] {
        m_recordedWorkers = lives;
        schedulePlacement();
    }));
}

/// Those that are overdue, or all when the cell is handed over: their answers won't be read any more. See
/// RecordedWorker::lateStarts.
nlohmann::json CellEngine::lateStarts(const CellWorker& worker) const
{
    nlohmann::json rows = nlohmann::json::array();
    const Common::MonotonicTime now = m_runtime.now();
    const Common::MonotonicTime overdueAt = m_releasing ? now + m_settings.longestCallDelay : now;
    for (const auto& [task, sentAt] : worker.callsUnderWay.overdueStarts(overdueAt)) {
        const Common::Duration left = sentAt + m_settings.longestCallDelay - now;
        const int64_t end = m_runtime.wallMilliseconds() + left / std::chrono::milliseconds(1);
        const int64_t steps = (end + lateStartsStepMilliseconds - 1) / lateStartsStepMilliseconds;
        rows.push_back(nlohmann::json::array(
            { task.job.value(), task.occurrence, task.step, task.index, steps * lateStartsStepMilliseconds }));
    }
    return rows;
}

bool CellEngine::isRecorded(const CellWorker& worker) const
{
    const auto found = m_recordedWorkers.find(worker.id());
    return found != m_recordedWorkers.end() && found->second == worker.startedAtMilliseconds;
}

LiveJob* CellEngine::findJob(const Common::JobId& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

LiveJob& CellEngine::addJob(Jobs::JobRecord record, bool recovered)
{
    const Common::JobId id = record.id;
    auto job = std::make_unique<LiveJob>(std::move(record), recovered, m_runtime.now(), m_runtime.wallMilliseconds());
    job->committed(job->changes());
    // A run of an earlier owner can be adopted only if its occurrence is open.
    job->openDueOccurrences(m_runtime.now(), m_runtime.wallMilliseconds());
    schedulePlacement();
    if (recovered)
        m_runtime.schedule(Common::Duration::zero(), m_lifetime.guard([this, id] { giveUpTasksOf(id); }));
    return *(m_jobs[id] = std::move(job));
}

int64_t CellEngine::reservedMilliCores() const
{
    int64_t reserved = 0;
    for (const auto& [id, record] : m_submitted) {
        for (const Jobs::StepSpec& step : record.spec.steps)
            reserved += step.longRunning ? step.taskCount * step.resources.milliCores : 0;
    }
    for (const auto& [id, job] : m_jobs) {
        for (const auto& [index, occurrence] : job->occurrences()) {
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const Jobs::StepSpec& spec = job->stepSpec(step);
                reserved += spec.longRunning ? occurrence.steps[step].waitingCount * spec.resources.milliCores : 0;
            }
        }
    }
    return reserved;
}

bool CellEngine::fits(const Jobs::JobSpec& spec) const
{
    std::vector<int64_t> freeMilliCores;
    int64_t capacity = 0;
    for (const auto& [id, worker] : m_workers.all()) {
        if (!worker->isOpen())
            continue;
        freeMilliCores.push_back(worker->free().milliCores);
        capacity += worker->entry().capacity.milliCores;
    }
    const int64_t reserved = reservedMilliCores();
    return std::all_of(spec.steps.begin(), spec.steps.end(), [&](const Jobs::StepSpec& step) {
        return !step.longRunning
            || Policy::serviceFits(freeMilliCores, capacity, reserved,
                { step.taskCount, step.resources.milliCores, step.maximumPerWorker });
    });
}

void CellEngine::submit(Jobs::JobRecord record, Fit fit, Common::Callback<AcceptOutcome> callback)
{
    if (m_closed || m_releasing) {
        callback(Common::Failure { Common::ErrorCode::NotOwner, "the cell is being handed over", std::nullopt });
        return;
    }
    const Common::JobId id = record.id;
    if (const LiveJob* const known = findJob(id)) {
        const bool isElsewhere = known->isPart() && !known->homeCell().empty();
        callback(
            isElsewhere ? AcceptOutcome(AlreadyAccepted { CellId(known->homeCell()) }) : AcceptOutcome(Accepted {}));
        return;
    }
    if (fit == Fit::Required && !m_submissions.contains(id) && !fits(record.spec)) {
        callback(Common::Failure { Common::ErrorCode::WorkerFull,
            "the cell has no room for the long-running tasks of the job", std::nullopt });
        return;
    }
    auto& waiting = m_submissions[id];
    waiting.push_back(std::move(callback));
    if (waiting.size() > 1)
        return;
    std::string text = record.encode();
    m_submitted[id] = std::move(record);
    m_committer.accept(id, std::move(text), m_lifetime.guard([this, id](const Common::Result<AcceptOutcome>& outcome) {
        const auto callbacks = m_submissions.extract(id);
        if (!outcome && outcome.reason().code == Common::ErrorCode::OutcomeUnknown) {
            LC_WARN(Jobs, "event=submission-unclear job=" << id.value() << " cell=" << m_id.value());
        } else if (auto submitted = m_submitted.extract(id);
                   !submitted.empty() && outcome && std::holds_alternative<Accepted>(*outcome)) {
            LC_INFO(Jobs,
                "event=job-accepted job=" << id.value() << " cell=" << m_id.value()
                                          << " route=" << submitted.mapped().policy.route);
            addJob(std::move(submitted.mapped()), false);
        }
        if (callbacks.empty())
            return;
        for (const auto& waitingCaller : callbacks.mapped())
            waitingCaller(outcome);
    }));
}

std::optional<Jobs::JobPhase> CellEngine::phase(const Common::JobId& id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second->isPart())
        return std::nullopt;
    const LiveJob& job = *found->second;
    // A successor wouldn't know of a final phase that isn't durable.
    if (isFinal(job.phase()) && !job.isDurable())
        return Jobs::JobPhase::Running;
    return job.phase();
}

void CellEngine::cancel(const Common::JobId& id, Common::Callback<Common::Done> callback)
{
    LiveJob* const job = findJob(id);
    if (!job || job->isPart()) {
        const bool submissionPending = m_submitted.contains(id);
        callback(
            Common::Failure { submissionPending ? Common::ErrorCode::StoreUnavailable : Common::ErrorCode::UnknownJob,
                "the job isn't in this cell", std::nullopt });
        return;
    }
    cancelLocalJob(*job, std::move(callback));
}

void CellEngine::cancelLocalJob(LiveJob& job, Common::Callback<Common::Done> callback)
{
    const Common::JobId id = job.id();
    if (isFinal(job.phase())) {
        if (job.isDurable())
            callback(Common::Done {});
        else
            m_committer.markChangedUrgently(id, std::move(callback));
        return;
    }
    LC_INFO(Jobs, "event=job-cancelled job=" << id.value() << " cell=" << m_id.value());
    finishJob(job, Jobs::JobPhase::Cancelled, std::move(callback));
}

void CellEngine::finishJob(
    LiveJob& job, Jobs::JobPhase phase, Common::Callback<Common::Done> callback, const std::string& reason)
{
    job.finish(phase, m_runtime.wallMilliseconds(), reason);
    m_blockedSince.erase(job.id());
    stopRunsOf(job.id());
    m_committer.markChangedUrgently(
        job.id(), [this, id = job.id(), callback = std::move(callback)](const Common::Result<Common::Done>& done) {
            // A successor that doesn't know of the cancellation lets the job go on, so the parts must go on too.
            const LiveJob* const durable = done ? findJob(id) : nullptr;
            if (durable)
                notifyParts(*durable);
            if (callback)
                callback(done);
        });
}

void CellEngine::awaitStopped(const Common::JobId& id, StopScope scope, Common::Callback<Common::Done> callback)
{
    if (mayRun(id, scope))
        m_stopWaiters.push_back({ id, scope, std::move(callback) });
    else
        callback(Common::Done {});
}

/// Whether a task of the cancelled job may run, here or in a cell that hasn't acknowledged the cancellation.
bool CellEngine::mayRun(const Common::JobId& id, StopScope scope) const
{
    if (scope == StopScope::AllCells && m_partCancellations.contains(id))
        return true;
    const auto job = m_jobs.find(id);
    if (job != m_jobs.end() && job->second->recovered() && hasUncontactedWorkers())
        return true;
    const auto& workers = m_workers.all();
    return std::any_of(workers.begin(), workers.end(), [&id](const auto& row) {
        const auto& allocations = row.second->allocations();
        return std::any_of(
            allocations.begin(), allocations.end(), [&id](const auto& run) { return run.first.task.job == id; });
    });
}

void CellEngine::answerStopWaiters()
{
    std::vector<StopWaiter> waiting;
    for (StopWaiter& waiter : std::exchange(m_stopWaiters, {})) {
        if (mayRun(waiter.job, waiter.scope))
            waiting.push_back(std::move(waiter));
        else
            waiter.callback(Common::Done {});
    }
    m_stopWaiters.insert(
        m_stopWaiters.end(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
}

void CellEngine::refuseStopWaiters()
{
    for (const StopWaiter& waiter : std::exchange(m_stopWaiters, {}))
        waiter.callback(
            Common::Failure { Common::ErrorCode::NotOwner, "the cell was handed over or lost", std::nullopt });
}

void CellEngine::markChanged(LiveJob& job) { m_committer.markChanged(job.id()); }

void CellEngine::release(std::function<void()> done)
{
    m_releasing = true;
    writeWorkers();
    m_committer.release([this, done = std::move(done)] {
        m_closed = true;
        m_workers.close();
        refuseStopWaiters();
        done();
    });
}

void CellEngine::stopAfterLoss()
{
    if (std::exchange(m_closed, true))
        return;
    m_workers.close();
    m_committer.stop();
    refuseStopWaiters();
    m_lost();
}

Common::Duration CellEngine::authorityLeft() const
{
    if (m_closed || m_committer.isMarkingRelease())
        return Common::Duration::zero();
    return m_settings.authority - (m_runtime.suspendAwareNow() - m_committer.confirmedAt());
}

bool CellEngine::hasUncontactedWorkers() const
{
    const auto& workers = m_workers.all();
    return std::any_of(workers.begin(), workers.end(), [this](const auto& row) {
        return !row.second->contacted && m_inheritedWorkers.contains(row.first)
            && !m_workers.isProvablyIdle(*row.second);
    });
}

bool CellEngine::hasSilentWorkersWithRuns() const
{
    const auto& workers = m_workers.all();
    return std::any_of(workers.begin(), workers.end(),
        [](const auto& row) { return !row.second->reachable && !row.second->allocations().empty(); });
}

void CellEngine::sweep()
{
    m_runtime.schedule(sweepInterval, m_lifetime.guard([this] { sweep(); }));
    if (m_closed)
        return;
    const int64_t now = m_runtime.wallMilliseconds();
    const auto retention
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.statusRetention + lateQueryTime).count();
    for (auto row = m_jobs.begin(); row != m_jobs.end();) {
        const LiveJob& job = *row->second;
        const bool expired = isFinal(job.phase()) && job.isDurable() && now - job.finishedMilliseconds() > retention;
        if (expired)
            m_committer.removeRecord(job.id(), !job.isPart());
        row = expired ? m_jobs.erase(row) : std::next(row);
    }
    for (const auto& [id, worker] : m_workers.all()) {
        moveStuckRuns(*worker);
        moveStarvedRuns(*worker);
        if (worker->entry().draining && worker->hasOwnEntry())
            evacuate(*worker);
        requestOwnEntry(*worker);
    }
    leaveDisownedWorkers();
    // Workers that have reported to this owner refuse orders of earlier ones.
    if (m_committer.isUnsettled() && !hasUncontactedWorkers())
        m_committer.settle(m_settings.authority);
    returnAllEndedTasks();
    updateLightlyLoaded();
    writeWorkers();
    answerStopWaiters();
    logRoomSearches();
    if (m_runtime.now() - m_pressureEstimatesLoggedAt >= pressureEstimateInterval
        && !m_tails.backfillImages().empty()) {
        m_pressureEstimatesLoggedAt = m_runtime.now();
        LC_INFO(Jobs, "event=tail-model cell=" << m_id.value() << " pressures=" << m_tails.summary());
        m_committer.setPressureEstimates(
            pressureEstimatesToJson(m_tails.pressureEstimates(storedPressureEstimates)).dump());
    }
    schedulePlacement();
}

// Reports.

void CellEngine::onReport(CellWorker& worker, const RunReport& report, Common::MonotonicTime askedAt)
{
    const Common::WorkTimes::Scope work(Common::WorkKind::WorkerReports);
    if (report.unreadable > 0)
        LC_WARN(Worker, "event=unreadable-rows worker=" << worker.id().value() << " rows=" << report.unreadable);
    if (!worker.contacted) {
        LC_INFO(Worker,
            "event=worker-ready worker=" << worker.id().value() << " cell=" << m_id.value()
                                         << " runs=" << report.running.size() << " ends=" << report.ended.size());
    }
    if (report.capacity)
        worker.updateCapacity(*report.capacity);
    requestOwnEntry(worker);
    for (const EndedTask& end : report.ended) {
        if (end.number > worker.processedThrough)
            onEnd(worker, end);
    }
    // First: a listed run of a task whose own run is gone is adopted as that.
    removeAbsentRuns(worker, report, askedAt);
    for (const RunningTask& running : report.running)
        onRunning(worker, running);
    updateTailModel(worker);
    paceBackfill(worker);
    answerStopWaiters();
    schedulePlacement();
}

/// Asks for the entry of a worker's present life if only that of a former one is known.
void CellEngine::requestOwnEntry(CellWorker& worker)
{
    const Common::MonotonicTime now = m_runtime.now();
    if (!worker.listed || !worker.reachable || worker.hasOwnEntry() || !m_onOutdatedEntry
        || now - worker.entryRequestedAt < entryRequestInterval)
        return;
    worker.entryRequestedAt = now;
    LC_INFO(Worker,
        "event=entry-of-former-life worker=" << worker.id().value() << " entry=" << worker.entry().startedAtMilliseconds
                                             << " life=" << worker.startedAtMilliseconds);
    m_onOutdatedEntry(worker.id());
}

void CellEngine::onEnd(CellWorker& worker, const EndedTask& end)
{
    const RunKey run { end.task, end.attempt };
    const bool wasExpected = worker.find(run) != nullptr;
    worker.processedThrough = end.number;
    worker.removeAllocation(run);
    endQuarantine(worker, end.task);
    LiveJob* const job = findJob(end.task.job);
    if (job && !isFinal(job->phase())) {
        LC_INFO(Jobs,
            "event=run-ended run=" << runName(run) << " worker=" << worker.id().value() << " end=" << endName(end.end)
                                   << " number=" << end.number << " expected=" << wasExpected);
        job->openStarted(end.task.occurrence, m_runtime.now(), m_runtime.wallMilliseconds());
        job->recordAttempt(end.task, end.attempt);
        if (isRun(job->find(end.task), worker.id(), end.attempt)) {
            delayRestart(*job, end);
            job->clearRun(end.task);
        }
        if (end.end == RunEnd::Done)
            recordRunOutcome(worker, *job, true);
        const bool completesTask = end.end == RunEnd::Done && !job->isLongRunning(end.task);
        if (completesTask)
            onDone(*job, end);
        else
            stopOtherGangMembers(*job, run, GangMembers::NotReported);
        if (end.end == RunEnd::Failed)
            onFailed(*job, worker, end);
        else if (!completesTask)
            job->saveCheckpoint(end.task, end.checkpoint);
        if (!job->isDurable())
            markChanged(*job);
        if (job->isPart())
            scheduleReturn(job->id());
    }
    worker.pendingEnds.push_back({ end.number, end.task.job, job ? job->changes() : 0 });
}

/// Delays the next start of a long-running task whose present run has ended by itself, if its runs keep ending soon.
void CellEngine::delayRestart(LiveJob& job, const EndedTask& end)
{
    const bool endedByItself = end.end == RunEnd::Done || end.end == RunEnd::Failed;
    if (!endedByItself || !job.isLongRunning(end.task))
        return;
    const Common::MonotonicTime now = m_runtime.now();
    LiveTask& task = *job.find(end.task);
    const Common::Duration pause = task.restarts.runEnded(now - task.run->orderedAt);
    if (pause == Common::Duration::zero())
        return;
    task.notBefore = std::max(task.notBefore, now + pause);
    LC_INFO(Jobs,
        "event=restart-delayed run=" << runName({ end.task, end.attempt })
                                     << " pause-ms=" << pause / std::chrono::milliseconds(1));
}

void CellEngine::onDone(LiveJob& job, const EndedTask& end)
{
    // A run that was given up too early may have finished the work; then the run that replaced it is stopped.
    const LiveTask* const task = job.find(end.task);
    std::optional<std::pair<Common::WorkerId, RunKey>> other;
    if (task && task->run)
        other.emplace(task->run->worker, RunKey { end.task, task->run->attempt });
    if (!job.markDone(end.task))
        return;
    if (other) {
        if (CellWorker* const worker = m_workers.find(other->first))
            stopRun(*worker, other->second);
    }
    if (!job.isComplete())
        return;
    LC_INFO(Jobs, "event=job-completed job=" << job.id().value() << " cell=" << m_id.value());
    finishJob(job, Jobs::JobPhase::Completed, nullptr);
}

void CellEngine::onFailed(LiveJob& job, CellWorker& worker, const EndedTask& end)
{
    if (LiveTask* const task = job.find(end.task))
        task->avoid = worker.id();
    recordRunOutcome(worker, job, false);
    const bool usedUp = job.markFailed(end.task, end.attempt);
    tellHolderOfFailure(job, end.task);
    if (!usedUp || job.isPart())
        return;
    LC_INFO(Jobs, "event=job-failed job=" << job.id().value() << " task=" << runName({ end.task, end.attempt }));
    finishJob(job, Jobs::JobPhase::Failed, nullptr);
}

void CellEngine::recordRunOutcome(CellWorker& worker, const LiveJob& job, bool ok)
{
    const auto verdict = m_health.recordOutcome(worker.id(), job.id().value(), ok, m_runtime.now());
    if (verdict == Policy::WorkerHealth::Verdict::Ejected)
        LC_WARN(Worker, "event=worker-ejected worker=" << worker.id().value() << " job=" << job.id().value());
    else if (verdict == Policy::WorkerHealth::Verdict::Readmitted)
        LC_INFO(Worker, "event=worker-readmitted worker=" << worker.id().value());
}

void CellEngine::onRunning(CellWorker& worker, const RunningTask& row)
{
    const RunKey run { row.task, row.attempt };
    LiveJob* const job = findJob(row.task.job);
    if (job)
        job->openStarted(row.task.occurrence, m_runtime.now(), m_runtime.wallMilliseconds());
    RunAllocation* allocation = worker.find(run);
    if (!allocation) {
        adopt(worker, row, job);
        allocation = worker.find(run);
    }
    allocation->reportedRunning = true;
    allocation->token = worker.token;
    allocation->load = row.load;
    if (!allocation->orderAnsweredAt)
        allocation->orderAnsweredAt = m_runtime.now();
    LiveTask* const task = job && !isFinal(job->phase()) ? job->find(row.task) : nullptr;
    if (task)
        job->recordAttempt(row.task, row.attempt);
    if (!isRun(task, worker.id(), row.attempt)) {
        stopRun(worker, run);
        return;
    }
    TaskRun& current = *task->run;
    if (current.phase == RunPhase::Ordered)
        current.phase = RunPhase::Running;
    if (!current.confirmedAt)
        current.confirmedAt = m_runtime.now();
    if (row.percent > current.percent || (row.percent == fullPercent && job->stepSpec(row.task.step).longRunning)
        || allocation->pace < fullPercent)
        current.progressedAt = m_runtime.now();
    current.percent = row.percent;
    // Needed if the worker becomes unreachable; written to the store with the job's next change.
    if (!row.checkpoint.empty())
        job->updateCheckpoint(row.task, row.checkpoint);
}

/// Adds an allocation for a run that this owner doesn't know: an earlier owner started it, or it was given up too
/// early. A run of an unknown step is counted as using the whole worker.
void CellEngine::adopt(CellWorker& worker, const RunningTask& row, LiveJob* job)
{
    const RunKey run { row.task, row.attempt };
    const bool known = job && row.task.step < job->spec().steps.size();
    RunAllocation allocation;
    if (known)
        allocation = allocationFor(job->stepSpec(row.task.step));
    else
        allocation.held = worker.entry().capacity;
    allocation.orderedAt = m_runtime.now();
    worker.addAllocation(run, std::move(allocation));
    LiveTask* const task = known && !isFinal(job->phase()) ? job->find(row.task) : nullptr;
    LC_INFO(Jobs,
        "event=run-adopted run=" << runName(run) << " worker=" << worker.id().value()
                                 << " wanted=" << (task && task->waiting()));
    if (!task || !task->waiting())
        return;
    const Common::MonotonicTime now = m_runtime.now();
    const uint32_t lastAttempt = task->progress.lastAttempt;
    job->adoptRun(row.task, TaskRun { worker.id(), row.attempt, RunPhase::Running, now, now, row.percent, now });
    job->noteListed(row.task, lastAttempt);
}

void CellEngine::removeAbsentRuns(CellWorker& worker, const RunReport& report, Common::MonotonicTime askedAt)
{
    // A run may also be in a row that can't be read.
    if (report.ended.size() >= CellWorkers::maximumListedEnds || report.unreadable > 0)
        return;
    std::set<RunKey> present;
    for (const RunningTask& row : report.running)
        present.insert(RunKey { row.task, row.attempt });
    std::vector<RunKey> gone;
    for (const auto& [run, allocation] : worker.allocations()) {
        // While the worker is unreachable no further copy of a start order is sent.
        const bool isTooLate = !worker.reachable && !allocation.reportedRunning && allocation.startOutcomeUnknown
            && !worker.lease().mayBeUnderWay(allocation.startUnansweredSince, askedAt);
        const bool isAnswered = allocation.orderAnsweredAt && *allocation.orderAnsweredAt < askedAt;
        // The present life refuses orders that were meant for a former one.
        const bool isOfFormerLife = allocation.token != FencingToken {} && allocation.token != worker.token;
        if ((isAnswered || isTooLate || isOfFormerLife) && !present.contains(run))
            gone.push_back(run);
    }
    for (const RunKey& run : gone) {
        LC_INFO(Jobs, "event=run-absent run=" << runName(run) << " worker=" << worker.id().value());
        dropRun(worker, run);
    }
}

void CellEngine::dropRun(CellWorker& worker, const RunKey& run)
{
    if (const auto sentAt = worker.callsUnderWay.lastStart(run.task)) {
        LC_INFO(Jobs,
            "event=task-kept run=" << runName(run) << " worker=" << worker.id().value() << " left-ms="
                                   << (*sentAt + m_settings.longestCallDelay - m_runtime.now())
                    / std::chrono::milliseconds(1));
    }
    worker.removeAllocation(run);
    endQuarantine(worker, run.task);
    LiveJob* const job = findJob(run.task.job);
    if (job && isRun(job->find(run.task), worker.id(), run.attempt))
        job->clearRun(run.task);
}

void CellEngine::onRunsCleared(CellWorker& worker, bool rebooted)
{
    std::vector<RunKey> gone;
    std::vector<RunKey> unconfirmed;
    size_t awaited = 0;
    for (const auto& [run, allocation] : worker.allocations()) {
        const bool mayStillStart = !allocation.reportedRunning || allocation.startOutcomeUnknown;
        if (rebooted)
            (mayStillStart ? unconfirmed : gone).push_back(run);
        else if (awaitsLateStart(worker, run, allocation) || awaitsUnreadEnd(worker, run, allocation))
            ++awaited;
        else
            gone.push_back(run);
    }
    if (awaited > 0 && gone.empty()) {
        noteHeldRuns(worker);
        return;
    }
    LC_WARN(Worker,
        "event=" << (rebooted ? "worker-reborn" : "worker-lease-passed") << " worker=" << worker.id().value()
                 << " lost=" << gone.size() << " awaited=" << awaited
                 << " unheard-ms=" << (m_runtime.now() - worker.lastReportAt) / std::chrono::milliseconds(1));
    onRunsLost(worker, gone, rebooted);
    for (const RunKey& run : gone)
        dropRun(worker, run);
    // A start order that was answered may have been carried out by either life, and one without an answer may still be:
    // nothing in them tells the worker's lives apart.
    for (const RunKey& run : unconfirmed) {
        RunAllocation& allocation = *worker.find(run);
        allocation.reportedRunning = false;
        const auto answeredAt = std::exchange(allocation.orderAnsweredAt, std::nullopt);
        const bool wasSent = allocation.token != FencingToken {};
        if (wasSent && !std::exchange(allocation.startOutcomeUnknown, true))
            allocation.startUnansweredSince = answeredAt.value_or(m_runtime.now());
        if (std::exchange(allocation.stopping, false))
            stopRun(worker, run);
    }
    if (rebooted) {
        worker.forgetReportedCapacity();
        worker.processedThrough = 0;
        worker.acknowledgedThrough = 0;
        worker.pendingEnds.clear();
        writeWorkers();
    }
    schedulePlacement();
}

/// Whether the run has probably ended before the lease of its silent worker passed. The worker is up as long as the
/// platform lists it, and its report tells how the run ended.
bool CellEngine::awaitsUnreadEnd(const CellWorker& worker, const RunKey& run, const RunAllocation& allocation) const
{
    const auto job = m_jobs.find(run.task.job);
    const bool started = allocation.reportedRunning || allocation.orderAnsweredAt;
    if (!worker.listed || !started || allocation.stopping || job == m_jobs.end() || isFinal(job->second->phase()))
        return false;
    const LiveTask* const task = job->second->find(run.task);
    if (!isRun(task, worker.id(), run.attempt) || -worker.lease().left(m_runtime.now()) >= Policy::longestUnreadEndWait)
        return false;
    const Common::MonotonicTime lastKnown = std::max(worker.lastReportAt, allocation.orderedAt);
    const Policy::SilentRun silent { allocation.longRunning, lastKnown - allocation.orderedAt, task->run->percent,
        allocation.estimate };
    return Policy::endsWithin(silent, worker.lease().left(lastKnown));
}

/// Whether a late order may still start the run, so that its task mustn't start elsewhere.
bool CellEngine::awaitsLateStart(const CellWorker& worker, const RunKey& run, const RunAllocation& allocation) const
{
    const auto job = m_jobs.find(run.task.job);
    return job != m_jobs.end() && !isFinal(job->second->phase())
        && isRun(job->second->find(run.task), worker.id(), run.attempt) && !m_workers.isGone(worker, run, allocation);
}

/// Logs once which runs are kept although the worker is silent and its lease has passed, as a late order may start
/// them.
void CellEngine::noteHeldRuns(CellWorker& worker)
{
    const Common::MonotonicTime now = m_runtime.now();
    for (const auto& [run, allocation] : worker.allocations()) {
        if (!awaitsLateStart(worker, run, allocation) || std::exchange(worker.find(run)->heldLogged, true))
            continue;
        LC_INFO(Jobs,
            "event=start-held run=" << runName(run) << " worker=" << worker.id().value() << " left-ms="
                                    << (m_workers.lateRunEnd(worker, run, allocation) - now)
                    / std::chrono::milliseconds(1));
    }
}

/// Acknowledges ends, in order, whose consequences are durable; the worker may discard these.
void CellEngine::acknowledge(CellWorker& worker)
{
    while (!worker.pendingEnds.empty()) {
        const CellWorker::PendingEnd& end = worker.pendingEnds.front();
        const LiveJob* const job = findJob(end.job);
        if (job && job->committedChanges() < end.change)
            return;
        worker.acknowledgedThrough = end.number;
        worker.pendingEnds.pop_front();
    }
}

void CellEngine::stopRun(CellWorker& worker, const RunKey& run)
{
    RunAllocation* const allocation = worker.find(run);
    if (!allocation || allocation->stopping)
        return;
    LC_INFO(Jobs, "event=stop-ordered run=" << runName(run) << " worker=" << worker.id().value());
    if (LiveJob* const job = findJob(run.task.job)) {
        LiveTask* const task = job->find(run.task);
        if (isRun(task, worker.id(), run.attempt))
            task->run->phase = RunPhase::Stopping;
    }
    m_workers.stop(worker, run, [this, id = worker.id(), run](const OrderAnswer&) {
        CellWorker* const stopped = m_workers.find(id);
        if (RunAllocation* const ending = stopped ? stopped->find(run) : nullptr)
            ending->orderAnsweredAt = m_runtime.now();
    });
}

void CellEngine::stopRunsOf(const Common::JobId& id)
{
    for (const auto& [workerId, worker] : m_workers.all()) {
        std::vector<RunKey> runs;
        for (const auto& [run, allocation] : worker->allocations()) {
            if (run.task.job == id)
                runs.push_back(run);
        }
        for (const RunKey& run : runs)
            stopRun(*worker, run);
    }
}

void CellEngine::moveStuckRuns(CellWorker& worker)
{
    if (!worker.reachable)
        return;
    std::vector<RunKey> stuck;
    for (const auto& [run, allocation] : worker.allocations()) {
        LiveJob* const job = allocation.stopping || !allocation.reportedRunning ? nullptr : findJob(run.task.job);
        const LiveTask* const task = job ? job->find(run.task) : nullptr;
        if (!isRun(task, worker.id(), run.attempt))
            continue;
        const bool longRunning = job->stepSpec(run.task.step).longRunning;
        if (longRunning && task->run->percent >= fullPercent)
            continue;
        // The last report counts, not the present time: this host may be late in reading the next one.
        if (worker.lastReportAt - task->run->progressedAt > (longRunning ? startUpTimeout : stuckTimeout))
            stuck.push_back(run);
    }
    for (const RunKey& run : stuck) {
        LiveJob& job = *findJob(run.task.job);
        LC_WARN(Jobs, "event=run-stuck run=" << runName(run) << " worker=" << worker.id().value());
        job.find(run.task)->avoid = worker.id();
        recordRunOutcome(worker, job, false);
        stopRun(worker, run);
    }
}

void CellEngine::evacuate(CellWorker& worker)
{
    const Common::MonotonicTime leavesAt = worker.drainingSince + worker.entry().remaining;
    const bool leavesSoon = leavesAt - m_runtime.now() < evacuationTime;
    std::vector<RunKey> moved;
    for (const auto& [run, allocation] : worker.allocations()) {
        LiveJob* const job = allocation.stopping || !allocation.reportedRunning ? nullptr : findJob(run.task.job);
        const LiveTask* const task = job ? job->find(run.task) : nullptr;
        if (!isRun(task, worker.id(), run.attempt))
            continue;
        const Jobs::StepSpec& spec = job->stepSpec(run.task.step);
        const bool saved = spec.supportsCheckpoints && leavesSoon;
        if ((spec.longRunning || saved) && !m_workers.workerWithLateStart(run.task) && choose(*job, run.task, *task))
            moved.push_back(run);
    }
    for (const RunKey& run : moved)
        stopRun(worker, run);
}

bool CellEngine::shouldPollFrequently(const CellWorker& worker) const
{
    return worker.backfillMilliCores() > 0 && !worker.services().empty();
}

void CellEngine::updateTailModel(CellWorker& worker)
{
    // The worker is known only from the cell's record so far: without its capacity no shares can be computed.
    if (worker.entry().capacity.milliCores == 0)
        return;
    worker.recentBackfill.update(worker.backfillRuns(), m_runtime.now());
    Policy::TailLatencyModel::Sample sample;
    sample.backfillShares = worker.recentBackfill.backfillShares();
    for (const auto& [run, allocation] : worker.allocations()) {
        if (allocation.latencyTarget <= Common::Duration::zero() || !allocation.reportedRunning || allocation.load < 0)
            continue;
        sample.tailRatio
            = allocation.load / std::chrono::duration<double, std::milli>(allocation.latencyTarget).count();
        m_tails.observe(allocation.image, sample);
    }
}

/// Moves a backfill run that has been slowed down for long to a better worker if it saves checkpoints. At most one run
/// is moved per call.
void CellEngine::moveStarvedRuns(CellWorker& worker)
{
    const Common::MonotonicTime now = m_runtime.now();
    for (const auto& [run, listed] : worker.allocations()) {
        RunAllocation& allocation = *worker.find(run);
        if (allocation.backfillMilliCores == 0 || allocation.pace >= starvationPace) {
            allocation.starvedSince.reset();
            continue;
        }
        if (!allocation.starvedSince)
            allocation.starvedSince = now;
        LiveJob* const job = allocation.stopping || !allocation.reportedRunning ? nullptr : findJob(run.task.job);
        const LiveTask* const task = job ? job->find(run.task) : nullptr;
        if (now - *allocation.starvedSince < starvationTimeout || !isRun(task, worker.id(), run.attempt)
            || !job->stepSpec(run.task.step).supportsCheckpoints || m_workers.workerWithLateStart(run.task))
            continue;
        CellWorker* const better = choose(*job, run.task, *task);
        if (!better || better == &worker
            || offerOf(*better, job->stepSpec(run.task.step), run.task).backfillPace < minimumPaceAfterMove)
            continue;
        LC_INFO(Jobs,
            "event=run-starved run=" << runName(run) << " worker=" << worker.id().value() << " pace=" << allocation.pace
                                     << " better=" << better->id().value());
        stopRun(worker, run);
        return;
    }
}

void CellEngine::paceBackfill(CellWorker& worker)
{
    const Common::MonotonicTime now = m_runtime.now();
    const Policy::Colocation colocation = worker.colocation();
    const double limit = worker.overTargetSince ? Policy::backOnTargetTailRatio : Policy::overTargetTailRatio;
    const bool over = std::any_of(colocation.services.begin(), colocation.services.end(),
        [limit](const Policy::PacedService& service) { return service.tailRatio > limit; });
    if (!over)
        worker.overTargetSince.reset();
    else if (!worker.overTargetSince)
        worker.overTargetSince = now;
    if (worker.backfillMilliCores() == 0)
        return;
    const std::vector<uint32_t> paces = Policy::paceBackfill(
        m_tails, colocation, worker.overTargetSince ? now - *worker.overTargetSince : Common::Duration::zero());
    std::vector<std::pair<RunKey, uint32_t>> changes;
    size_t index = 0;
    for (const auto& [run, allocation] : worker.allocations()) {
        if (allocation.backfillMilliCores == 0)
            continue;
        const uint32_t pace = paces[index++];
        if (allocation.reportedRunning && !allocation.stopping && isSignificantPaceChange(allocation.pace, pace))
            changes.emplace_back(run, pace);
    }
    if (changes.empty())
        return;
    LC_INFO(Worker,
        "event=backfill-paced worker=" << worker.id().value() << " runs=" << changes.size()
                                       << " of=" << colocation.runs.size() << " first=" << changes.front().second
                                       << " over-target=" << over);
    for (const auto& [run, pace] : changes)
        m_workers.pace(worker, run, pace);
}

CellLoad CellEngine::load() const
{
    CellLoad load;
    load.takesScheduledTasks = true;
    for (const auto& [id, worker] : m_workers.all()) {
        if (!worker->isOpen())
            continue;
        addCapacity(worker->entry(), load);
        load.freeMilliCores += worker->free().milliCores;
        const int64_t unused = worker->unusedMilliCores() - worker->backfillMilliCores();
        load.backfillMilliCores += worker->serves()
            ? static_cast<int64_t>(backfillShareBesideServices * static_cast<double>(unused))
            : unused;
        worker->addServing(load.serving);
        load.largestFreeMilliCores.push_back(worker->unreservedFree().milliCores);
        load.largestFreeAfterEnds.push_back(worker->freeAfterEnds().milliCores);
    }
    keepLargest(load.largestFreeMilliCores);
    keepLargest(load.largestFreeAfterEnds);
    addBackfillCapacity(load);
    for (const auto& [id, job] : m_jobs) {
        if (isFinal(job->phase()))
            continue;
        if (!job->hasStartedTask() && !job->isPart() && !job->spec().isScheduled())
            ++load.pending[job->policy().route];
        addWaiting(*job, load);
    }
    return load;
}

void CellEngine::addBackfillCapacity(CellLoad& load) const
{
    const std::vector<std::string> images(m_tails.backfillImages().begin(), m_tails.backfillImages().end());
    std::vector<int64_t> room(images.size(), 0);
    for (const auto& [id, worker] : m_workers.all()) {
        if (!worker->isOpen())
            continue;
        const int64_t unused = worker->unusedMilliCores() - worker->backfillMilliCores();
        if (unused <= 0)
            continue;
        const std::vector<double> paces
            = Policy::pacesForNewRuns(m_tails, worker->colocation(), images, usualBackfillShare);
        for (size_t index = 0; index < images.size(); ++index)
            room[index] += paces[index] >= acceptablePace ? unused : 0;
    }
    for (size_t index = 0; index < images.size(); ++index)
        load.backfillCapacity.emplace(images[index], room[index]);
}

void CellEngine::addWaiting(const LiveJob& job, CellLoad& load)
{
    for (const auto& [index, occurrence] : job.occurrences()) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const Jobs::StepSpec& spec = job.stepSpec(step);
            // The product may exceed int64_t.
            const double waiting = static_cast<double>(occurrence.steps[step].waitingCount)
                * static_cast<double>(spec.resources.milliCores) * static_cast<double>(spec.estimate.count())
                / microsecondsPerSecond;
            (spec.backfill ? load.waitingBackfill : load.waitingRegular)
                += static_cast<int64_t>(std::min(waiting, maximumWaitingOfStep));
        }
    }
}

} // namespace Cells
