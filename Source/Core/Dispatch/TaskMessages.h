// Messages between daemons about tasks, as JSON.
#pragma once

#include "Common/Failure.h"
#include "Scheduler/Reservation.h"
#include "Scheduler/TaskSpec.h"
#include "Scheduler/WorkerView.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace Dispatch {

nlohmann::json toJson(const Scheduler::TaskSpec&);
nlohmann::json toJson(const Scheduler::Reservation&);
nlohmann::json toJson(const Scheduler::WorkerView&);

/// Nothing when a member is missing or of the wrong kind.
std::optional<Scheduler::TaskSpec> specFromJson(const nlohmann::json&);
std::optional<Scheduler::Reservation> reservationFromJson(const nlohmann::json&);
std::optional<Scheduler::WorkerView> viewFromJson(const nlohmann::json&);

} // namespace Dispatch
