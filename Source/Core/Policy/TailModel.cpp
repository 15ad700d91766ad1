// Diagonal Kalman filter over pairs of images.
#include "Policy/TailModel.h"

#include <algorithm>

namespace Policy {

namespace {

    /// Before anything is known a pair is taken for disturbing, which lets a task or so on a worker through to learn
    /// from. The spread covers pairs that don't disturb at all.
    constexpr double priorPressure = 3;
    constexpr double priorVariance = 6;
    constexpr double highestPressure = 20;
    /// A factor never becomes so sure that a change isn't seen.
    constexpr double smallestVariance = 0.2;
    /// Variance of a service's load over its swings, in utilization.
    constexpr double loadVariance = 0.025;
    constexpr double priorBaseRatio = 0.22;
    constexpr double priorLoad = 0.42;
    constexpr double loadWeight = 0.03;
    constexpr double baseWeight = 0.3;
    /// Beyond this ratio the queue is saturated and its length says nothing about the utilization but that it is over 1.
    constexpr double saturatedRatio = 2.5;
    constexpr double saturatedUtilization = 1.1;
    /// Less than this isn't told from the service's own load.
    constexpr double noticeablePressure = 0.03;

} // namespace

TailModel::Factor TailModel::priorFactor() { return Factor { priorPressure, priorVariance }; }

TailModel::Service TailModel::priorService() { return Service { priorBaseRatio, priorLoad }; }

const TailModel::Service& TailModel::serviceOf(const std::string& service) const
{
    static const Service prior = priorService();
    const auto found = m_services.find(service);
    return found == m_services.end() ? prior : found->second;
}

double TailModel::utilization(const std::string& service, double tailRatio) const
{
    if (tailRatio > saturatedRatio)
        return saturatedUtilization;
    const double base = serviceOf(service).baseRatio;
    return tailRatio <= base ? 0 : 1 - base / tailRatio;
}

double TailModel::pressure(const std::string& backfill, const std::string& service) const
{
    const auto found = m_factors.find(Pair(backfill, service));
    return found == m_factors.end() ? priorPressure : found->second.value;
}

double TailModel::pressure(const std::vector<Source>& sources, const std::string& service) const
{
    double sum = 0;
    for (const Source& source : sources)
        sum += source.share * pressure(source.image, service);
    return sum;
}

double TailModel::usualLoad(const std::string& service) const { return serviceOf(service).load; }

void TailModel::observe(const std::string& service, double tailRatio, const std::vector<Source>& sources)
{
    Service& known = m_services.try_emplace(service, priorService()).first->second;
    if (tailRatio > 0 && tailRatio < known.baseRatio)
        known.baseRatio += baseWeight * (tailRatio - known.baseRatio);
    const double seen = utilization(service, tailRatio);
    const double pressed = pressure(sources, service);
    if (pressed < noticeablePressure && seen < 1)
        known.load += loadWeight * (seen - known.load);
    if (sources.empty())
        return;
    const double expected = known.load + pressed;
    // A saturated queue tells only that the utilization was higher than what was expected.
    if (tailRatio > saturatedRatio && expected >= saturatedUtilization)
        return;
    learnFactors(service, seen - expected, sources);
}

void TailModel::learnFactors(const std::string& service, double surprise, const std::vector<Source>& sources)
{
    double variance = loadVariance;
    for (const Source& source : sources) {
        const Factor& factor = m_factors.try_emplace(Pair(source.image, service), priorFactor()).first->second;
        variance += factor.variance * source.share * source.share;
    }
    for (const Source& source : sources) {
        Factor& factor = m_factors.at(Pair(source.image, service));
        const double gain = factor.variance * source.share / variance;
        factor.value = std::clamp(factor.value + gain * surprise, 0.0, highestPressure);
        factor.variance = std::max(smallestVariance, factor.variance * (1 - gain * source.share));
    }
}

} // namespace Policy
