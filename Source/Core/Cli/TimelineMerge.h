// Merges the time lines of several processes.
#pragma once

#include "Common/Event.h"
#include "Common/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Cli {

/// One process's answer to /v1/timeline.
struct ProcessTimeline {
    std::string process;
    uint64_t dropped = 0;
    std::vector<Common::Event> events;
};

Common::Result<ProcessTimeline> timelineFromJson(const nlohmann::json&);
nlohmann::json toJson(const Common::Event&);
/// All events once, by hybrid time, then process.
std::vector<Common::Event> mergeTimelines(const std::vector<ProcessTimeline>&);
std::string renderEvents(const std::vector<Common::Event>&);
/// "2026-12-04 03:07:34.123", in UTC.
std::string renderTime(int64_t wallMilliseconds);

} // namespace Cli
