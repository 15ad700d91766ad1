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

TailLatencyModel::Evidence TailLatencyModel::Evidence::of(const Factor& factor)
{
    // All estimates start from the same prior, which is counted once.
    const double gained = 1 / factor.variance - 1 / priorVariance;
    if (gained <= 0)
        return {};
    return { gained, factor.value / factor.variance - priorPressure / priorVariance };
}

TailLatencyModel::Evidence& TailLatencyModel::Evidence::operator+=(const Evidence& other)
{
    precision += other.precision;
    weightedValue += other.weightedValue;
    return *this;
}

void TailLatencyModel::Pairing::adopt(const std::string& source, const Evidence& evidence)
{
    adopted.insert_or_assign(source, evidence);
    // Summed up anew, because rounding errors would accumulate if the replaced evidence were subtracted.
    adoptedSum = {};
    for (const auto& [name, part] : adopted)
        adoptedSum += part;
}

size_t TailLatencyModel::Service::addImage(const std::string& image)
{
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

TailLatencyModel::Service& TailLatencyModel::learnedService(const std::string& name)
{
    Service& service = m_services.try_emplace(name).first->second;
    service.learned = true;
    return service;
}

TailLatencyModel::Pairing& TailLatencyModel::pairingOf(Service& service, const std::string& backfill)
{
    const auto [found, added] = service.pairings.try_emplace(backfill);
    if (added)
        m_backfillImages.insert(backfill);
    return found->second;
}

size_t TailLatencyModel::learnedIndex(Service& service, const std::string& backfill)
{
    Pairing& pairing = pairingOf(service, backfill);
    if (pairing.index == 0)
        pairing.index = service.addImage(backfill);
    return pairing.index;
}

/// Combines own and adopted estimates, weighted by precision.
TailLatencyModel::Factor TailLatencyModel::combinedEstimate(const Service& service, const std::string& backfill)
{
    Evidence evidence { 1 / priorVariance, priorPressure / priorVariance };
    if (const auto found = service.pairings.find(backfill); found != service.pairings.end()) {
        const Pairing& pairing = found->second;
        if (pairing.index > 0)
            evidence += Evidence::of({ service.values[pairing.index], service.at(pairing.index, pairing.index) });
        evidence += pairing.adoptedSum;
    }
    return Factor { std::clamp(evidence.weightedValue / evidence.precision, 0.0, highestPressure),
        1 / evidence.precision };
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
        Service& service = learnedService(estimate.service);
        const size_t index = learnedIndex(service, estimate.backfill);
        service.values[index] = estimate.pressure;
        service.at(index, index) = std::clamp(estimate.variance, inheritedVariance, priorVariance);
    }
}

void TailLatencyModel::adopt(const std::string& source, const std::vector<PressureEstimate>& pressureEstimates)
{
    for (const PressureEstimate& estimate : pressureEstimates) {
        if (estimate.variance > 0)
            pairingOf(m_services.try_emplace(estimate.service).first->second, estimate.backfill)
                .adopt(source, Evidence::of({ estimate.pressure, estimate.variance }));
    }
}

double TailLatencyModel::pressure(const Service& service, const std::string& backfill)
{
    const Factor factor = combinedEstimate(service, backfill);
    return factor.value < harmlessPressure ? 0 : factor.value + caution * std::sqrt(factor.variance);
}

double TailLatencyModel::pressure(const std::string& backfill, const std::string& service) const
{
    return pressure(serviceOf(service), backfill);
}

double TailLatencyModel::pressure(const std::vector<BackfillShare>& backfillShares, const std::string& service) const
{
    const Service& learned = serviceOf(service);
    double sum = 0;
    for (const BackfillShare& source : backfillShares)
        sum += source.share * pressure(learned, source.image);
    return sum;
}

std::string TailLatencyModel::summary() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1);
    for (const auto& [name, service] : m_services) {
        if (!service.learned)
            continue;
        text << (text.tellp() > 0 ? "," : "") << name << ":" << service.values.front();
        for (const std::string& image : service.images)
            text << "," << image << "/" << name << ":" << combinedEstimate(service, image).value;
    }
    return text.str();
}

double TailLatencyModel::usualLoad(const std::string& service) const { return serviceOf(service).values.front(); }

void TailLatencyModel::observe(const std::string& name, const Sample& sample)
{
    Service& service = learnedService(name);
    if (sample.tailRatio <= 0)
        return;
    if (sample.tailRatio < service.baseRatio)
        service.baseRatio += baseWeight * (sample.tailRatio - service.baseRatio);
    for (const BackfillShare& source : sample.backfillShares)
        learnedIndex(service, source.image);
    std::vector<double> weights(service.size(), 0);
    weights.front() = 1;
    for (const BackfillShare& source : sample.backfillShares)
        weights[learnedIndex(service, source.image)] += source.share;
    service.learn(weights, utilization(name, sample.tailRatio), reportVariance);
}

} // namespace Policy
