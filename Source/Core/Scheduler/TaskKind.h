// The kinds of tasks that a worker runs.
#pragma once

namespace Scheduler {

enum class TaskKind {
    /// Runs one latency-critical request.
    Request,
    /// Runs one attempt at a batch job.
    Batch,
};

} // namespace Scheduler
