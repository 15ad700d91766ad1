// Keeps one exponential average per image.
#include "Policy/SmoothedShares.h"

#include <chrono>
#include <cmath>

namespace Policy {

namespace {

    /// Time in which the effect of backfill on a reported tail latency decays to about a third.
    constexpr double fadingSeconds = 1;
    /// Smaller shares are dropped.
    constexpr double smallestShare = 1e-4;

} // namespace

void SmoothedShares::update(const std::vector<PacedRun>& runs, Common::MonotonicTime now)
{
    const double passed = std::chrono::duration<double>(now - m_updatedAt).count();
    const double weight = m_hasSample ? 1 - std::exp(-passed / fadingSeconds) : 1;
    m_hasSample = true;
    m_updatedAt = now;
    for (auto& [image, share] : m_shares)
        share *= 1 - weight;
    for (const PacedRun& run : runs)
        m_shares[run.image] += weight * run.used;
    std::erase_if(m_shares, [](const auto& row) { return row.second < smallestShare; });
}

std::vector<TailLatencyModel::BackfillShare> SmoothedShares::backfillShares() const
{
    std::vector<TailLatencyModel::BackfillShare> backfillShares;
    backfillShares.reserve(m_shares.size());
    for (const auto& [image, share] : m_shares)
        backfillShares.push_back({ image, share });
    return backfillShares;
}

} // namespace Policy
