// Divides the utilization that the services on a worker have to spare among its backfill runs.
#include "Policy/BackfillPace.h"

#include <algorithm>
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

    /// Slows down the runs with the highest pressure on the service until the total is within the allowed pressure.
    void limitPressure(const TailLatencyModel& model, const PacedService& service, double allowedPressure,
        const std::vector<PacedRun>& runs, std::vector<double>& paces)
    {
        std::vector<std::pair<double, size_t>> byFactor;
        double totalPressure = 0;
        for (size_t index = 0; index < runs.size(); ++index) {
            const double factor = model.pressure(runs[index].image, service.image);
            totalPressure += factor * runs[index].demand * paces[index];
            byFactor.emplace_back(factor, index);
        }
        std::sort(byFactor.rbegin(), byFactor.rend());
        for (const auto& [factor, index] : byFactor) {
            const double own = factor * runs[index].demand * paces[index];
            if (totalPressure <= allowedPressure || own <= 0)
                return;
            const double kept = std::max(0.0, own - (totalPressure - allowedPressure));
            paces[index] *= kept / own;
            totalPressure -= own - kept;
        }
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
    const auto& [services, runs, recentBackfill] = colocation;
    std::vector<double> paces(runs.size(), 1);
    for (size_t pass = 0; pass < passes; ++pass) {
        for (const PacedService& service : services)
            limitPressure(model, service,
                maximumServiceUtilization - loadMargin - ownLoad(model, service, recentBackfill), runs, paces);
    }
    std::vector<uint32_t> percents;
    for (size_t index = 0; index < runs.size(); ++index) {
        auto percent = static_cast<uint32_t>(paces[index] * fullPace);
        const bool overTarget = overTargetFor > Common::Duration::zero();
        percent = std::min(percent, runs[index].pace + (overTarget ? 0 : riseStep));
        const std::string& image = runs[index].image;
        const bool mayCauseOverload
            = std::any_of(colocation.services.begin(), colocation.services.end(), [&](const PacedService& service) {
                  return service.tailRatio > overTargetTailRatio && model.pressure(image, service.image) > 0;
              });
        if (overTargetFor >= allPausedAfter || (mayCauseOverload && overTargetFor >= pausedAfter))
            percent = 0;
        else if (mayCauseOverload && overTargetFor >= halvedAfter)
            percent = std::min(percent, runs[index].pace / 2);
        percents.push_back(percent);
    }
    return percents;
}

double paceForNewRun(
    const TailLatencyModel& model, const Colocation& colocation, const std::string& image, double demand)
{
    double pace = 1;
    for (const PacedService& service : colocation.services) {
        double totalPressure = 0;
        for (const PacedRun& run : colocation.runs)
            totalPressure += model.pressure(run.image, service.image) * run.demand * run.pace / fullPace;
        const double load
            = std::max(ownLoad(model, service, colocation.recentBackfill), model.usualLoad(service.image));
        const double allowedPressure = newRunShare * (maximumServiceUtilization - load) - totalPressure;
        const double added = model.pressure(image, service.image) * demand;
        if (added > 0 && service.tailRatio > overTargetTailRatio)
            return 0;
        if (added > 0)
            pace = std::min(pace, std::max(0.0, allowedPressure / added));
    }
    return pace;
}

} // namespace Policy
