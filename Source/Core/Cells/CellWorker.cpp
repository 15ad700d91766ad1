// Allocations and free resources of one worker.
#include "Cells/CellWorker.h"

#include <algorithm>

namespace Cells {

namespace {

    /// Serving tasks use about this share of what they declare: their load varies around half of it. Workers report the
    /// latency of such tasks instead of their processor time.
    constexpr double servingUseShare = 0.5;

    bool servesUsers(const RunAllocation& allocation) { return allocation.latencyTarget > Common::Duration::zero(); }

    /// Thousandths of a core that a run other than backfill uses.
    int64_t usedMilliCores(const RunAllocation& allocation)
    {
        if (servesUsers(allocation))
            return static_cast<int64_t>(static_cast<double>(allocation.held.milliCores) * servingUseShare);
        if (!allocation.reportedRunning || allocation.load < 0)
            return allocation.held.milliCores;
        return static_cast<int64_t>(allocation.load);
    }

    Common::Resources smaller(const Common::Resources& a, const Common::Resources& b)
    {
        return { std::min(a.slots, b.slots), std::min(a.milliCores, b.milliCores),
            std::min(a.memoryMegabytes, b.memoryMegabytes), std::min(a.accelerators, b.accelerators) };
    }

} // namespace

CellWorker::CellWorker(WorkerEntry entry, const CellSettings& settings)
    : callsUnderWay(settings)
    , startedAtMilliseconds(entry.startedAtMilliseconds)
    , m_entry(std::move(entry))
    , m_listedCapacity(m_entry.capacity)
    , m_lease(settings)
{
}

void CellWorker::update(WorkerEntry entry)
{
    if (entry.startedAtMilliseconds != 0 && entry.startedAtMilliseconds < m_entry.startedAtMilliseconds)
        return;
    const Common::Resources known = m_entry.capacity;
    const bool listedAnew = entry.capacity != std::exchange(m_listedCapacity, entry.capacity);
    m_entry = std::move(entry);
    if (!m_reportsCapacity)
        return;
    m_entry.capacity = listedAnew ? smaller(known, m_listedCapacity) : known;
}

bool CellWorker::hasOwnEntry() const
{
    return startedAtMilliseconds == 0 || m_entry.startedAtMilliseconds == 0
        || m_entry.startedAtMilliseconds == startedAtMilliseconds;
}

void CellWorker::updateCapacity(const Common::Resources& capacity)
{
    m_reportsCapacity = true;
    m_entry.capacity = capacity;
}

void CellWorker::forgetReportedCapacity()
{
    m_reportsCapacity = false;
    m_entry.capacity = m_listedCapacity;
}

void CellWorker::addAllocation(const RunKey& run, RunAllocation allocation)
{
    removeAllocation(run);
    m_used += allocation.held;
    m_backfillMilliCores += allocation.backfillMilliCores;
    m_allocations.emplace(run, std::move(allocation));
}

void CellWorker::removeAllocation(const RunKey& run)
{
    const auto found = m_allocations.find(run);
    if (found == m_allocations.end())
        return;
    m_used -= found->second.held;
    m_backfillMilliCores -= found->second.backfillMilliCores;
    m_allocations.erase(found);
}

void CellWorker::clearAllocations()
{
    m_allocations.clear();
    m_used = {};
    m_backfillMilliCores = 0;
}

RunAllocation* CellWorker::find(const RunKey& run)
{
    const auto found = m_allocations.find(run);
    return found == m_allocations.end() ? nullptr : &found->second;
}

Common::Resources CellWorker::free() const
{
    Common::Resources left = m_entry.capacity;
    left -= m_used;
    return left;
}

Common::Resources CellWorker::unreservedFree() const
{
    if (!reservation)
        return free();
    if (reservation->made) {
        Common::Resources left = free();
        left -= reservation->needed;
        return left;
    }
    Common::Resources beside = m_entry.capacity;
    beside -= reservation->needed;
    for (const auto& [run, allocation] : m_allocations) {
        if (allocation.longRunning || allocation.orderedAt >= reservation->since)
            beside -= allocation.held;
    }
    return smaller(free(), beside);
}

Common::Resources CellWorker::freeFor(const Jobs::TaskName& task) const
{
    return reservation && reservation->isFor(task) ? free() : unreservedFree();
}

Common::Resources CellWorker::freeAfterEnds() const
{
    Common::Resources left = m_entry.capacity;
    if (reservation)
        left -= reservation->needed;
    for (const auto& [run, allocation] : m_allocations) {
        if (allocation.longRunning)
            left -= allocation.held;
    }
    return left;
}

bool CellWorker::Reservation::isFor(const Jobs::TaskName& task) const
{
    return step.job == task.job && step.occurrence == task.occurrence && step.step == task.step;
}

int64_t CellWorker::unusedMilliCores() const
{
    int64_t unused = m_entry.capacity.milliCores;
    for (const auto& [run, allocation] : m_allocations) {
        if (allocation.backfillMilliCores == 0)
            unused -= usedMilliCores(allocation);
    }
    return std::max<int64_t>(unused, 0);
}

std::vector<Policy::PacedService> CellWorker::services() const
{
    std::vector<Policy::PacedService> services;
    for (const auto& [run, allocation] : m_allocations) {
        if (!servesUsers(allocation))
            continue;
        const double target = std::chrono::duration<double, std::milli>(allocation.latencyTarget).count();
        const bool reported = allocation.reportedRunning && allocation.load >= 0;
        services.push_back({ allocation.image, reported ? allocation.load / target : -1 });
    }
    return services;
}

std::vector<Policy::PacedRun> CellWorker::backfillRuns() const
{
    const auto capacity = static_cast<double>(std::max<int64_t>(m_entry.capacity.milliCores, 1));
    std::vector<Policy::PacedRun> runs;
    for (const auto& [run, allocation] : m_allocations) {
        if (allocation.backfillMilliCores == 0)
            continue;
        Policy::PacedRun paced;
        paced.image = allocation.image;
        paced.demand = static_cast<double>(allocation.backfillMilliCores) / capacity;
        paced.used = allocation.reportedRunning ? std::max(allocation.load, 0.0) / capacity : 0;
        paced.pace = allocation.pace;
        runs.push_back(std::move(paced));
    }
    return runs;
}

bool CellWorker::serves() const
{
    return std::any_of(
        m_allocations.begin(), m_allocations.end(), [](const auto& row) { return servesUsers(row.second); });
}

void CellWorker::addServing(std::map<std::string, int64_t>& byImage) const
{
    for (const auto& [run, allocation] : m_allocations) {
        if (servesUsers(allocation))
            byImage[allocation.image] += allocation.held.milliCores;
    }
}

double CellWorker::shareOfImage(const std::string& image) const
{
    size_t serving = 0;
    size_t same = 0;
    for (const auto& [run, allocation] : m_allocations) {
        if (!servesUsers(allocation))
            continue;
        ++serving;
        same += allocation.image == image ? 1 : 0;
    }
    return serving == 0 ? 0 : static_cast<double>(same) / static_cast<double>(serving);
}

} // namespace Cells
