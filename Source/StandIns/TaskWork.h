// What a stand-in's task does: how long it runs alone, what it really uses, how it disturbs others.
#pragma once

#include "Common/Resources.h"

#include <cstdint>
#include <optional>
#include <string>

namespace StandIns {

struct TaskWork {
    /// Run time when nothing else runs.
    int64_t runMilliseconds = 50;
    /// The run time is varied evenly by up to this much either way.
    int64_t spreadPercent = 0;
    /// Real use; what is missing is used as declared.
    std::optional<int64_t> milliCores;
    std::optional<int64_t> memoryMegabytes;
    bool fails = false;
    /// Slows every other task: each 100 adds one more run time to theirs.
    int64_t noise = 0;
    /// How much of others' noise is felt.
    int64_t sensitivityPercent = 100;
    /// Requests only: size of the answer and text to repeat in it.
    int64_t answerBytes = 0;
    std::optional<std::string> echo;

    /// Reads `{"runMs","spread","cpuMilli","memoryMb","fail","noise","sensitivity","answerBytes","echo"}`; nothing when
    /// the text is not a JSON object.
    static std::optional<TaskWork> parse(const std::string& text, int64_t defaultRunMilliseconds);
};

} // namespace StandIns
