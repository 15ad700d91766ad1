// A worker's messages as JSON; see docs/PROTOCOLS.md.
#pragma once

#include "Common/Resources.h"
#include "Common/Result.h"
#include "Scheduler/StartCommand.h"
#include "Scheduler/SyncRequest.h"
#include "Scheduler/TaskControl.h"
#include "Scheduler/WorkerReport.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Worker {

nlohmann::json toJson(const Common::Resources&);
std::string encodeSync(const Scheduler::SyncRequest&);
std::string encodeStart(const Scheduler::StartCommand&);
std::string encodeControl(Scheduler::TaskControl, const std::vector<Common::TaskId>&);
std::string_view controlName(Scheduler::TaskControl);
/// ProtocolError when a member is missing or of the wrong kind: half a report is none.
Common::Result<Scheduler::WorkerReport> decodeReport(const std::string& text);

} // namespace Worker
