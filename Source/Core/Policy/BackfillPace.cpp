// Shares out what the services on a worker can bear.
#include "Policy/BackfillPace.h"

#include <algorithm>
#include <utility>

namespace Policy {

namespace {

    constexpr double fullPace = 100;
    /// Loads swing within seconds; the next report may be half a second away.
    constexpr double loadMargin = 0.04;
    /// Of what a service can bear, new runs are given this share, so that the swings don't hit them at once.
    constexpr double newRunShare = 0.85;
    /// Paces rise at most by this much a report.
    constexpr uint32_t riseStep = 30;
    /// When a service stays over its target, runs that may press it are halved, then paused: an impact must not last
    /// four seconds.
    constexpr Common::Duration halvedAfter = std::chrono::milliseconds(400);
    constexpr Common::Duration pausedAfter = std::chrono::milliseconds(1100);
    /// Also runs that the model takes for harmless.
    constexpr Common::Duration allPausedAfter = std::chrono::milliseconds(1700);
    constexpr size_t passes = 2;

    /// Slows the runs down that press the service most until it bears the rest.
    void relieve(const TailLatencyModel& model, const PacedService& service, double bearable,
        const std::vector<PacedRun>& runs, std::vector<double>& paces)
    {
        std::vector<std::pair<double, size_t>> byFactor;
        double pressed = 0;
        for (size_t index = 0; index < runs.size(); ++index) {
            const double factor = model.pressure(runs[index].image, service.image);
            pressed += factor * runs[index].demand * paces[index];
            byFactor.emplace_back(factor, index);
        }
        std::sort(byFactor.rbegin(), byFactor.rend());
        for (const auto& [factor, index] : byFactor) {
            const double own = factor * runs[index].demand * paces[index];
            if (pressed <= bearable || own <= 0)
                return;
            const double kept = std::max(0.0, own - (pressed - bearable));
            paces[index] *= kept / own;
            pressed -= own - kept;
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
            relieve(model, service, maximumServiceUtilization - loadMargin - ownLoad(model, service, recentBackfill),
                runs, paces);
    }
    std::vector<uint32_t> percents;
    for (size_t index = 0; index < runs.size(); ++index) {
        auto percent = static_cast<uint32_t>(paces[index] * fullPace);
        const bool crowded = overTargetFor > Common::Duration::zero();
        percent = std::min(percent, runs[index].pace + (crowded ? 0 : riseStep));
        const std::string& image = runs[index].image;
        const bool suspect
            = std::any_of(colocation.services.begin(), colocation.services.end(), [&](const PacedService& service) {
                  return service.tailRatio > overTargetTailRatio && model.pressure(image, service.image) > 0;
              });
        if (overTargetFor >= allPausedAfter || (suspect && overTargetFor >= pausedAfter))
            percent = 0;
        else if (suspect && overTargetFor >= halvedAfter)
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
        double pressed = 0;
        for (const PacedRun& run : colocation.runs)
            pressed += model.pressure(run.image, service.image) * run.demand * run.pace / fullPace;
        const double load
            = std::max(ownLoad(model, service, colocation.recentBackfill), model.usualLoad(service.image));
        const double bearable = newRunShare * (maximumServiceUtilization - load) - pressed;
        const double added = model.pressure(image, service.image) * demand;
        if (added > 0 && service.tailRatio > overTargetTailRatio)
            return 0;
        if (added > 0)
            pace = std::min(pace, std::max(0.0, bearable / added));
    }
    return pace;
}

} // namespace Policy
