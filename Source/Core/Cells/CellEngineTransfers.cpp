// Transfers tasks that find no room to peer cells, returns ended tasks of parts to the cells of their jobs, receives
// both and ends parts.
#include "Cells/CellEngine.h"

#include "Common/Log.h"

#include <algorithm>

namespace Cells {

namespace {

    /// A long-running task that finds no room is transferred to another cell after this long. The delay doubles with
    /// each transfer of tasks of the job, up to 2 s, so that tasks that fit nowhere don't circulate between cells.
    constexpr Common::Duration longRunningTransferDelay = std::chrono::milliseconds(500);
    constexpr uint32_t maximumLongRunningDelayDoublings = 2;
    /// The same for other tasks. The delay doubles, up to 8 s, with each transfer since tasks of the job last began or
    /// ended, so that jobs of many steps may move with each of them.
    constexpr Common::Duration transferDelay = std::chrono::milliseconds(1000);
    constexpr uint32_t maximumDelayDoublings = 3;
    /// Time until heartbeats account for transferred tasks: two heartbeats of the receiving owner and the slack between
    /// them.
    constexpr Common::Duration transferReportDelay = std::chrono::milliseconds(1500);
    /// After a search for a cell with room failed, the same search isn't repeated for this long.
    constexpr Common::Duration searchPause = std::chrono::milliseconds(500);
    /// Delay between the end of a part's task and its return, so that one return covers several tasks.
    constexpr Common::Duration returnDelay = std::chrono::milliseconds(100);

