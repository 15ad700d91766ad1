// Counts, percentiles and the summary of a load run.
#include "StandIns/LoadTool/LoadStats.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace StandIns {

void LoadStats::countOutcome(LoadOutcome outcome, Common::Duration latency)
{
    ++m_outcomes[outcome];
    if (outcome != LoadOutcome::Answer)
        return;
    m_latencyMicroseconds.push_back(latency.count());
    m_sorted = false;
}

uint64_t LoadStats::ended() const
{
    uint64_t total = 0;
    for (const auto& [outcome, requests] : m_outcomes)
        total += requests;
    return total;
}

Common::Duration LoadStats::percentile(double percent)
{
    if (m_latencyMicroseconds.empty())
        return {};
    if (!m_sorted)
        std::sort(m_latencyMicroseconds.begin(), m_latencyMicroseconds.end());
    m_sorted = true;
    const double rank = std::ceil(percent / 100 * static_cast<double>(m_latencyMicroseconds.size()));
    const auto index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
    return Common::Duration(m_latencyMicroseconds[std::min(index, m_latencyMicroseconds.size() - 1)]);
}

nlohmann::json LoadStats::summary(Common::Duration elapsed)
{
    const auto milliseconds
        = [](Common::Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); };
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const uint64_t answers = m_outcomes[LoadOutcome::Answer];
    return { { "sent", m_sent }, { "attempts", m_attempts }, { "answers", answers },
        { "notRun", m_outcomes[LoadOutcome::NotRun] }, { "unknown", m_outcomes[LoadOutcome::Unknown] },
        { "gaveUp", m_outcomes[LoadOutcome::GaveUp] }, { "wrongAnswers", m_outcomes[LoadOutcome::WrongAnswer] },
        { "unfinished", m_sent - ended() }, { "errors", m_errors }, { "p50Ms", milliseconds(percentile(50)) },
        { "p99Ms", milliseconds(percentile(99)) }, { "maxMs", milliseconds(percentile(100)) },
        { "throughput", seconds > 0 ? static_cast<double>(answers) / seconds : 0.0 }, { "seconds", seconds } };
}

} // namespace StandIns
