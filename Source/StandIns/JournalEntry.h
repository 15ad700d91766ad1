// One entry of a worker stand-in's journal, from which tests check what really ran.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Scheduler/TaskKind.h"

#include <optional>
#include <string>
#include <string_view>

namespace StandIns {

enum class JournalEvent {
    Start,
    Stop,
    Finish,
    Fail,
    /// The sum of declared or used resources reached a new maximum.
    Peak,
};

std::string_view journalEventName(JournalEvent);

struct JournalEntry {
    JournalEvent event = JournalEvent::Start;
    Common::TaskId task;
    Scheduler::TaskKind kind = Scheduler::TaskKind::Batch;
    Common::WorkerTime clock;
    /// Resources of the task; for a peak, the sum over all running tasks.
    Common::Resources declared;
    Common::Resources used;
    /// Work done so far; at a start, the work restored from a checkpoint.
    int64_t doneMilliseconds = 0;
    /// Why a task stopped: "control" (ordered) or "lease" (expired).
    std::string reason;
    /// Text of the task's `echo` field, so that a test can tell which work ran.
    std::optional<std::string> echo;
};

} // namespace StandIns
