// Decides the pace of each backfill run on a worker, so that batch work doesn't raise the tail latency of the services
// beside it above their targets.
#pragma once

#include "Common/Units.h"
#include "Policy/Colocation.h"
#include "Policy/PacedService.h"
#include "Policy/TailLatencyModel.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Policy {

/// Utilization up to which backfill may load a service: its tail latency is then at about 70 % of the target. The rest
/// covers load swings until the next report.
constexpr double maximumServiceUtilization = 0.69;

/// A service counts as over its target when its tail latency is above this share of it. The margin is there because
/// reports are rough and late.
constexpr double overTargetTailRatio = 0.95;
/// It counts as over its target until its tail latency is below this share.
constexpr double backOnTargetTailRatio = 0.85;

/// Utilization by the service's own users, derived from its last report; the usual load when there is no usable report.
double ownLoad(
    const TailLatencyModel&, const PacedService&, const std::vector<TailLatencyModel::BackfillShare>& recentBackfill);

/// The pace of each run, in percent, that keeps every service within `maximumServiceUtilization`. Runs that put more
/// pressure on a service are slowed down first. `overTargetFor`: how long some service on the worker has counted as
/// over its target, zero when none does. The longer this lasts, the more runs are slowed down or paused, in the end
/// also those that the model takes for harmless, because the model may be wrong.
std::vector<uint32_t> paceBackfill(const TailLatencyModel&, const Colocation&, Common::Duration overTargetFor);

/// The pace, 0 to 1, at which one more run would keep every service within its limit. `demand` is the share of the
/// worker's processor that it could use, 0 to 1.
double paceForNewRun(const TailLatencyModel&, const Colocation&, const std::string& image, double demand);
/// The same for one new run of each image alone.
std::vector<double> pacesForNewRuns(
    const TailLatencyModel&, const Colocation&, std::span<const std::string> images, double demand);

} // namespace Policy