    Common::Duration transferDelayOf(const LiveJob& job, const Jobs::StepSpec& spec)
    {
        if (spec.longRunning)
            return longRunningTransferDelay * (1 << std::min(job.transfersSent(), maximumLongRunningDelayDoublings));
        return transferDelay * (1 << std::min(job.transfersWithoutProgress(), maximumDelayDoublings));
    }

} // namespace

void CellEngine::transferIfBlockedForLong(LiveJob& job, const Candidate& candidate)
{
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    if (m_committer.isTransferring(job.id()))
        return;
    // A part of a host of an earlier version doesn't say where ended tasks belong.
    if (!spec.longRunning && job.isPart() && job.homeCell().empty())
        return;
    if (reservedWorker({ job.id(), candidate.occurrence, candidate.step, 0 }) || hasOfferedRoom(job, candidate))
        return;
    const LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    if (spec.gang && (step.waitingCount < step.tasks.size() || (spec.sameRack && isWorthWaitingForRack(spec, step))))
        return;
    const Common::MonotonicTime now = m_runtime.now();
    const Common::MonotonicTime since = m_blockedSince.try_emplace(job.id(), now).first->second;
    const Common::MonotonicTime stepSince = step.blocked ? step.blocked->since : now;
    if (now - std::max(since, stepSince) < transferDelayOf(job, spec))
        return;
    // While a task of the job runs, the cell isn't full for good: the others wait for their turn.
    const bool mayTransfer = spec.longRunning || !job.hasRun();
    if (mayTransfer)
        transferTasks(job, candidate);
    // Another step of the job has its turn when no cell has room for this one. Searches for long-running tasks and
    // gangs have no pause of their own.
    if (!mayTransfer || spec.longRunning || spec.gang || m_committer.isTransferring(job.id()))
        m_blockedSince.erase(job.id());
}

/// The peer cell with the most room for tasks of the step, and for how many. What heartbeats say of room leaves out
/// memory, labels and how many tasks of the step a worker takes, so cells that found no room come last: otherwise tasks
/// might circulate between two of them for good.
std::optional<std::pair<CellId, size_t>> CellEngine::findCellWithCapacity(
    const LiveJob& job, const Jobs::StepSpec& spec, const LiveStep& step, CellLoad::RoomKind kind)
{
    const Common::MonotonicTime now = m_runtime.now();
    const Common::ServiceName& service = job.policy().service;
    const bool scheduled = job.spec().isScheduled();
    const PeerSearch search { service, spec.requiredLabel, spec.backfill, spec.backfill ? spec.image : std::string(),
        scheduled };
    const auto failed = m_failedSearches.find(search);
    // Where a task had no room, a larger one has none.
    if (!spec.longRunning && failed != m_failedSearches.end() && now - failed->second.at < searchPause
        && spec.resources.milliCores >= failed->second.milliCores)
        return std::nullopt;
    std::erase_if(m_recentTransfers, [now](const auto& row) { return now - row.second.at > transferReportDelay; });
    std::optional<std::pair<CellId, size_t>> best;
    uint32_t fewestRefusals = 0;
    for (const auto& [cell, room] : m_peerCells.taskSlots(m_id, service, spec, kind)) {
        if (scheduled && !m_peerCells.takesScheduledTasks(cell))
            continue;
        const auto recent = m_recentTransfers.find(cell);
        const size_t taken = recent == m_recentTransfers.end() ? 0 : recent->second.tasks;
        // A gang moves as a whole.
        if (room < taken + (spec.gang ? spec.taskCount : 1))
            continue;
        const auto refused = step.refusals.find(cell.value());
        const uint32_t refusals = refused == step.refusals.end() ? 0 : refused->second;
        if (best && (refusals > fewestRefusals || (refusals == fewestRefusals && room - taken <= best->second)))
            continue;
        best.emplace(cell, room - taken);
        fewestRefusals = refusals;
    }
    if (!best)
        m_failedSearches[search] = { now, spec.resources.milliCores };
    return best;
}

bool CellEngine::canMakeRoom(const LiveJob& job, const Candidate& candidate) const
{
    const RoomQuestion question = roomQuestion(job, firstAvailableTask(candidate));
    const Common::Resources needed = allocationFor(question.spec).held;
    const auto& workers = m_workers.all();
    return std::any_of(workers.begin(), workers.end(), [&](const auto& row) {
        return isOpenTo(*row.second, question) && Common::fits(needed, row.second->freeAfterEnds());
    });
}

/// Transfers waiting tasks of a step to the peer cell with the most room. They don't depend on each other, so they may
/// run in different cells; only a gang stays together.
void CellEngine::transferTasks(LiveJob& job, const Candidate& candidate)
{
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    Jobs::StepSpec wanted = spec;
    // What may start at any pace needs the room that an ordinary task needs.
    wanted.backfill = spec.backfill && admissionOf(job, candidate.occurrence, candidate.step).paceInFreeRoom > 0;
    const LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    // A task that has lost its run is given unasked once, to a cell that shows free room; after that to one that offers
    // it room, see inquireForRoom.
    const bool awaitsOffers = taskWithoutRun(candidate).has_value();
    const auto mayGiveUnasked
        = [&](const CellId& cell) { return !awaitsOffers || step.inquiry.isSilent(cell.value()); };
    auto other = findCellWithCapacity(job, wanted, step);
    if (other && !step.refusals.empty() && !mayGiveUnasked(other->first))
        other.reset();
    if (!other && spec.longRunning && !canMakeRoom(job, candidate)) {
        other = findCellWithCapacity(job, wanted, step, CellLoad::RoomKind::AfterEnds);
        if (other && !mayGiveUnasked(other->first))
            other.reset();
    }
    if (!other || (spec.gang && other->second < spec.taskCount))
        return;
    giveTasks(job, candidate, other->first, other->second);
}

/// Transfers at most so many of the step's waiting tasks to the peer cell. Returns how many.
uint32_t CellEngine::giveTasks(LiveJob& job, const Candidate& candidate, const CellId& cell, size_t most)
{
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    std::vector<Jobs::TaskName> tasks;
    for (uint32_t index = 0; index < step.tasks.size() && tasks.size() < most; ++index) {
        const Jobs::TaskName name { job.id(), candidate.occurrence, candidate.step, index };
        // Another cell wouldn't know why a task must not be started yet.
        if (isAvailable(step.tasks[index]) && step.tasks[index].notBefore <= m_runtime.now()
            && !m_workers.workerWithLateStart(name))
            tasks.push_back(name);
    }
    if (tasks.empty() || (spec.gang && tasks.size() < spec.taskCount))
        return 0;
    RecentTransfer& recent = m_recentTransfers[cell];
    recent.at = m_runtime.now();
    recent.tasks += tasks.size();
    TaskTransfer transfer = job.transferTasks(tasks, m_id, cell);
    transfer.waited = step.blocked ? recent.at - step.blocked->since : Common::Duration::zero();
    if (step.waitingCount == 0)
        step.blocked.reset();
    LC_INFO(Jobs,
        "event=tasks-given job=" << job.id().value() << " tasks=" << tasks.size() << " from=" << m_id.value()
                                 << " to=" << transfer.to.value() << " gift=" << transfer.number
                                 << " waited-ms=" << transfer.waited / std::chrono::milliseconds(1));
    commitTransfer(job, transfer);
    return static_cast<uint32_t>(tasks.size());
}

void CellEngine::commitTransfer(LiveJob& job, const TaskTransfer& transfer)
{
    m_committer.transferTasks(job.id(), transfer.key(), transfer.encode(),
        m_lifetime.guard([this, transfer](const Common::Result<bool>& done) {
            LiveJob* const sender = findJob(transfer.part.id);
            if (done && *done)
                m_peerCells.sendTransfer(transfer);
            else if (sender && !isFinal(sender->phase())) {
                sender->revertTransfer(transfer);
                markChanged(*sender);
            }
            if (sender && sender->isPart()) {
                sender->closeReturned();
                scheduleReturn(transfer.part.id);
            }
        }));
}

void CellEngine::scheduleReturn(const Common::JobId& id)
{
    m_runtime.schedule(returnDelay, m_lifetime.guard([this, id] {
        if (LiveJob* const part = findJob(id))
            returnEndedTasks(*part);
    }));
}

/// Transfers the tasks of a part that have ended to the cell to which the job belongs.
void CellEngine::returnEndedTasks(LiveJob& part)
{
    if (m_closed || m_releasing || !part.isPart() || part.homeCell().empty() || isFinal(part.phase())
        || m_committer.isTransferring(part.id()))
        return;
    const std::vector<Jobs::TaskName> tasks = part.endedTasks();
    if (tasks.empty())
        return;
    const TaskTransfer transfer = part.transferTasks(tasks, m_id, CellId(part.homeCell()));
    LC_INFO(Jobs,
        "event=tasks-returned job=" << part.id().value() << " tasks=" << tasks.size() << " from=" << m_id.value()
                                    << " to=" << transfer.to.value() << " gift=" << transfer.number);
    commitTransfer(part, transfer);
}

/// Sends a transfer without tasks to the cell that has taken the task over, so that its progress there includes the
/// failure: a worker may report the end of a run after the run was given up.
void CellEngine::tellHolderOfFailure(LiveJob& job, const Jobs::TaskName& name)
{
    const LiveTask* const task = job.find(name);
    if (!task || task->progress.transferredTo.empty() || job.stepSpec(name.step).longRunning
        || m_committer.isTransferring(job.id()))
        return;
    const TaskTransfer transfer = job.transferTasks({}, m_id, CellId(task->progress.transferredTo));
    LC_INFO(Jobs,
        "event=failure-passed-on job=" << job.id().value() << " from=" << m_id.value() << " to=" << transfer.to.value()
                                       << " gift=" << transfer.number);
    commitTransfer(job, transfer);
}

/// Returns what earlier owners of the cell didn't, and tasks whose last run was lost.
void CellEngine::returnAllEndedTasks()
{
    for (const auto& [id, job] : m_jobs)
        returnEndedTasks(*job);
}

/// Stops runs of tasks whose earlier runs have ended done in cells that had transferred them here before.
void CellEngine::stopRunsOfDoneTasks(LiveJob& job)
{
    for (const auto& [id, worker] : m_workers.all()) {
        std::vector<RunKey> runs;
        for (const auto& [run, allocation] : worker->allocations()) {
            const LiveTask* const task = run.task.job == job.id() ? job.find(run.task) : nullptr;
            if (task && task->progress.done)
                runs.push_back(run);
        }
        for (const RunKey& run : runs)
            stopRun(*worker, run);
    }
}

void CellEngine::receiveTransfer(const TaskTransfer& transfer)
{
    LC_INFO(Jobs,
        "event=tasks-received job=" << transfer.part.id.value() << " cell=" << m_id.value()
                                    << " from=" << transfer.from.value() << " gift=" << transfer.number);
    // An earlier owner may have received it too and started its tasks before the receipt was durable.
    constexpr bool mayHaveStarted = true;
    if (LiveJob* const known = findJob(transfer.part.id)) {
        known->receiveTransfer(transfer, m_runtime.now(), m_runtime.wallMilliseconds());
        stopRunsOfDoneTasks(*known);
        if (!known->isPart())
            onTasksReturned(*known);
    } else if (transfer.part.homeCell != m_id.value()) {
        addJob(transfer.part, mayHaveStarted).noteRefusals(transfer);
    }
    continueWait(transfer);
    // Also if the job has ended and its record has expired: the transfer is then removed.
    m_committer.recordReceivedTransfer(transfer.part.id, transfer.key());
    // Not before: a former owner that doesn't know yet that it was replaced would start what its successor starts too.
    m_committer.markChangedUrgently(transfer.part.id, [this](const Common::Result<Common::Done>& durable) {
        if (durable)
            schedulePlacement();
    });
    giveUpTasksOf(transfer.part.id);
    schedulePlacement();
}

/// Counts the time that transferred tasks have waited in other cells.
void CellEngine::continueWait(const TaskTransfer& transfer)
{
    LiveJob* const job = findJob(transfer.part.id);
    if (!job || transfer.waited <= Common::Duration::zero())
        return;
    const Common::MonotonicTime since = m_runtime.now() - transfer.waited;
    for (const auto& [occurrence, steps] : transfer.part.progress) {
        for (uint32_t step = 0; step < steps.size(); ++step) {
            const bool hasTransferred = std::any_of(steps[step].begin(), steps[step].end(),
                [](const Jobs::TaskProgress& task) { return !task.done && task.transferredTo.empty(); });
            if (hasTransferred)
                job->continueWait(occurrence, step, since);
        }
    }
}

void CellEngine::onTasksReturned(LiveJob& job)
{
    if (isFinal(job.phase()))
        return;
    if (job.isComplete()) {
        LC_INFO(Jobs, "event=job-completed job=" << job.id().value() << " cell=" << m_id.value());
        finishJob(job, Jobs::JobPhase::Completed, nullptr);
    } else if (job.hasUsedUpTask()) {
        LC_INFO(Jobs, "event=job-failed job=" << job.id().value() << " cell=" << m_id.value());
        finishJob(job, Jobs::JobPhase::Failed, nullptr);
    }
}

/// Tells the owners of peer cells that hold parts of the job of its end, so that the parts end too, or asks them to
/// check their transfers. Each new owner repeats this, in case a message was lost or the former owner stopped before
/// sending it.
void CellEngine::notifyParts(const LiveJob& job)
{
    const bool ended = isFinal(job.phase());
    for (const std::string& name : job.partCells()) {
        const CellId cell(name);
        if (ended && m_partCancellations[job.id()].insert(cell).second) {
            m_peerCells.cancel(cell, job.cancelledPart(),
                m_lifetime.guard([this, id = job.id(), cell] { onPartCancelled(id, cell); }));
        } else if (!ended && job.recovered()) {
            m_peerCells.requestTransferCheck(cell, job.id());
        }
    }
}

void CellEngine::onPartCancelled(const Common::JobId& id, const CellId& cell)
{
    const auto pending = m_partCancellations.find(id);
    if (pending == m_partCancellations.end())
        return;
    pending->second.erase(cell);
    if (pending->second.empty())
        m_partCancellations.erase(pending);
    answerStopWaiters();
}

void CellEngine::handlePartMessage(const PartMessage& message, const Common::Callback<Common::Done>& callback)
{
    if (m_closed || m_releasing) {
        callback(Common::Failure { Common::ErrorCode::NotOwner, "the cell is being handed over", std::nullopt });
        return;
    }
    if (const auto* const transfer = std::get_if<TaskTransfer>(&message)) {
        const LiveJob* const known = findJob(transfer->part.id);
        if (known && known->hasReceived(*transfer) && known->isDurable()) {
            // A sender whose write had no certain outcome may have stored it again.
            m_committer.recordReceivedTransfer(transfer->part.id, transfer->key());
            callback(Common::Done {});
            return;
        }
        receiveTransfer(*transfer);
        // A former owner that doesn't know yet that it was replaced could confirm a transfer that its successor never
        // reads.
        m_committer.markChangedUrgently(transfer->part.id, callback);
        return;
    }
    cancelPart(std::get<Jobs::JobRecord>(message), callback);
}

void CellEngine::cancelPart(const Jobs::JobRecord& part, const Common::Callback<Common::Done>& callback)
{
    LiveJob* const known = findJob(part.id);
    if (known && !known->isPart()) {
        // The job is this cell's own and some of its tasks were transferred back; this cell issued the cancellation.
        callback(Common::Done {});
        return;
    }
    LC_INFO(Jobs,
        "event=part-cancelled job=" << part.id.value() << " cell=" << m_id.value() << " known=" << (known != nullptr));
    if (known) {
        // A repeated message waits for this cell only: tasks may have been transferred in a circle.
        const StopScope scope = isFinal(known->phase()) ? StopScope::ThisCell : StopScope::AllCells;
        cancelLocalJob(*known, [this, id = part.id, scope, callback](const Common::Result<Common::Done>& durable) {
            if (durable)
                awaitStopped(id, scope, callback);
            else
                callback(durable);
        });
    } else {
        m_committer.markChangedUrgently(addJob(part, false).id(), callback);
    }
}

} // namespace Cells
