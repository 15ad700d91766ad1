// One entry of a worker stand-in's journal.
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
    /// A new highest sum of declared or used resources.
    Peak,
};

std::string_view journalEventName(JournalEvent);

struct JournalEntry {
    JournalEvent event = JournalEvent::Start;
    Common::TaskId task;
    Scheduler::TaskKind kind = Scheduler::TaskKind::Batch;
    Common::WorkerTime clock;
    /// Of the task, or for a peak of all running tasks.
    Common::Resources declared;
    Common::Resources used;
    /// Work done so far; at a start what was taken over from a checkpoint.
    int64_t doneMilliseconds = 0;
    /// Why a task stopped: "control" or "lease".
    std::string reason;
    /// The text that a request asked to have repeated, so that a test can tell whose work ran.
    std::optional<std::string> echo;
};

} // namespace StandIns
