// JSON form of a poll that one host carries out for another, and of the worker's report.
#pragma once

#include "Cells/PollForHost.h"
#include "Cells/RunReport.h"
#include "Common/Result.h"

#include <nlohmann/json_fwd.hpp>

namespace Cells {

nlohmann::json pollForHostToJson(const PollForHost&);
/// Fails with MalformedRequest.
Common::Result<PollForHost> pollForHostFromJson(const nlohmann::json&);

nlohmann::json runReportToJson(const RunReport&);
/// Fails with ProtocolError: a row that was left out would make its run seem to be gone.
Common::Result<RunReport> runReportFromJson(const nlohmann::json&);

} // namespace Cells
