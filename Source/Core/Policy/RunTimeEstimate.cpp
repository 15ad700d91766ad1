// Tracks the median by small multiplicative steps.
#include "Policy/RunTimeEstimate.h"

#include <cmath>

namespace Policy {

namespace {

    constexpr double stepFactor = 1.05;
    constexpr Common::Duration fadeDelay = std::chrono::seconds(5);
    constexpr Common::Duration fadeHalfLife = std::chrono::seconds(5);

} // namespace

void RunTimeEstimate::add(Common::Duration runTime, Common::MonotonicTime now)
{
    const double sample = std::max<double>(1, static_cast<double>(runTime.count()));
    if (m_median <= 0)
        m_median = sample;
    else
        m_median = sample > m_median ? m_median * stepFactor : m_median / stepFactor;
    m_updatedAt = now;
}

Common::Duration RunTimeEstimate::value(Common::MonotonicTime now) const
{
    const Common::Duration unused = now - m_updatedAt;
    double value = m_median;
    if (unused > fadeDelay) {
        const double halvings = static_cast<double>((unused - fadeDelay).count()) / fadeHalfLife.count();
        value *= std::exp2(-halvings);
    }
    return Common::Duration(static_cast<Common::Duration::rep>(value));
}

} // namespace Policy
