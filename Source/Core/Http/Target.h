// The target of a request: path and query, decoded.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Http {

struct Target {
    std::string path;
    std::map<std::string, std::string> query;

    std::optional<std::string> parameter(const std::string& name) const;
    /// The parameter as a whole number; nothing when it is missing or is not one.
    std::optional<int64_t> number(const std::string& name) const;
    /// What follows `prefix` in the path; nothing when the path doesn't start with it.
    std::optional<std::string> after(std::string_view prefix) const;
};

Target parseTarget(std::string_view target);
/// Encodes everything but unreserved characters and slashes.
std::string percentEncode(std::string_view text);

} // namespace Http
