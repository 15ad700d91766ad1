// Converts rows of the platform's host list from and to JSON, for the store stand-in.
#pragma once

#include "Scheduler/HostEntry.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace StandIns {

/// Throws nlohmann::json::exception on malformed rows. A row without `state` is live.
std::vector<Scheduler::HostEntry> readHostRows(const nlohmann::json& rows);
nlohmann::json writeHostRows(const std::vector<Scheduler::HostEntry>&);

} // namespace StandIns
