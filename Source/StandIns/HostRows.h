// Rows of the platform's host list as JSON.
#pragma once

#include "Scheduler/HostEntry.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace StandIns {

/// Throws nlohmann::json::exception on rows of another shape. `state` may be missing: live.
std::vector<Scheduler::HostEntry> readHostRows(const nlohmann::json& rows);
nlohmann::json writeHostRows(const std::vector<Scheduler::HostEntry>&);

} // namespace StandIns
