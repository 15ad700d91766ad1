// A worker's report of its runs.
#pragma once

#include "Common/Resources.h"
#include "Common/Units.h"
#include "Jobs/TaskName.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cells {

struct RunningTask {
    Jobs::TaskName task;
    Common::AttemptNumber attempt;
    /// Last checkpoint that the run has saved; empty if it has none.
    std::string checkpoint;
    /// Share of the work that is done; 100 for a long-running task that has started up.
    uint32_t percent = 0;
    /// Approximate value for the last half second: tail latency in milliseconds for a task that serves users, otherwise
    /// thousandths of a core in use. Negative: not reported.
    double load = -1;
};

enum class RunEnd {
    Done,
    Failed,
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// The other members of its gang didn't start in time.
    GangTimedOut,
};

struct EndedTask {
    /// Sequence number of the end, from 1 after each boot of the worker.
    uint64_t number = 0;
    Jobs::TaskName task;
    Common::AttemptNumber attempt;
    RunEnd end = RunEnd::Stopped;
    /// Last checkpoint that the run has saved; empty if it has none.
    std::string checkpoint;
};

struct RunReport {
    /// The worker's clock when it answered.
    Common::WorkerTime clock;
    /// See WorkerEntry::startedAtMilliseconds; 0: unknown.
    int64_t startedAtMilliseconds = 0;
    /// The worker's present capacity; empty if it doesn't say.
    std::optional<Common::Resources> capacity;
    std::vector<RunningTask> running;
    /// Ends that aren't acknowledged, oldest first. A very long list is truncated.
    std::vector<EndedTask> ended;
    /// Number of rows of the answer that couldn't be parsed.
    uint32_t unreadable = 0;
};

} // namespace Cells
