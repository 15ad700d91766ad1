// The flags of one invocation, typed.
#pragma once

#include "Common/Units.h"

#include <optional>
#include <string>
#include <vector>

namespace Cli {

/// Empty texts, zeros and empty lists stand for flags that were not given.
struct Options {
    std::vector<std::string> daemons;
    bool json = false;
    std::optional<Common::Duration> timeout;
    std::string base;
    std::string changeId;
    std::string author;
    std::string diff;
    int64_t limit = 0;
    std::string id;
    std::string body;
    std::string file;
    std::string contentType;
    int64_t deadlineMilliseconds = 0;
    std::string idempotent;
    std::string team;
    std::string profile;
    std::string state;
    std::string command;
    int64_t slots = 0;
    int64_t milliCores = 0;
    int64_t memoryMegabytes = 0;
    int64_t accelerators = 0;
    bool wait = false;
    std::vector<std::string> hosts;
    std::string request;
    std::string job;
    std::string worker;
    int64_t revision = 0;
};

} // namespace Cli
