// Which worker gets a task. The load it answers: wide steps beside long-running services on nearly full workers.
#pragma once

#include "Common/Resources.h"
#include "Policy/WorkerOffer.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

struct TaskRequirements {
    /// For backfill the processor time is what the task would like to have.
    Common::Resources request;
    bool backfill = false;
    /// It serves users under a latency target.
    bool serves = false;
    /// 0: no limit.
    uint32_t maximumPerWorker = 0;
};

/// Whether the task may run there at all.
bool admissible(const TaskRequirements&, const WorkerOffer&);
/// The index of the best admissible offer.
std::optional<size_t> chooseWorker(const TaskRequirements&, const std::vector<WorkerOffer>&);

} // namespace Policy
