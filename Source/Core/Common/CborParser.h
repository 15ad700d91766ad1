// Parses CBOR (RFC 8949) from outside the process with a bounded depth.
#pragma once

#include "Common/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace Common {

/// Whether `bytes` is one CBOR item without tags or items of indefinite length, and nested at most maximumJsonDepth
/// levels deep. Other processes of this product send nothing else.
bool isPlainCbor(std::string_view bytes);
/// Throws JsonFault if `bytes` isn't plain CBOR, see isPlainCbor(). The message doesn't repeat the bytes.
nlohmann::json parseCborOrThrow(std::string_view bytes);

} // namespace Common
