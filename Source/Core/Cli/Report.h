// How commands tell people of failures, and how they read members of answers that may be missing.
#pragma once

#include "Cli/ExitCode.h"
#include "Common/Failure.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Cli {

struct Session;

/// Prints a failure: a line, or {"error": ...} with --json.
void reportFailure(Session&, const Common::Failure&);
/// Prints a failure of a call that changes something, and yields its exit code.
ExitCode failedCall(Session&, const Common::Failure&);
/// The same for a call that only reads.
ExitCode failedRead(Session&, const Common::Failure&);
ExitCode usageFailure(Session&, const std::string& message);
/// JSON in lines that people can read too.
void printJson(Session&, const nlohmann::json&);

/// A member as text: texts as they are, numbers and booleans printed, everything else empty.
std::string textMember(const nlohmann::json& object, const std::string& name);
bool boolMember(const nlohmann::json& object, const std::string& name);
/// A member that is a list, or an empty list.
nlohmann::json listMember(const nlohmann::json& object, const std::string& name);
/// "2 slots, 500 mCPU, 256 MB"
std::string resourcesText(const nlohmann::json& object, const std::string& name);

} // namespace Cli
