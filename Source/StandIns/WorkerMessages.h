// Converts the JSON messages between daemons and workers, on the worker's side.
#pragma once

#include "Common/Resources.h"
#include "Scheduler/StartCommand.h"
#include "Scheduler/SyncRequest.h"
#include "Scheduler/TaskControl.h"
#include "Scheduler/WorkerReport.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>

/// Readers throw nlohmann::json::exception on a malformed body.
namespace StandIns {

nlohmann::json writeResources(const Common::Resources&);
/// Missing members are zero.
Common::Resources readResources(const nlohmann::json&);
Scheduler::SyncRequest readSync(const nlohmann::json&);
nlohmann::json writeReport(const Scheduler::WorkerReport&);
Scheduler::StartCommand readStart(const nlohmann::json&);
std::optional<Scheduler::TaskControl> taskControlFromName(std::string_view);
std::string_view taskKindName(Scheduler::TaskKind);

} // namespace StandIns
