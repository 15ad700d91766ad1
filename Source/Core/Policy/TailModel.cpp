// Diagonal Kalman filter over pairs of images, from levels and from changes.
#include "Policy/TailModel.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Policy {

namespace {

    /// Before anything is known a pair is taken for disturbing, which lets a task or so on a worker through to learn
    /// from. The spread covers pairs that don't disturb at all.
    constexpr double priorPressure = 2.2;
    constexpr double priorVariance = 6;
    constexpr double highestPressure = 20;
    /// Pairs disturb each other strongly or hardly at all; less than this is the noise of the estimate.
    constexpr double harmlessPressure = 1.6;
    /// A factor never becomes so sure that a change isn't seen.
    constexpr double smallestVariance = 0.2;
    /// Variance of a service's load over its swings, and from one report to the next, in utilization.
    constexpr double loadVariance = 0.025;
    constexpr double changeVariance = 0.005;
    /// Reported tails fade over a second or so: after a spike they say nothing of what runs beside the service now.
    constexpr double spikeRatio = 1.2;
    constexpr double priorBaseRatio = 0.22;
    constexpr double priorLoad = 0.42;
    constexpr double loadWeight = 0.03;
    constexpr double baseWeight = 0.3;
    /// Beyond this ratio the queue is saturated and its length says nothing about the utilization but that it is
    /// over 1.
    constexpr double saturatedRatio = 2.5;
    constexpr double saturatedUtilization = 1.1;
    /// Changes of a share below this are noise.
    constexpr double smallestChange = 0.01;
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

/// Own and adopted estimates, weighted by how sure they are. All begin with the same prior, which counts once.
TailModel::Factor TailModel::combined(const Pair& pair) const
{
    const auto own = m_factors.find(pair);
    const auto told = m_adopted.find(pair);
    if (told == m_adopted.end())
        return own == m_factors.end() ? priorFactor() : own->second;
    double precision = 1 / priorVariance;
    double sum = priorPressure / priorVariance;
    const auto add = [&](const Factor& factor) {
        const double gained = 1 / factor.variance - 1 / priorVariance;
        if (gained <= 0)
            return;
        precision += gained;
        sum += factor.value / factor.variance - priorPressure / priorVariance;
    };
    if (own != m_factors.end())
        add(own->second);
    for (const auto& [source, factor] : told->second)
        add(factor);
    return Factor { std::clamp(sum / precision, 0.0, highestPressure), 1 / precision };
}

std::vector<TailModel::Belief> TailModel::beliefs(size_t most) const
{
    std::vector<Belief> rows;
    for (const auto& [pair, factor] : m_factors)
        rows.push_back({ pair.first, pair.second, factor.value, factor.variance });
    std::sort(rows.begin(), rows.end(), [](const Belief& a, const Belief& b) { return a.variance < b.variance; });
    if (rows.size() > most)
        rows.resize(most);
    return rows;
}

void TailModel::adopt(const std::string& source, const std::vector<Belief>& beliefs)
{
    for (const Belief& belief : beliefs) {
        if (belief.variance > 0)
            m_adopted[Pair(belief.backfill, belief.service)].insert_or_assign(
                source, Factor { belief.pressure, belief.variance });
    }
}

double TailModel::pressure(const std::string& backfill, const std::string& service) const
{
    const double value = combined(Pair(backfill, service)).value;
    return value < harmlessPressure ? 0 : value;
}

double TailModel::pressure(const std::vector<Source>& sources, const std::string& service) const
{
    double sum = 0;
    for (const Source& source : sources)
        sum += source.share * pressure(source.image, service);
    return sum;
}

std::set<std::string> TailModel::backfillImages() const
{
    std::set<std::string> images;
    for (const auto& [pair, factor] : m_factors)
        images.insert(pair.first);
    for (const auto& [pair, told] : m_adopted)
        images.insert(pair.first);
    return images;
}

std::string TailModel::summary() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1);
    for (const auto& [pair, own] : m_factors) {
        const Factor factor = combined(pair);
        text << (text.tellp() > 0 ? "," : "") << pair.first << "/" << pair.second << ":" << factor.value;
    }
    return text.str();
}

double TailModel::usualLoad(const std::string& service) const { return serviceOf(service).load; }

void TailModel::observe(const std::string& service, const Sample& sample, const Sample* previous)
{
    Service& known = m_services.try_emplace(service, priorService()).first->second;
    if (sample.tailRatio > 0 && sample.tailRatio < known.baseRatio)
        known.baseRatio += baseWeight * (sample.tailRatio - known.baseRatio);
    const bool fading = previous && previous->tailRatio > spikeRatio && sample.tailRatio < previous->tailRatio;
    if (fading)
        return;
    learnLevel(service, sample);
    if (previous)
        learnChange(service, sample, *previous);
}

void TailModel::learnLevel(const std::string& service, const Sample& sample)
{
    Service& known = m_services.at(service);
    const double seen = utilization(service, sample.tailRatio);
    const double pressed = pressure(sample.sources, service);
    if (pressed < noticeablePressure && seen < 1)
        known.load += loadWeight * (seen - known.load);
    const double expected = known.load + pressed;
    const bool missed = sample.tailRatio > 1 && seen > expected;
    // A saturated queue tells only that the utilization was higher than what was expected.
    if (sample.tailRatio > saturatedRatio && expected >= saturatedUtilization)
        return;
    std::vector<Source> telling;
    for (const Source& source : sample.sources) {
        if (source.fullPace || missed)
            telling.push_back(source);
    }
    if (!telling.empty())
        learnFactors(service, seen - expected, telling, loadVariance);
}

void TailModel::learnChange(const std::string& service, const Sample& sample, const Sample& previous)
{
    std::map<std::string, double> changes;
    for (const Source& source : sample.sources)
        changes[source.image] += source.share;
    for (const Source& source : previous.sources)
        changes[source.image] -= source.share;
    std::vector<Source> sources;
    double expected = 0;
    for (const auto& [image, change] : changes) {
        if (std::abs(change) < smallestChange)
            continue;
        sources.push_back({ image, change, false });
        expected += change * pressure(image, service);
    }
    if (sources.empty())
        return;
    const double seen = utilization(service, sample.tailRatio) - utilization(service, previous.tailRatio);
    const bool tellsNothing = sample.tailRatio > saturatedRatio && expected >= seen;
    if (!tellsNothing)
        learnFactors(service, seen - expected, sources, changeVariance);
}

void TailModel::learnFactors(
    const std::string& service, double surprise, const std::vector<Source>& sources, double noise)
{
    double variance = noise;
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
