// Parses JSON from outside the process with a bounded depth.
#pragma once

#include "Common/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace Common {

/// Far deeper than any message of the daemons or the platform. The library copies, compares and prints a value
/// recursively, so that a deeper one can exhaust the stack.
inline constexpr size_t maximumJsonDepth = 64;

/// Whether the text opens more than maximumJsonDepth lists and objects inside each other; exact for valid JSON.
bool isJsonTooDeep(std::string_view text);
/// ProtocolError if the text is not JSON, holds a number that no double can hold, or is nested too deeply. The detail
/// doesn't repeat the text.
Result<nlohmann::json> parseJson(std::string_view text);
/// Like parseJson(), but throws JsonFault.
nlohmann::json parseJsonOrThrow(std::string_view text);

} // namespace Common
