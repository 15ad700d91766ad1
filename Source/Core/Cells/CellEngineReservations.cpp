// Room that is reserved for large tasks: without it, each core that becomes free would go to a smaller task at once. Of
// a step that has waited for long, one task gets a worker on which the runs that end make room for it; meanwhile other
// tasks start there only if they fit beside it.
#include "Cells/CellEngine.h"

#include "Common/Log.h"
#include "Policy/RoomForecast.h"

#include <algorithm>
#include <tuple>

namespace Cells {

namespace {

    /// How long a step is blocked before room is reserved for it.
    constexpr Common::Duration longRunningReservationDelay = std::chrono::seconds(1);
    constexpr Common::Duration reservationDelay = std::chrono::seconds(4);
    /// Time between searches for workers to reserve.
    constexpr Common::Duration reservationInterval = std::chrono::milliseconds(100);
    /// At most one of so many workers is reserved, so that a backlog of large tasks doesn't hold up all others.
    constexpr size_t reservationShare = 8;
    /// How long room that is made by stops is kept; a stop takes a fraction of it.
    constexpr Common::Duration longestRoomMaking = std::chrono::seconds(3);
    /// An ordinary task takes the place of a reservation for one that needs at most this part of what it needs.
    constexpr double displacementFactor = 2;

    Jobs::TaskName firstTaskOf(const LiveJob& job, uint32_t occurrence, uint32_t step)
    {
        return { job.id(), occurrence, step, 0 };
    }

    const LiveStep* findStep(const LiveJob& job, const Jobs::TaskName& name)
    {
        const auto occurrence = job.occurrences().find(name.occurrence);
        return occurrence == job.occurrences().end() ? nullptr : &occurrence->second.steps.at(name.step);
    }

    /// When room may be reserved for the step, which is blocked.
    Common::MonotonicTime reservationDue(const LiveStep& step, const Jobs::StepSpec& spec)
    {
        if (step.reservedStartAt)
            return *step.reservedStartAt;
        return step.blocked->since + (spec.longRunning ? longRunningReservationDelay : reservationDelay);
    }

