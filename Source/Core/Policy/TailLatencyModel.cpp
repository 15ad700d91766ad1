// Recursive least squares, one filter per service image.
#include "Policy/TailLatencyModel.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace Policy {

namespace {

    /// Prior for an unknown pair: moderately disturbing, so that one or two tasks on a worker may run to learn from.
    /// The variance covers pairs that don't disturb at all and pairs that saturate a service.
    constexpr double priorPressure = 0.8;
    constexpr double priorVariance = 4;
    constexpr double highestPressure = 20;
    /// Pairs disturb each other strongly or hardly at all; an estimate below this is noise and counts as harmless.
    constexpr double harmlessPressure = 0.6;
    /// The pressure of a disturbing pair is assumed to be this many standard deviations above its estimate.
    constexpr double caution = 0.4;
    /// Added to the variances with each report, so that a change is still learned after many reports: the memory is
    /// some thousand reports. The service's own load drifts less: if it followed the swings, it would absorb the effect
    /// of backfill.
    constexpr double factorDrift = 4e-7;
    constexpr double loadDrift = 4e-9;
    /// Lower bound on the variance of estimates inherited from an earlier owner, which come without covariances.
    constexpr double inheritedVariance = 0.1;
    /// Variance of a report around the model, in utilization: the swing of the service's own load, which affects
    /// several consecutive reports alike.
    constexpr double reportVariance = 0.1;
    constexpr double priorBaseRatio = 0.22;
    constexpr double priorLoad = 0.42;
    constexpr double priorLoadVariance = 0.01;
    constexpr double baseWeight = 0.3;
    /// Above this tail ratio the service is saturated, and the ratio no longer shows by how much.
    constexpr double saturatedRatio = 2.5;
    constexpr double saturatedUtilization = 1.5;

} // namespace

TailLatencyModel::Service::Service()
    : baseRatio(priorBaseRatio)
    , values { priorLoad }
    , covariance { priorLoadVariance }
{
}

size_t TailLatencyModel::Service::indexOf(const std::string& image)
{
    const auto found = std::find(images.begin(), images.end(), image);
    if (found != images.end())
        return static_cast<size_t>(found - images.begin()) + 1;
    const size_t before = size();
    std::vector<double> grown((before + 1) * (before + 1), 0);
    for (size_t row = 0; row < before; ++row)
        std::copy_n(&covariance[row * before], before, &grown[row * (before + 1)]);
    grown.back() = priorVariance;
    covariance = std::move(grown);
    images.push_back(image);
    values.push_back(priorPressure);
    return before;
}

/// `weights`: how much each value contributes to the observed utilization.
void TailLatencyModel::Service::learn(const std::vector<double>& weights, double observed, double noise)
{
    const size_t count = size();
    std::vector<double> projected(count, 0);
    for (size_t row = 0; row < count; ++row) {
        for (size_t column = 0; column < count; ++column)
            projected[row] += at(row, column) * weights[column];
    }
    const double variance = noise + std::inner_product(weights.begin(), weights.end(), projected.begin(), 0.0);
    const double residual = observed - std::inner_product(weights.begin(), weights.end(), values.begin(), 0.0);
    for (size_t row = 0; row < count; ++row)
        values[row] += projected[row] / variance * residual;
    for (size_t row = 0; row < count; ++row) {
        for (size_t column = 0; column < count; ++column)
            at(row, column) -= projected[row] * projected[column] / variance;
        const bool isLoad = row == 0;
        at(row, row)
            = std::min(isLoad ? priorLoadVariance : priorVariance, at(row, row) + (isLoad ? loadDrift : factorDrift));
    }
}

const TailLatencyModel::Service& TailLatencyModel::serviceOf(const std::string& service) const
{
    static const Service prior;
    const auto found = m_services.find(service);
    return found == m_services.end() ? prior : found->second;
}

double TailLatencyModel::utilization(const std::string& service, double tailRatio) const
{
    if (tailRatio > saturatedRatio)
        return saturatedUtilization;
    const double base = serviceOf(service).baseRatio;
    return tailRatio <= base ? 0 : 1 - base / tailRatio;
}

std::optional<TailLatencyModel::Factor> TailLatencyModel::ownEstimate(const Pair& pair) const
{
    const Service& service = serviceOf(pair.second);
    const auto found = std::find(service.images.begin(), service.images.end(), pair.first);
    if (found == service.images.end())
        return std::nullopt;
    const size_t index = static_cast<size_t>(found - service.images.begin()) + 1;
    return Factor { service.values[index], service.at(index, index) };
}

