// Header fields of an HTTP message.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Http {

/// Names are compared without regard to case. Setting a field again replaces its value.
class Headers {
public:
    void set(std::string name, std::string value);
    std::optional<std::string> get(std::string_view name) const;
    const std::vector<std::pair<std::string, std::string>>& all() const { return m_fields; }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

} // namespace Http
