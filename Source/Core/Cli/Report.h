// Prints failures and JSON for all commands, and reads members of answers that may be missing.
#pragma once

#include "Cli/ExitCode.h"
#include "Common/Failure.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Cli {

struct Session;

/// Prints a failure: a line to the error stream, or with --json {"error": ...} to the output.
void reportFailure(Session&, const Common::Failure&);
/// Prints a failure of a call that changes something, and returns its exit code.
ExitCode failedCall(Session&, const Common::Failure&);
/// The same for a call that only reads.
ExitCode failedRead(Session&, const Common::Failure&);
/// Prints the message to the error stream, and returns ExitCode::Usage.
ExitCode usageFailure(Session&, const std::string& message);
/// Prints indented JSON to the output.
void printJson(Session&, const nlohmann::json&);

/// A member as text: texts as they are, numbers and booleans printed; empty for everything else and if it is missing.
std::string textMember(const nlohmann::json& object, const std::string& name);
/// False if the member is missing.
bool boolMember(const nlohmann::json& object, const std::string& name);
/// A member that is a list, or an empty list.
nlohmann::json listMember(const nlohmann::json& object, const std::string& name);
/// A member with resources as text: "2 slots, 500 mCPU, 256 MB". Empty if it is missing.
std::string resourcesText(const nlohmann::json& object, const std::string& name);

} // namespace Cli
