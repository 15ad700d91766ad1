// Merges the timelines of several processes.
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
    /// Older events that the process no longer keeps.
    uint64_t dropped = 0;
    std::vector<Common::Event> events;
};

/// ProtocolError if a required member is missing. The name of an unknown kind of event is put before the event's note.
Common::Result<ProcessTimeline> timelineFromJson(const nlohmann::json&);
nlohmann::json toJson(const Common::Event&);
/// Each event once, ordered by hybrid time, then by process.
std::vector<Common::Event> mergeTimelines(const std::vector<ProcessTimeline>&);
/// A table with one row for each event.
std::string renderEvents(const std::vector<Common::Event>&);
/// "2026-12-04 03:07:34.123", in UTC.
std::string renderTime(int64_t wallMilliseconds);

} // namespace Cli
