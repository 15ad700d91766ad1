// Typed access to JSON from outside the process. Every number is checked against the bounds that the caller gives.
#pragma once

#include "Common/Units.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

/// Larger counters and versions can't be held exactly by programs that read JSON numbers as doubles.
inline constexpr int64_t maximumJsonInteger = int64_t { 1 } << 53;
/// Bytes of a name, label or address.
inline constexpr size_t maximumNameBytes = 256;

/// A view of a JSON value and its name in error messages; the value, its parents and the name outlive the view.
/// Every function throws JsonFault if the value is missing or doesn't have the expected type or range. Nothing is
/// copied but the value that is asked for.
class JsonField {
public:
    explicit JsonField(const nlohmann::json& value, std::string_view name = "the value");

    /// The member of an object, which may be missing.
    JsonField operator[](const char* member) const;
    /// The element of a list, which may be missing.
    JsonField element(size_t index) const;

    bool exists() const { return m_value != nullptr; }
    bool isObject() const;
    /// This field, or `fallback` if it is missing.
    JsonField otherwise(const nlohmann::json& fallback) const;

    bool flag() const;
    /// A whole number.
    int64_t integer(int64_t least, int64_t most) const;
    /// A number of which only the whole part counts.
    int64_t amount(int64_t least, int64_t most) const;
    /// The bound that is nearer if the number is out of bounds.
    int64_t clampedAmount(int64_t least, int64_t most) const;
    double number(double least, double most) const;
    /// A whole number from 0 to `most`.
    uint32_t count(uint32_t most = UINT32_MAX) const;
    /// A time span from 0 to `most`, given in milliseconds.
    Duration milliseconds(Duration most) const;
    /// A string of any length.
    std::string text() const;
    /// A string of 1 to maximumNameBytes bytes.
    std::string name() const;
    std::vector<std::string> names(size_t most) const;
    /// "host:port" with a port from 1 to 65535.
    std::string address() const;
    /// The value, which is a list.
    const nlohmann::json& list() const;
    /// Like list(); an empty list if the value is missing.
    const nlohmann::json& listOrEmpty() const;
    /// The value, which is an object.
    const nlohmann::json& object() const;

private:
    JsonField(const nlohmann::json* value, std::string_view name);

    [[noreturn]] void fail(const std::string& expected) const;
    const nlohmann::json& existing() const;
    /// A number that is finite.
    double finite() const;

    /// Null: the value is missing.
    const nlohmann::json* m_value;
    std::string_view m_name;
};

} // namespace Common
