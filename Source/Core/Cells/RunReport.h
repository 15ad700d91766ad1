// What a worker says about the runs on it.
#pragma once

#include "Common/Units.h"
#include "Jobs/TaskName.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cells {

struct RunningTask {
    Jobs::TaskName task;
    Common::AttemptNumber attempt;
    std::string checkpoint;
    /// Share of its work that is done; for a long-running task 100 means that it is at work.
    uint32_t percent = 0;
    /// Rough figure for the last half second: tail latency in milliseconds for a task that serves users, otherwise
    /// thousandths of a core in use. Negative: not reported.
    double load = -1;
};

enum class RunEnd {
    Done,
    Failed,
    Stopped,
    /// Its lease lapsed.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// It waited in vain for the other members of its gang.
    GangTimedOut,
};

struct EndedTask {
    /// Counts the ends of one life of the worker, from 1.
    uint64_t number = 0;
    Jobs::TaskName task;
    Common::AttemptNumber attempt;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

struct RunReport {
    Common::WorkerTime clock;
    /// See WorkerEntry::startedAtMilliseconds; 0: not told.
    int64_t startedAtMilliseconds = 0;
    std::vector<RunningTask> running;
    /// Oldest first; not all of them when there are very many.
    std::vector<EndedTask> ended;
    /// Rows that couldn't be read.
    uint32_t unreadable = 0;
};

} // namespace Cells
