// Chooses the worker for a task of a cell: tasks of wide steps run beside long-running services on nearly full workers.
#pragma once

#include "Common/Resources.h"
#include "Policy/BackfillAdmission.h"
#include "Policy/StartObstacle.h"
#include "Policy/WorkerOffer.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

struct TaskRequirements {
    /// Declared need; for backfill the processor time is what the task could use and isn't reserved.
    Common::Resources resources;
    bool backfill = false;
    /// Of a backfill task.
    BackfillAdmission admission = admitBackfill({});
    /// It serves users under a latency target.
    bool serves = false;
    /// 0: no limit.
    uint32_t maximumPerWorker = 0;
};

/// What keeps the task off the worker; nothing if it may start there. Of several obstacles the one that is listed first
/// in StartObstacle counts.
std::optional<StartObstacle> obstacleToStart(const TaskRequirements&, const WorkerOffer&);
/// Whether the task may start on the worker.
bool isAdmissible(const TaskRequirements&, const WorkerOffer&);
/// The index of the best admissible offer; nothing when none is admissible.
std::optional<size_t> chooseWorker(const TaskRequirements&, const std::vector<WorkerOffer>&);

} // namespace Policy
