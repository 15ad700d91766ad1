// Parses and encodes request targets: path and query.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Http {

/// Path and query, percent-decoded.
struct Target {
    std::string path;
    std::map<std::string, std::string> query;

    /// The parameter's value; empty if it is missing.
    std::optional<std::string> parameter(const std::string& name) const;
    /// The parameter as a whole number; empty if it is missing or not a number.
    std::optional<int64_t> number(const std::string& name) const;
    /// The part of the path after `prefix`; empty if the path doesn't start with it.
    std::optional<std::string> after(std::string_view prefix) const;
};

Target parseTarget(std::string_view target);
/// Percent-encodes every byte except unreserved characters and slashes.
std::string percentEncode(std::string_view text);

} // namespace Http
