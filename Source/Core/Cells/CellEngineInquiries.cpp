// Long-running tasks that have lost their run and for which their cell can make no room: their owner asks other cells
// whether they could, and at which price. See Policy/RoomInquiry.h.
#include "Cells/CellEngine.h"

#include "Common/Log.h"

#include <algorithm>

namespace Cells {

namespace {

    /// How long a task that has run, or may have run, finds no room before other cells are asked.
    constexpr Common::Duration delayAfterRun = std::chrono::milliseconds(500);
    constexpr Common::Duration delayIfUnknown = std::chrono::seconds(2);
    /// Time until the next look at what the cell itself could do.
    constexpr Common::Duration lookInterval = std::chrono::milliseconds(500);
    /// Rounds of questions of a cell that are under way at a time.
    constexpr size_t mostRoundsUnderWay = 4;
    /// Tasks for which a worker's free room is offered at a time.
    constexpr uint32_t mostTasksOffered = 64;
    /// How long a cell keeps tasks for which it has offered room: a transfer, the stops and the start take a part of
    /// it.
    constexpr Common::Duration offerSpan = std::chrono::seconds(3);
    /// Time between log lines on the search for room.
    constexpr Common::Duration roomSearchLogInterval = std::chrono::seconds(1);
    /// How long a worker is kept for a task that hasn't arrived: its owner asks several cells and chooses one.
    constexpr Common::Duration arrivalSpan = std::chrono::milliseconds(600);

