// Room on one worker.
#include "Cells/CellWorker.h"

#include <algorithm>

namespace Cells {

namespace {

    /// Long-running tasks use about this share of what they declare: their load swings around half of it, and the
    /// worker doesn't report their use while they serve.
    constexpr double servingUseShare = 0.5;

    bool servesUsers(const Occupant& occupant) { return occupant.latencyTarget > Common::Duration::zero(); }

    /// Thousandths of a core that a run which isn't backfill uses.
    int64_t usedMilliCores(const Occupant& occupant)
    {
        if (servesUsers(occupant))
            return static_cast<int64_t>(static_cast<double>(occupant.held.milliCores) * servingUseShare);
        if (!occupant.seen || occupant.load < 0)
            return occupant.held.milliCores;
        return static_cast<int64_t>(occupant.load);
    }

} // namespace

CellWorker::CellWorker(WorkerEntry entry)
    : bornMilliseconds(entry.bornMilliseconds)
    , m_entry(std::move(entry))
{
}

void CellWorker::update(WorkerEntry entry) { m_entry = std::move(entry); }

void CellWorker::occupy(const RunKey& run, Occupant occupant)
{
    vacate(run);
    m_used += occupant.held;
    m_backfillMilliCores += occupant.backfillMilliCores;
    m_occupants.emplace(run, std::move(occupant));
}

void CellWorker::vacate(const RunKey& run)
{
    const auto found = m_occupants.find(run);
    if (found == m_occupants.end())
        return;
    m_used -= found->second.held;
    m_backfillMilliCores -= found->second.backfillMilliCores;
    m_occupants.erase(found);
}

void CellWorker::vacateAll()
{
    m_occupants.clear();
    m_used = {};
    m_backfillMilliCores = 0;
}

Occupant* CellWorker::find(const RunKey& run)
{
    const auto found = m_occupants.find(run);
    return found == m_occupants.end() ? nullptr : &found->second;
}

Common::Resources CellWorker::free() const
{
    Common::Resources left = m_entry.capacity;
    left -= m_used;
    return left;
}

int64_t CellWorker::unusedMilliCores() const
{
    int64_t unused = m_entry.capacity.milliCores;
    for (const auto& [run, occupant] : m_occupants) {
        if (occupant.backfillMilliCores == 0)
            unused -= usedMilliCores(occupant);
    }
    return std::max<int64_t>(unused, 0);
}

std::vector<Policy::PacedService> CellWorker::services() const
{
    std::vector<Policy::PacedService> services;
    for (const auto& [run, occupant] : m_occupants) {
        if (!servesUsers(occupant))
            continue;
        const double target = std::chrono::duration<double, std::milli>(occupant.latencyTarget).count();
        const bool reported = occupant.seen && occupant.load >= 0;
        services.push_back({ occupant.image, reported ? occupant.load / target : -1 });
    }
    return services;
}

std::vector<Policy::PacedRun> CellWorker::backfillRuns() const
{
    const auto capacity = static_cast<double>(std::max<int64_t>(m_entry.capacity.milliCores, 1));
    std::vector<Policy::PacedRun> runs;
    for (const auto& [run, occupant] : m_occupants) {
        if (occupant.backfillMilliCores == 0)
            continue;
        Policy::PacedRun paced;
        paced.image = occupant.image;
        paced.demand = static_cast<double>(occupant.backfillMilliCores) / capacity;
        paced.used = occupant.seen ? std::max(occupant.load, 0.0) / capacity : 0;
        paced.pace = occupant.pace;
        runs.push_back(std::move(paced));
    }
    return runs;
}

bool CellWorker::serves() const
{
    return std::any_of(m_occupants.begin(), m_occupants.end(), [](const auto& row) { return servesUsers(row.second); });
}

void CellWorker::addServing(std::map<std::string, int64_t>& byImage) const
{
    for (const auto& [run, occupant] : m_occupants) {
        if (servesUsers(occupant))
            byImage[occupant.image] += occupant.held.milliCores;
    }
}

double CellWorker::shareOfImage(const std::string& image) const
{
    size_t serving = 0;
    size_t same = 0;
    for (const auto& [run, occupant] : m_occupants) {
        if (!servesUsers(occupant))
            continue;
        ++serving;
        same += occupant.image == image ? 1 : 0;
    }
    return serving == 0 ? 0 : static_cast<double>(same) / static_cast<double>(serving);
}

} // namespace Cells
