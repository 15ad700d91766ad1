// How fast each backfill run on a worker may work. The load it answers: batch work that presses on the tail latency of
// the services beside it.
#pragma once

#include "Common/Units.h"
#include "Policy/Colocation.h"
#include "Policy/PacedService.h"
#include "Policy/TailLatencyModel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Policy {

/// Utilization up to which backfill may press a service: its tail is then at some 70 % of the target. The rest is for
/// the swings of its load until the next report.
constexpr double maximumServiceUtilization = 0.69;

/// A service whose tail latency is above this share of its target counts as over it: reports are rough and late.
constexpr double overTargetTailRatio = 0.95;
/// It counts so until its tail latency is below this share.
constexpr double backOnTargetTailRatio = 0.85;

/// Utilization by the task's own users, as far as the last report tells.
double ownLoad(
    const TailLatencyModel&, const PacedService&, const std::vector<TailLatencyModel::BackfillShare>& recentBackfill);

/// The paces, in percent, at which no service is pressed too far: runs that press a service more are slowed down more.
/// `overTargetFor`: how long some service on the worker has counted as over its target; when the model has it
/// wrong all runs are slowed down, and paused before the disturbance lasts.
std::vector<uint32_t> paceBackfill(const TailLatencyModel&, const Colocation&, Common::Duration overTargetFor);

/// The pace, 0 to 1, at which one more run would press no service too far.
double paceForNewRun(const TailLatencyModel&, const Colocation&, const std::string& image, double demand);

} // namespace Policy