/// Combines own and adopted estimates, weighted by precision. All start from the same prior, which is counted once.
TailLatencyModel::Factor TailLatencyModel::combinedEstimate(const Pair& pair) const
{
    double precision = 1 / priorVariance;
    double sum = priorPressure / priorVariance;
    const auto add = [&](const Factor& factor) {
        const double gained = 1 / factor.variance - 1 / priorVariance;
        if (gained <= 0)
            return;
        precision += gained;
        sum += factor.value / factor.variance - priorPressure / priorVariance;
    };
    if (const auto learned = ownEstimate(pair))
        add(*learned);
    if (const auto adopted = m_adopted.find(pair); adopted != m_adopted.end()) {
        for (const auto& [source, factor] : adopted->second)
            add(factor);
    }
    return Factor { std::clamp(sum / precision, 0.0, highestPressure), 1 / precision };
}

std::vector<TailLatencyModel::PressureEstimate> TailLatencyModel::pressureEstimates(size_t maximumCount) const
{
    std::vector<PressureEstimate> rows;
    for (const auto& [name, service] : m_services) {
        for (size_t index = 0; index < service.images.size(); ++index)
            rows.push_back(
                { service.images[index], name, service.values[index + 1], service.at(index + 1, index + 1) });
    }
    std::sort(rows.begin(), rows.end(),
        [](const PressureEstimate& a, const PressureEstimate& b) { return a.variance < b.variance; });
    if (rows.size() > maximumCount)
        rows.resize(maximumCount);
    return rows;
}

void TailLatencyModel::inherit(const std::vector<PressureEstimate>& pressureEstimates)
{
    for (const PressureEstimate& estimate : pressureEstimates) {
        Service& service = m_services.try_emplace(estimate.service).first->second;
        const size_t index = service.indexOf(estimate.backfill);
        service.values[index] = estimate.pressure;
        service.at(index, index) = std::clamp(estimate.variance, inheritedVariance, priorVariance);
    }
}

void TailLatencyModel::adopt(const std::string& source, const std::vector<PressureEstimate>& pressureEstimates)
{
    for (const PressureEstimate& estimate : pressureEstimates) {
        if (estimate.variance > 0)
            m_adopted[Pair(estimate.backfill, estimate.service)].insert_or_assign(
                source, Factor { estimate.pressure, estimate.variance });
    }
}

double TailLatencyModel::pressure(const std::string& backfill, const std::string& service) const
{
    const Factor factor = combinedEstimate(Pair(backfill, service));
    return factor.value < harmlessPressure ? 0 : factor.value + caution * std::sqrt(factor.variance);
}

double TailLatencyModel::pressure(const std::vector<BackfillShare>& backfillShares, const std::string& service) const
{
    double sum = 0;
    for (const BackfillShare& source : backfillShares)
        sum += source.share * pressure(source.image, service);
    return sum;
}

std::set<std::string> TailLatencyModel::backfillImages() const
{
    std::set<std::string> images;
    for (const auto& [name, service] : m_services)
        images.insert(service.images.begin(), service.images.end());
    for (const auto& [pair, adopted] : m_adopted)
        images.insert(pair.first);
    return images;
}

std::string TailLatencyModel::summary() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1);
    for (const auto& [name, service] : m_services) {
        text << (text.tellp() > 0 ? "," : "") << name << ":" << service.values.front();
        for (const std::string& image : service.images)
            text << "," << image << "/" << name << ":" << combinedEstimate(Pair(image, name)).value;
    }
    return text.str();
}

double TailLatencyModel::usualLoad(const std::string& service) const { return serviceOf(service).values.front(); }

void TailLatencyModel::observe(const std::string& name, const Sample& sample)
{
    Service& service = m_services.try_emplace(name).first->second;
    if (sample.tailRatio <= 0)
        return;
    if (sample.tailRatio < service.baseRatio)
        service.baseRatio += baseWeight * (sample.tailRatio - service.baseRatio);
    for (const BackfillShare& source : sample.backfillShares)
        service.indexOf(source.image);
    std::vector<double> weights(service.size(), 0);
    weights.front() = 1;
    for (const BackfillShare& source : sample.backfillShares)
        weights[service.indexOf(source.image)] += source.share;
    service.learn(weights, utilization(name, sample.tailRatio), reportVariance);
}

} // namespace Policy
