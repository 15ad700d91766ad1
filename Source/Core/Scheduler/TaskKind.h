// What a task is for.
#pragma once

namespace Scheduler {

enum class TaskKind {
    /// Answers one latency-critical request.
    Request,
    /// One attempt at a batch job.
    Batch,
};

} // namespace Scheduler
