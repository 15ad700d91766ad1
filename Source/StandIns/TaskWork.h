// Describes what a task of a worker stand-in does: its run time, its real use and its interference with others.
#pragma once

#include "Common/Resources.h"

#include <cstdint>
#include <optional>
#include <string>

namespace StandIns {

struct TaskWork {
    /// Run time when nothing else runs on the worker.
    int64_t runMilliseconds = 50;
    /// The run time varies uniformly by up to this percentage in either direction.
    int64_t spreadPercent = 0;
    /// Real use; a missing value means the declared one.
    std::optional<int64_t> milliCores;
    std::optional<int64_t> memoryMegabytes;
    bool fails = false;
    /// Slows every other task on the worker: each 100 adds its run time alone once more.
    int64_t noise = 0;
    /// Share of the other tasks' noise that slows this task.
    int64_t sensitivityPercent = 100;
    /// Requests only: padding of the answer.
    int64_t answerBytes = 0;
    /// Text to repeat in the answer of a request and in the journal.
    std::optional<std::string> echo;

    /// Reads `{"runMs","spread","cpuMilli","memoryMb","fail","noise","sensitivity","answerBytes","echo"}`. Returns
    /// nothing when the text is not a JSON object or a field has the wrong type.
    static std::optional<TaskWork> parse(const std::string& text, int64_t defaultRunMilliseconds);
};

} // namespace StandIns
