// Free room that is offered to long-running tasks that wait in other cells. Cells without room tell what they want with
// their loads; a cell with room keeps some of it for one of these steps and calls for its tasks. So what a waiting task
// costs doesn't depend on the number of cells, and room is found when it becomes free, whatever was asked before.
#include "Cells/CellEngine.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Policy/RoomPromise.h"

#include <algorithm>

namespace Cells {

namespace {

    /// How long a task that has run, or may have run, finds no room before other cells are told.
    constexpr Common::Duration delayAfterRun = std::chrono::milliseconds(500);
    constexpr Common::Duration delayIfUnknown = std::chrono::seconds(2);
    /// Time between two looks for tasks that could use free room.
    constexpr Common::Duration offerInterval = std::chrono::milliseconds(100);
    /// Free room is kept for tasks of other cells on one of so many workers at a time, on two at least.
    constexpr size_t workersShare = 4;
    constexpr size_t leastWorkers = 2;
    /// Room that runs are expected to leave is kept for them on one of so many workers at a time, on one at least, and
    /// for so long.
    constexpr size_t expectingShare = 8;
    constexpr Common::Duration expectationSpan = std::chrono::seconds(3);
    /// How long room is kept until the answer of the cell that was offered it.
    constexpr Common::Duration answerSpan = std::chrono::milliseconds(600);
    /// How long it is kept after that: a transfer is written and sent, and its receipt is written.
    constexpr Common::Duration arrivalSpan = std::chrono::seconds(2);
    /// A step isn't offered room again within this time: a transfer of its job may be under way.
    constexpr Common::Duration pauseAfterAnswer = std::chrono::milliseconds(100);
    /// Among steps that have waited for long, each cell has its own order: cells with room would otherwise call for the
    /// same tasks at a time.
    constexpr Common::Duration longWait = std::chrono::seconds(4);
    constexpr uint64_t spreadMilliseconds = 1000;
    /// How long a promise is remembered: longer than a load takes to reach this cell.
    constexpr Common::Duration promiseMemory = std::chrono::seconds(10);

