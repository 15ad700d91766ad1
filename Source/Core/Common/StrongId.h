// String ids with a distinct type per kind of object, so that the compiler rejects mix-ups.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Common {

/// An opaque id, compared by its text. An empty id means "none".
template <typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }
    auto operator<=>(const StrongId&) const = default;

private:
    std::string m_value;
};

} // namespace Common

template <typename Tag> struct std::hash<Common::StrongId<Tag>> {
    size_t operator()(const Common::StrongId<Tag>& id) const noexcept { return std::hash<std::string>()(id.value()); }
};