    std::string stepName(const Jobs::TaskName& name)
    {
        return name.job.value() + "." + std::to_string(name.occurrence) + "." + std::to_string(name.step);
    }

} // namespace

CellWorker* CellEngine::reservedWorker(const Jobs::TaskName& name) const
{
    for (const auto& [id, worker] : m_workers.all()) {
        if (worker->reservation && worker->reservation->isFor(name))
            return worker.get();
    }
    return nullptr;
}

void CellEngine::reserveRoom(const std::vector<Candidate>& ranked)
{
    const Common::MonotonicTime now = m_runtime.now();
    endOutdatedReservations();
    if (now - m_reservationsSearchedAt < reservationInterval)
        return;
    m_reservationsSearchedAt = now;
    size_t listed = 0;
    size_t reserved = 0;
    for (const auto& [id, worker] : m_workers.all()) {
        listed += worker->listed ? 1 : 0;
        reserved += worker->reservation && !worker->reservation->made && !worker->reservation->promisedUntil ? 1 : 0;
    }
    const size_t most = std::max<size_t>(1, listed / reservationShare);
    // What needs at least as much as a step without a suitable worker has none either.
    std::vector<const Candidate*> hopeless;
    for (const ReservationClaim& claim : reservationClaims(ranked)) {
        if (std::any_of(hopeless.begin(), hopeless.end(),
                [&](const Candidate* other) { return needsNoLess(*claim.candidate, *other); }))
            continue;
        CellWorker* const displaced = reserved < most ? nullptr : displaceableFor(claim);
        if (reserved >= most && !displaced)
            return;
        const std::optional<ExpectedRoom> room
            = earliestRoom(*claim.candidate->job, firstAvailableTask(*claim.candidate), displaced);
        if (!room) {
            hopeless.push_back(claim.candidate);
            continue;
        }
        if (displaced)
            endReservation(*displaced, "displaced");
        else
            ++reserved;
        reserve(*room, *claim.candidate);
    }
}

/// Steps for which room may be reserved. Long-running ones come first, as they are wanted at once, then the largest: a
/// small task finds room by itself more easily, and small ones of a backlog would keep the large ones from their turn.
std::vector<CellEngine::ReservationClaim> CellEngine::reservationClaims(const std::vector<Candidate>& ranked) const
{
    const Common::MonotonicTime now = m_runtime.now();
    std::vector<ReservationClaim> claims;
    for (const Candidate& candidate : ranked) {
        const Jobs::StepSpec& spec = candidate.job->stepSpec(candidate.step);
        const Jobs::TaskName name = firstTaskOf(*candidate.job, candidate.occurrence, candidate.step);
        const LiveStep& step = *findStep(*candidate.job, name);
        if (!spec.gang && step.blocked && reservationDue(step, spec) <= now && !reservedWorker(name))
            claims.push_back(
                { &candidate, spec.longRunning, shareOfWorker(allocationFor(spec).held), reservationDue(step, spec) });
    }
    std::stable_sort(claims.begin(), claims.end(), [](const ReservationClaim& a, const ReservationClaim& b) {
        return std::tuple(!a.longRunning, -a.share, a.due) < std::tuple(!b.longRunning, -b.share, b.due);
    });
    return claims;
}

/// Share of the largest worker that the task needs, of the resource of which it needs most.
double CellEngine::shareOfWorker(const Common::Resources& needed) const
{
    Common::Resources largest;
    for (const auto& [id, worker] : m_workers.all())
        largest = Common::largerOf(largest, worker->entry().capacity);
    const auto share = [](int64_t part, int64_t whole) {
        return static_cast<double>(part) / static_cast<double>(std::max<int64_t>(whole, 1));
    };
    return std::max({ share(needed.milliCores, largest.milliCores),
        share(needed.memoryMegabytes, largest.memoryMegabytes), share(needed.accelerators, largest.accelerators) });
}

bool CellEngine::needsNoLess(const Candidate& candidate, const Candidate& other)
{
    const Jobs::StepSpec& spec = candidate.job->stepSpec(candidate.step);
    const Jobs::StepSpec& otherSpec = other.job->stepSpec(other.step);
    return candidate.job->policy().service == other.job->policy().service
        && spec.requiredLabel == otherSpec.requiredLabel && otherSpec.maximumPerWorker == 0
        && Common::fits(allocationFor(otherSpec).held, allocationFor(spec).held);
}

/// The worker with the smallest reservation, if it is one that the claim comes before by far.
CellWorker* CellEngine::displaceableFor(const ReservationClaim& claim)
{
    CellWorker* smallest = nullptr;
    double smallestShare = 0;
    for (const auto& [id, worker] : m_workers.all()) {
        const LiveJob* const job = worker->reservation ? findJob(worker->reservation->step.job) : nullptr;
        if (!job || job->stepSpec(worker->reservation->step.step).longRunning)
            continue;
        const double share = shareOfWorker(worker->reservation->needed);
        if (!smallest || share < smallestShare) {
            smallest = worker.get();
            smallestShare = share;
        }
    }
    return smallest && (claim.longRunning || claim.share >= displacementFactor * smallestShare) ? smallest : nullptr;
}

void CellEngine::reserve(const ExpectedRoom& room, const Candidate& candidate)
{
    const Jobs::TaskName name = firstTaskOf(*candidate.job, candidate.occurrence, candidate.step);
    const Common::Resources needed = allocationFor(candidate.job->stepSpec(candidate.step)).held;
    room.worker->reservation = CellWorker::Reservation { name, needed, m_runtime.now(), false, std::nullopt };
    LC_INFO(Jobs,
        "event=room-reserved step=" << stepName(name) << " worker=" << room.worker->id().value() << " cell="
                                    << m_id.value() << " wait-ms=" << room.wait / std::chrono::milliseconds(1)
                                    << " cores=" << needed.milliCores << " memory=" << needed.memoryMegabytes
                                    << " accelerators=" << needed.accelerators);
}

Jobs::TaskName CellEngine::firstAvailableTask(const Candidate& candidate) const
{
    const LiveStep& step = candidate.job->occurrences().at(candidate.occurrence).steps[candidate.step];
    const auto available = std::find_if(
        step.tasks.begin(), step.tasks.end(), [this](const LiveTask& task) { return isAvailable(task); });
    return { candidate.job->id(), candidate.occurrence, candidate.step,
        static_cast<uint32_t>(available - step.tasks.begin()) };
}

std::optional<Common::Duration> CellEngine::timeUntilRoom(
    const CellWorker& worker, const Common::Resources& needed) const
{
    std::vector<Policy::HeldRoom> runs;
    for (const auto& [run, allocation] : worker.allocations()) {
        std::optional<Common::Duration> remaining;
        if (allocation.stopping)
            remaining = Common::Duration::zero();
        else if (!allocation.longRunning)
            remaining = Policy::expectedRemaining(allocation.estimate, m_runtime.now() - allocation.orderedAt);
        runs.push_back({ allocation.held, remaining });
    }
    return Policy::timeUntilRoom(needed, worker.entry().capacity, std::move(runs));
}

/// The worker that has room for the task first, of those without a reservation for another step except on `displaced`.
/// Nothing if none ever will, or if one has room now, as the task then waits for something else.
std::optional<CellEngine::ExpectedRoom> CellEngine::earliestRoom(
    const LiveJob& job, const Jobs::TaskName& name, const CellWorker* displaced) const
{
    const Jobs::StepSpec& spec = job.stepSpec(name.step);
    const Common::Resources needed = allocationFor(spec).held;
    std::optional<ExpectedRoom> earliest;
    for (const auto& [id, worker] : m_workers.all()) {
        if (!mayRunOn(*worker, job, spec) || isQuarantinedFor(*worker, job, name)
            || (worker->reservation && !worker->reservation->isFor(name) && worker.get() != displaced)
            || (spec.maximumPerWorker > 0 && offerOf(*worker, spec, name).sameStep >= spec.maximumPerWorker))
            continue;
        if (Common::fits(needed, worker->free()))
            return std::nullopt;
        const std::optional<Common::Duration> wait = timeUntilRoom(*worker, needed);
        if (wait && (!earliest || *wait < earliest->wait))
            earliest = ExpectedRoom { worker.get(), *wait };
    }
    return earliest;
}

void CellEngine::endOutdatedReservations()
{
    for (const auto& [id, worker] : m_workers.all()) {
        if (!worker->reservation)
            continue;
        if (const char* const reason = reasonToEndReservation(*worker))
            endReservation(*worker, reason);
    }
}

/// Null if the reservation goes on.
const char* CellEngine::reasonToEndReservation(const CellWorker& worker)
{
    const CellWorker::Reservation& reservation = *worker.reservation;
    if (reservation.promisedUntil) {
        if (!worker.isOpen())
            return "worker-unavailable";
        return m_runtime.now() < *reservation.promisedUntil ? nullptr : "promise-lapsed";
    }
    const LiveJob* const job = findJob(reservation.step.job);
    if (!job || isFinal(job->phase()))
        return "job-ended";
    const LiveStep* const step = findStep(*job, reservation.step);
    if (!step || !hasAvailableTask(*step))
        return "no-waiting-task";
    const auto obstacle = obstacleAtWorker(worker, *job, job->stepSpec(reservation.step.step));
    if (obstacle && *obstacle != Policy::StartObstacle::Refused)
        return "worker-unavailable";
    if (reservation.made && m_runtime.now() - reservation.since >= longestRoomMaking)
        return "room-not-made";
    const Candidate candidate { findJob(reservation.step.job), reservation.step.occurrence, reservation.step.step, {} };
    const Jobs::TaskName name = firstAvailableTask(candidate);
    if (isQuarantinedFor(worker, *job, name))
        return "quarantine";
    // A worker on which runs overrun their estimates is kept: another would have to begin anew.
    return timeUntilRoom(worker, reservation.needed) ? nullptr : "no-room";
}

void CellEngine::endReservation(CellWorker& worker, const char* reason)
{
    const CellWorker::Reservation& reservation = *worker.reservation;
    LC_INFO(Jobs,
        "event=room-reservation-ended step=" << stepName(reservation.step) << " worker=" << worker.id().value()
                                             << " reason=" << reason << " held-ms="
                                             << (m_runtime.now() - reservation.since) / std::chrono::milliseconds(1));
    worker.reservation.reset();
}

/// Called when a task of the step is ordered, on whichever worker.
void CellEngine::endReservationForStart(LiveStep& step, const Jobs::TaskName& name, CellWorker& started)
{
    const bool isThere = started.reservation && started.reservation->isFor(name);
    CellWorker* const reserved = isThere ? &started : reservedWorker(name);
    if (!reserved)
        return;
    endReservation(*reserved, "started");
    step.reservedStartAt = m_runtime.now();
    m_reservationsSearchedAt = {};
    m_roomMakingSearchedAt = {};
    schedulePlacement();
}

} // namespace Cells