    Jobs::TaskName stepOf(Jobs::TaskName task)
    {
        task.index = 0;
        return task;
    }

} // namespace

std::vector<CellEngine::WaitingStep> CellEngine::stepsWithoutRun() const
{
    std::vector<WaitingStep> found;
    for (const auto& [id, job] : m_jobs) {
        for (const auto& [occurrence, opened] : job->occurrences()) {
            for (uint32_t number = 0; number < opened.steps.size(); ++number) {
                if (!opened.steps[number].blocked)
                    continue;
                if (const auto task = taskForFreeRoom({ job.get(), occurrence, number, {} }))
                    found.push_back({ job.get(), &opened.steps[number], *task });
            }
        }
    }
    return found;
}

std::vector<WantedRoom> CellEngine::wantedRoom(size_t most)
{
    if (m_closed || m_releasing || !mayGrant())
        return {};
    const Common::MonotonicTime now = m_runtime.now();
    std::vector<WantedRoom> wanted;
    for (const WaitingStep& waiting : stepsWithoutRun()) {
        const bool hasRun = waiting.step->tasks[waiting.task.index].progress.lastAttempt > 0;
        const Common::Duration waited = now - waiting.step->blocked->since;
        if (waited < (hasRun ? delayAfterRun : delayIfUnknown))
            continue;
        wanted.push_back({ m_id, roomQuestion(*waiting.job, waiting.task), waited, now });
        wanted.back().question.spec.taskCount = waiting.step->waitingCount;
    }
    if (wanted.size() <= most)
        return wanted;
    // Turns could fall into step with those of the loads' receivers.
    std::shuffle(wanted.begin(), wanted.end(), m_runtime.random());
    wanted.resize(most);
    return wanted;
}

void CellEngine::offerFreeRoom()
{
    const Common::MonotonicTime now = m_runtime.now();
    if (now - m_freeRoomOfferedAt < offerInterval || hasUncontactedWorkers())
        return;
    m_freeRoomOfferedAt = now;
    std::erase_if(m_promises, [now](const auto& row) { return now - row.second.at >= promiseMemory; });
    promiseExpectedRoom();
    KeptWorkers kept = keptWorkers();
    if (kept.promised >= kept.mostPromised)
        return;
    Common::Resources largest;
    for (const auto& [id, worker] : m_workers.all())
        largest = Common::largerOf(largest, worker->freeAfterEnds());
    const std::vector<WantedRoom> wanted = m_peerCells.wantedRoom(m_id, largest);
    std::vector<Policy::RoomClaim> claims;
    claims.reserve(wanted.size());
    for (const WantedRoom& want : wanted) {
        const Jobs::TaskName& task = want.question.task;
        const uint64_t lot = Common::rendezvousWeight(
            m_id.value(), task.job.value() + std::to_string(task.occurrence) + "." + std::to_string(task.step));
        claims.push_back({ want.question.priority,
            std::min<Common::Duration>(want.waited, longWait) + std::chrono::milliseconds(lot % spreadMilliseconds) });
    }
    for (const size_t index : Policy::rankRoomClaims(claims)) {
        if (kept.promised >= kept.mostPromised)
            return;
        const uint32_t waiting = tasksWithoutPromise(wanted[index]);
        if (waiting == 0)
            continue;
        const size_t promised = promiseRoom(wanted[index], waiting, kept.mostPromised - kept.promised);
        kept.promised += promised;
        if (promised == 0 && kept.expected < kept.mostExpected && expectRoom(wanted[index]))
            ++kept.expected;
    }
}

CellEngine::KeptWorkers CellEngine::keptWorkers() const
{
    KeptWorkers kept;
    size_t listed = 0;
    for (const auto& [id, worker] : m_workers.all()) {
        listed += worker->listed ? 1 : 0;
        if (worker->reservation && worker->reservation->promisedUntil)
            ++(worker->reservation->made ? kept.promised : kept.expected);
    }
    kept.mostPromised = std::max<size_t>(leastWorkers, listed / workersShare);
    kept.mostExpected = std::max<size_t>(1, listed / expectingShare);
    return kept;
}

/// Reserves the worker on which the ends of its runs make room for a task of the step first. Returns whether there is
/// one.
bool CellEngine::expectRoom(const WantedRoom& want)
{
    const Common::Resources needed = allocationFor(want.question.spec).held;
    CellWorker* earliest = nullptr;
    std::optional<Common::Duration> wait;
    for (const auto& [id, worker] : m_workers.all()) {
        if (worker->reservation || !isOpenTo(*worker, want.question) || isOfferedToOther(*worker, want.question.task))
            continue;
        const std::optional<Common::Duration> untilRoom = timeUntilRoom(*worker, needed);
        if (untilRoom && (!wait || *untilRoom < *wait)) {
            earliest = worker.get();
            wait = untilRoom;
        }
    }
    if (!earliest || *wait >= expectationSpan)
        return false;
    const Common::MonotonicTime now = m_runtime.now();
    earliest->reservation
        = CellWorker::Reservation { stepOf(want.question.task), needed, now, false, now + expectationSpan };
    m_expectedRoom[earliest->id()] = want;
    LC_INFO(Jobs,
        "event=room-expected task=" << runName({ want.question.task, {} }) << " cell=" << m_id.value()
                                    << " for=" << want.cell.value() << " worker=" << earliest->id().value()
                                    << " wait-ms=" << *wait / std::chrono::milliseconds(1));
    return true;
}

/// Calls for the tasks for which room was expected and is free by now.
void CellEngine::promiseExpectedRoom()
{
    for (auto expected = m_expectedRoom.begin(); expected != m_expectedRoom.end();) {
        const WantedRoom& want = expected->second;
        CellWorker* const worker = m_workers.find(expected->first);
        const bool isKept = worker && worker->reservation && !worker->reservation->made
            && worker->reservation->isFor(want.question.task);
        const bool isFree = isKept && Common::fits(worker->reservation->needed, worker->free());
        if (isFree)
            promise(want, want.question.spec.taskCount, { { worker, 1 } });
        expected = isKept && !isFree ? std::next(expected) : m_expectedRoom.erase(expected);
    }
}

/// How many tasks of the step wait there that have been promised no room since its cell told of them.
uint32_t CellEngine::tasksWithoutPromise(const WantedRoom& want) const
{
    // Another cell may have tasks of the same step.
    if (reservedWorker(want.question.task))
        return 0;
    const auto found = m_promises.find({ want.cell, stepOf(want.question.task) });
    if (found == m_promises.end())
        return want.question.spec.taskCount;
    const Promise& promise = found->second;
    if (!promise.answered || m_runtime.now() - promise.at < pauseAfterAnswer)
        return 0;
    return want.heardAt > promise.at ? want.question.spec.taskCount : promise.tasksLeft;
}

/// Keeps room for tasks of the step on at most so many workers and calls for them. Returns on how many.
size_t CellEngine::promiseRoom(const WantedRoom& want, uint32_t waiting, size_t mostWorkers)
{
    const RoomQuestion& question = want.question;
    std::vector<CellWorker*> workers;
    std::vector<uint32_t> roomOf;
    for (const auto& [id, worker] : m_workers.all()) {
        if (worker->reservation || !isOpenTo(*worker, question) || isOfferedToOther(*worker, question.task))
            continue;
        workers.push_back(worker.get());
        roomOf.push_back(tasksWithRoom(*worker, question));
    }
    const std::vector<Policy::KeptRoom> chosen = Policy::chooseKeptRoom(roomOf, waiting, mostWorkers);
    if (chosen.empty())
        return 0;
    std::vector<std::pair<CellWorker*, uint32_t>> rooms;
    rooms.reserve(chosen.size());
    for (const Policy::KeptRoom& room : chosen)
        rooms.emplace_back(workers[room.worker], room.tasks);
    promise(want, waiting, rooms);
    return chosen.size();
}

/// Keeps room for so many tasks of the step on each of the workers and calls for them.
void CellEngine::promise(
    const WantedRoom& want, uint32_t waiting, const std::vector<std::pair<CellWorker*, uint32_t>>& rooms)
{
    const RoomQuestion& question = want.question;
    const Common::MonotonicTime now = m_runtime.now();
    const Jobs::TaskName step = stepOf(question.task);
    const Common::Resources needed = allocationFor(question.spec).held;
    uint32_t tasks = 0;
    std::string names;
    for (const auto& [worker, count] : rooms) {
        Common::Resources all;
        for (uint32_t task = 0; task < count; ++task)
            all += needed;
        worker->reservation = CellWorker::Reservation { step, all, now, true, now + answerSpan };
        tasks += count;
        names += (names.empty() ? "" : ",") + worker->id().value();
    }
    m_promises[{ want.cell, step }] = { now, false, 0 };
    LC_INFO(Jobs,
        "event=room-promised task=" << runName({ question.task, {} }) << " cell=" << m_id.value()
                                    << " to=" << want.cell.value() << " tasks=" << tasks << " workers=" << names
                                    << " heard-ms=" << (now - want.heardAt) / std::chrono::milliseconds(1));
    m_peerCells.offerRoom(want.cell, { question.task, m_id, tasks },
        m_lifetime.guard([this, cell = want.cell, step](
                             const Common::Result<TakenRoom>& taken) { notePromiseAnswer(cell, step, taken); }));
}

void CellEngine::notePromiseAnswer(
    const CellId& cell, const Jobs::TaskName& step, const Common::Result<TakenRoom>& taken)
{
    const Common::MonotonicTime now = m_runtime.now();
    LC_INFO(Jobs,
        "event=room-promise-answered task="
            << runName({ step, {} }) << " cell=" << m_id.value() << " to=" << cell.value()
            << (taken ? " taken=" + std::to_string(taken->tasks) + " waiting=" + std::to_string(taken->waiting)
                      : std::string(" reason=") + std::string(Common::errorName(taken.reason().code))));
    if (const auto found = m_promises.find({ cell, step }); found != m_promises.end())
        found->second = { now, true, taken ? taken->waiting : 0 };
    // Without an answer tasks may be on their way.
    const bool isDeclined = taken ? taken->tasks == 0 : taken.reason().code == Common::ErrorCode::NotOwner;
    for (const auto& [id, worker] : m_workers.all()) {
        if (!worker->reservation || !worker->reservation->promisedUntil || !worker->reservation->isFor(step))
            continue;
        if (isDeclined)
            endReservation(*worker, "declined");
        else
            worker->reservation->promisedUntil = now + arrivalSpan;
    }
    if (!isDeclined) {
        std::erase_if(m_roomOffered, [now](const auto& row) { return now - row.second >= promiseMemory; });
        m_roomOffered[step] = now;
    }
    // The next one doesn't wait.
    m_freeRoomOfferedAt = {};
    schedulePlacement();
}

TakenRoom CellEngine::takeRoom(const PromisedRoom& room)
{
    LiveJob* const job = m_closed || m_releasing || !mayGrant() ? nullptr : findJob(room.task.job);
    if (!job || isFinal(job->phase()))
        return {};
    const auto occurrence = job->occurrences().find(room.task.occurrence);
    if (occurrence == job->occurrences().end() || room.task.step >= occurrence->second.steps.size()
        || (job->spec().isScheduled() && !m_peerCells.takesScheduledTasks(room.cell)))
        return {};
    const LiveStep& step = occurrence->second.steps[room.task.step];
    const Candidate candidate { job, room.task.occurrence, room.task.step, {} };
    const std::optional<Jobs::TaskName> name = taskForFreeRoom(candidate);
    if (!name)
        return { 0, m_committer.isTransferring(job->id()) ? step.waitingCount : 0 };
    CellWorker* const reserved = reservedWorker(*name);
    const bool isMakingRoom = reserved && reserved->reservation->made;
    if (isMakingRoom && step.waitingCount == 1)
        return {};
    const uint32_t given = giveTasks(*job, candidate, room.cell, room.tasks);
    if (given > 0 && reserved && !isMakingRoom)
        endReservation(*reserved, "transferred");
    return { given, step.waitingCount };
}

} // namespace Cells
