// Encodes and decodes the JSON messages of the worker protocol; see docs/PROTOCOLS.md.
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
/// The name of an action in messages.
std::string_view controlName(Scheduler::TaskControl);
/// Fails with ProtocolError if a required member is missing or has the wrong type: a partial report is not used.
Common::Result<Scheduler::WorkerReport> decodeReport(const std::string& text);

} // namespace Worker
