// The question of a cell's owner whether another cell has or makes room for one of its long-running tasks.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Jobs/StepSpec.h"
#include "Jobs/TaskName.h"
#include "Policy/RoomOffer.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace Cells {

struct RoomQuestion {
    Jobs::TaskName task;
    Common::ServiceName service;
    /// 0 comes first.
    uint32_t priority = 0;
    /// Sent are the resources, the label, the limit of tasks on a worker and, as the number of tasks, how many wait.
    Jobs::StepSpec spec;
};

nlohmann::json roomQuestionToJson(const RoomQuestion&);
/// Fails with MalformedRequest if the JSON isn't a question.
Common::Result<RoomQuestion> roomQuestionFromJson(const nlohmann::json&);
nlohmann::json roomOfferToJson(const Policy::RoomOffer&);
/// Fails with MalformedRequest if the JSON isn't an offer.
Common::Result<Policy::RoomOffer> roomOfferFromJson(const nlohmann::json&);

} // namespace Cells
