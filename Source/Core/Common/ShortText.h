// Short, printable forms of texts from outside, for logs and error messages.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Common {

/// The beginning of the text, at most `maximumBytes` long and "..." if something is missing. Bytes that are not
/// printable ASCII become "?", so that the result can't end a log line.
std::string shortText(std::string_view, size_t maximumBytes = 80);

} // namespace Common