    Jobs::TaskName stepOf(Jobs::TaskName task)
    {
        task.index = 0;
        return task;
    }

} // namespace

bool CellEngine::hasOfferedRoom(const LiveJob& job, const Candidate& candidate) const
{
    const auto offered = m_roomOffered.find({ job.id(), candidate.occurrence, candidate.step, 0 });
    return offered != m_roomOffered.end() && m_runtime.now() - offered->second < offerSpan;
}

bool CellEngine::isOfferedToOther(const CellWorker& worker, const Jobs::TaskName& task) const
{
    const auto offered = m_offeredWorkers.find(worker.id());
    if (offered == m_offeredWorkers.end() || offered->second.task == task)
        return false;
    const Common::Duration age = m_runtime.now() - offered->second.at;
    if (age < arrivalSpan)
        return true;
    const auto job = m_jobs.find(offered->second.task.job);
    const LiveTask* const waiting = job == m_jobs.end() ? nullptr : job->second->find(offered->second.task);
    return age < offerSpan && waiting && waiting->waiting();
}

void CellEngine::inquireForRoom(LiveJob& job, const Candidate& candidate)
{
    const std::optional<Jobs::TaskName> name = taskWithoutRun(candidate);
    if (!name)
        return;
    const Common::MonotonicTime now = m_runtime.now();
    LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    const Common::Duration delay = step.tasks[name->index].progress.lastAttempt > 0 ? delayAfterRun : delayIfUnknown;
    if (now - step.blocked->since < delay) {
        m_roomSearches.add(RoomSearchCounts::Outcome::JustBlocked);
        return;
    }
    if (!step.inquiry.isDue(now)) {
        m_roomSearches.add(RoomSearchCounts::Outcome::Pausing);
        return;
    }
    if (m_roomRounds.size() >= mostRoundsUnderWay) {
        m_roomSearches.add(RoomSearchCounts::Outcome::QuestionLimit);
        return;
    }
    const CellWorker* const reserved = reservedWorker(*name);
    RoomQuestion question = roomQuestion(job, *name);
    question.spec.taskCount = step.waitingCount;
    const bool isMakingRoom = reserved && reserved->reservation->made;
    if (isMakingRoom || planRoom(question)) {
        m_roomSearches.add(isMakingRoom ? RoomSearchCounts::Outcome::MakingRoom : RoomSearchCounts::Outcome::OwnPlan);
        step.inquiry.defer(now + lookInterval);
        return;
    }
    const uint64_t round = ++m_lastRoomRound;
    const std::vector<std::string> cells
        = step.inquiry.begin(now, round, peersToAsk(job, job.stepSpec(candidate.step), step));
    m_roomSearches.add(cells.empty() ? RoomSearchCounts::Outcome::NoPeers : RoomSearchCounts::Outcome::Asked);
    if (cells.empty())
        return;
    m_roomRounds[round] = cells.size();
    for (const std::string& cell : cells) {
        m_peerCells.askForRoom(CellId(cell), question,
            m_lifetime.guard(
                [this, name = *name, round, cell = CellId(cell)](
                    const Common::Result<Policy::RoomOffer>& offer) { noteRoomOffer(name, round, cell, offer); }));
    }
}

std::vector<Policy::RoomInquiry::Peer> CellEngine::peersToAsk(
    const LiveJob& job, const Jobs::StepSpec& spec, const LiveStep& step) const
{
    const Common::ServiceName& service = job.policy().service;
    const std::map<CellId, size_t> free = m_peerCells.taskSlots(m_id, service, spec, CellLoad::RoomKind::Free);
    std::vector<Policy::RoomInquiry::Peer> peers;
    for (const auto& [cell, afterEnds] : m_peerCells.taskSlots(m_id, service, spec, CellLoad::RoomKind::AfterEnds)) {
        // A host of an earlier release doesn't say what ends make.
        const size_t room = std::max(afterEnds, free.at(cell));
        if (room == 0 || (job.spec().isScheduled() && !m_peerCells.takesScheduledTasks(cell)))
            continue;
        const auto refused = step.refusals.find(cell.value());
        peers.push_back({ cell.value(), room, refused == step.refusals.end() ? 0 : refused->second });
    }
    return peers;
}

void CellEngine::noteRoomOffer(
    const Jobs::TaskName& name, uint64_t round, const CellId& cell, const Common::Result<Policy::RoomOffer>& offer)
{
    const auto underWay = m_roomRounds.find(round);
    if (underWay != m_roomRounds.end() && --underWay->second == 0)
        m_roomRounds.erase(underWay);
    LiveJob* const job = findJob(name.job);
    if (!job || !job->occurrences().contains(name.occurrence))
        return;
    Policy::RoomInquiry& inquiry = job->occurrences().at(name.occurrence).steps[name.step].inquiry;
    if (inquiry.note(round, cell.value(), offer ? std::optional(*offer) : std::nullopt))
        concludeInquiry(*job, name);
}

void CellEngine::concludeInquiry(LiveJob& job, const Jobs::TaskName& name)
{
    const Candidate candidate { &job, name.occurrence, name.step, {} };
    LiveStep& step = job.occurrences().at(name.occurrence).steps[name.step];
    const bool isWanted = !m_closed && !m_releasing && !isFinal(job.phase()) && taskWithoutRun(candidate);
    const std::optional<Policy::RoomInquiry::Choice> choice
        = step.inquiry.conclude(m_runtime.now(), isWanted && !canMakeRoom(job, candidate));
    LC_INFO(Jobs,
        "event=room-asked task=" << runName(
            { name, Common::AttemptNumber { step.tasks[name.index].progress.lastAttempt } })
                                 << " cell=" << m_id.value() << " offered-by=" << (choice ? choice->cell : "none")
                                 << " wanted=" << isWanted);
    if (choice && isWanted)
        giveTasks(job, candidate, CellId(choice->cell), choice->tasks);
    else
        schedulePlacement();
}

void CellEngine::logRoomSearches()
{
    const Common::MonotonicTime now = m_runtime.now();
    if (m_roomSearches.isEmpty() || now - m_roomSearchesLoggedAt < roomSearchLogInterval)
        return;
    m_roomSearchesLoggedAt = now;
    const std::vector<WaitingStep> steps = stepsWithoutRun();
    Common::Duration longestWait {};
    for (const WaitingStep& waiting : steps)
        longestWait = std::max(longestWait, now - waiting.step->blocked->since);
    LC_INFO(Jobs,
        "event=room-search cell=" << m_id.value() << " waiting-steps=" << steps.size() << " longest-wait-ms="
                                  << longestWait / std::chrono::milliseconds(1) << " looks=" << m_roomSearches.text()
                                  << " oldest-load-ms=" << m_peerCells.oldestLoad(m_id) / std::chrono::milliseconds(1));
    m_roomSearches = {};
}

/// How many tasks of the step fit into the worker's free room, as far as its limit allows more.
uint32_t CellEngine::tasksWithRoom(const CellWorker& worker, const RoomQuestion& question) const
{
    const uint32_t limit = question.spec.maximumPerWorker;
    const uint32_t allowed
        = limit == 0 ? mostTasksOffered : limit - offerOf(worker, question.spec, question.task).sameStep;
    const uint32_t most = std::min({ allowed, question.spec.taskCount, mostTasksOffered });
    const Common::Resources needed = allocationFor(question.spec).held;
    const Common::Resources free = worker.freeFor(question.task);
    Common::Resources wanted = needed;
    uint32_t tasks = 0;
    while (tasks < most && Common::fits(wanted, free)) {
        wanted += needed;
        ++tasks;
    }
    return tasks;
}

/// Reserves free room for tasks of the step, so that others who ask get what is left. Returns for how many.
uint32_t CellEngine::keepFreeRoom(const RoomQuestion& question)
{
    const Common::MonotonicTime now = m_runtime.now();
    const Common::Resources needed = allocationFor(question.spec).held;
    const KeptWorkers kept = keptWorkers();
    size_t promised = kept.promised;
    uint32_t free = 0;
    for (const auto& [id, worker] : m_workers.all()) {
        const bool reservedForOther = worker->reservation && !worker->reservation->isFor(question.task);
        if (reservedForOther || !isOpenTo(*worker, question) || (!worker->reservation && promised >= kept.mostPromised))
            continue;
        const uint32_t tasks = std::min(tasksWithRoom(*worker, question), question.spec.taskCount - free);
        free += tasks;
        if (tasks == 0 || worker->reservation)
            continue;
        Common::Resources all;
        for (uint32_t task = 0; task < tasks; ++task)
            all += needed;
        worker->reservation = CellWorker::Reservation { stepOf(question.task), all, now, true, now + arrivalSpan };
        ++promised;
    }
    return free;
}

/// Reserves the worker on which ends make room first, alike.
Policy::RoomOffer CellEngine::offerRoomByEnds(const RoomQuestion& question)
{
    const Common::Resources needed = allocationFor(question.spec).held;
    CellWorker* earliest = nullptr;
    std::optional<Common::Duration> wait;
    for (const auto& [id, worker] : m_workers.all()) {
        const bool reservedForOther = worker->reservation && !worker->reservation->isFor(question.task);
        if (reservedForOther || !isOpenTo(*worker, question))
            continue;
        const std::optional<Common::Duration> untilRoom = timeUntilRoom(*worker, needed);
        if (untilRoom && (!wait || *untilRoom < *wait)) {
            wait = untilRoom;
            earliest = worker.get();
        }
    }
    if (!earliest)
        return Policy::NoRoom {};
    if (!earliest->reservation) {
        const KeptWorkers kept = keptWorkers();
        if (kept.expected >= kept.mostExpected)
            return Policy::NoRoom {};
        const Common::MonotonicTime now = m_runtime.now();
        earliest->reservation = CellWorker::Reservation { stepOf(question.task), needed, now, false, now + offerSpan };
    }
    return Policy::RoomByEnds { *wait };
}

Policy::RoomOffer CellEngine::offerRoom(const RoomQuestion& question)
{
    if (m_closed || m_releasing || !mayGrant() || hasUncontactedWorkers())
        return Policy::NoRoom {};
    const Common::MonotonicTime now = m_runtime.now();
    if (const uint32_t free = keepFreeRoom(question); free > 0)
        return Policy::FreeRoom { free };
    const std::optional<RoomPlan> plan = planRoom(question);
    if (!plan)
        return offerRoomByEnds(question);
    std::erase_if(m_roomOffered, [now](const auto& row) { return now - row.second >= offerSpan; });
    m_roomOffered[stepOf(question.task)] = now;
    std::erase_if(m_offeredWorkers,
        [&](const auto& row) { return now - row.second.at >= offerSpan || row.second.task == question.task; });
    m_offeredWorkers[plan->worker->id()] = { question.task, now };
    LC_INFO(Jobs,
        "event=room-offered task=" << question.task.job.value() << "." << question.task.occurrence << "."
                                   << question.task.step << "." << question.task.index << " cell=" << m_id.value()
                                   << " worker=" << plan->worker->id().value() << " stops=" << plan->stopped.size()
                                   << " core-seconds=" << plan->cost.workLost);
    return Policy::RoomByStops { plan->cost };
}

} // namespace Cells
