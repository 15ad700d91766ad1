// Divides the utilization that the services on a worker have to spare among its backfill runs.
#include "Policy/BackfillPace.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Policy {

namespace {

    constexpr double fullPace = 100;
    /// Reserve for load swings: loads change within seconds and the next report may be half a second away.
    constexpr double loadMargin = 0.04;
    /// New runs get this share of a service's spare utilization, so that a load swing doesn't slow them down at once.
    constexpr double newRunShare = 0.85;
    /// Largest rise of a pace from one report to the next, in percentage points.
    constexpr uint32_t riseStep = 30;
    /// While a service stays over its target, runs that may be the cause are slowed to half their pace, then paused: an
    /// impact must not last four seconds.
    constexpr Common::Duration halvedAfter = std::chrono::milliseconds(400);
    constexpr Common::Duration pausedAfter = std::chrono::milliseconds(1100);
    /// From then on runs that the model takes for harmless are paused too.
    constexpr Common::Duration allPausedAfter = std::chrono::milliseconds(1700);
    constexpr size_t passes = 2;

    /// The limit that one service sets to the runs beside it.
    struct ServiceLimit {
        double allowedPressure = 0;
        /// The pressure of each run's image on the service.
        std::vector<double> factors;
        bool overTarget = false;
    };

    ServiceLimit limitOf(const TailLatencyModel& model, const PacedService& service, const Colocation& colocation)
    {
        ServiceLimit limit;
        limit.allowedPressure
            = maximumServiceUtilization - loadMargin - ownLoad(model, service, colocation.recentBackfill);
        limit.factors.reserve(colocation.runs.size());
        for (const PacedRun& run : colocation.runs)
            limit.factors.push_back(model.pressure(run.image, service.image));
        limit.overTarget = service.tailRatio > overTargetTailRatio;
        return limit;
    }

    /// Slows down the runs with the highest pressure on the service until the total is within the allowed pressure.
    void limitPressure(const ServiceLimit& limit, const std::vector<PacedRun>& runs, std::vector<double>& paces)
    {
        double totalPressure = 0;
        for (size_t index = 0; index < runs.size(); ++index)
            totalPressure += limit.factors[index] * runs[index].demand * paces[index];
        if (totalPressure <= limit.allowedPressure)
            return;
        std::vector<std::pair<double, size_t>> byFactor;
        byFactor.reserve(runs.size());
        for (size_t index = 0; index < runs.size(); ++index)
            byFactor.emplace_back(limit.factors[index], index);
        std::sort(byFactor.rbegin(), byFactor.rend());
        for (const auto& [factor, index] : byFactor) {
            const double own = factor * runs[index].demand * paces[index];
            if (totalPressure <= limit.allowedPressure || own <= 0)
                return;
            const double kept = std::max(0.0, own - (totalPressure - limit.allowedPressure));
            paces[index] *= kept / own;
            totalPressure -= own - kept;
        }
    }

    /// Utilization that new runs may add to the service; negative if there is none.
    double spareUtilization(const TailLatencyModel& model, const PacedService& service, const Colocation& colocation)
    {
        double totalPressure = 0;
        for (const PacedRun& run : colocation.runs)
            totalPressure += model.pressure(run.image, service.image) * run.demand * run.pace / fullPace;
        const double load
            = std::max(ownLoad(model, service, colocation.recentBackfill), model.usualLoad(service.image));
        return newRunShare * (maximumServiceUtilization - load) - totalPressure;
    }

} // namespace

double ownLoad(const TailLatencyModel& model, const PacedService& service,
    const std::vector<TailLatencyModel::BackfillShare>& recentBackfill)
{
    const double usual = model.usualLoad(service.image);
    if (service.tailRatio < 0)
        return usual;
    const double seen = model.utilization(service.image, service.tailRatio);
    if (seen >= 1)
        return usual;
    return std::max(seen - model.pressure(recentBackfill, service.image), usual / 2);
}

std::vector<uint32_t> paceBackfill(
    const TailLatencyModel& model, const Colocation& colocation, Common::Duration overTargetFor)
{
    const std::vector<PacedRun>& runs = colocation.runs;
    std::vector<ServiceLimit> limits;
    limits.reserve(colocation.services.size());
    for (const PacedService& service : colocation.services)
        limits.push_back(limitOf(model, service, colocation));
    std::vector<double> paces(runs.size(), 1);
    for (size_t pass = 0; pass < passes; ++pass) {
        for (const ServiceLimit& limit : limits)
            limitPressure(limit, runs, paces);
    }
    std::vector<uint32_t> percents;
    for (size_t index = 0; index < runs.size(); ++index) {
        auto percent = static_cast<uint32_t>(paces[index] * fullPace);
        const bool overTarget = overTargetFor > Common::Duration::zero();
        percent = std::min(percent, runs[index].pace + (overTarget ? 0 : riseStep));
        const bool mayCauseOverload = std::any_of(limits.begin(), limits.end(),
            [&](const ServiceLimit& limit) { return limit.overTarget && limit.factors[index] > 0; });
        if (overTargetFor >= allPausedAfter || (mayCauseOverload && overTargetFor >= pausedAfter))
            percent = 0;
        else if (mayCauseOverload && overTargetFor >= halvedAfter)
            percent = std::min(percent, runs[index].pace / 2);
        percents.push_back(percent);
    }
    return percents;
}

std::vector<double> pacesForNewRuns(
    const TailLatencyModel& model, const Colocation& colocation, std::span<const std::string> images, double demand)
{
    std::vector<double> paces(images.size(), 1);
    for (const PacedService& service : colocation.services) {
        // Computed only for an image that disturbs the service; most don't.
        std::optional<double> spare;
        for (size_t index = 0; index < images.size(); ++index) {
            const double added = model.pressure(images[index], service.image) * demand;
            if (added > 0 && service.tailRatio > overTargetTailRatio) {
                paces[index] = 0;
            } else if (added > 0) {
                if (!spare)
                    spare = spareUtilization(model, service, colocation);
                paces[index] = std::min(paces[index], std::max(0.0, *spare / added));
            }
        }
    }
    return paces;
}

double paceForNewRun(
    const TailLatencyModel& model, const Colocation& colocation, const std::string& image, double demand)
{
    return pacesForNewRuns(model, colocation, { &image, 1 }, demand).front();
}

} // namespace Policy
