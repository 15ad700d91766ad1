// JSON form of the messages about batch tasks that daemons exchange.
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

/// Empty if a member is missing or of the wrong type.
std::optional<Scheduler::TaskSpec> specFromJson(const nlohmann::json&);
std::optional<Scheduler::Reservation> reservationFromJson(const nlohmann::json&);
std::optional<Scheduler::WorkerView> viewFromJson(const nlohmann::json&);

} // namespace Dispatch
