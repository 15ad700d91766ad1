// Sets and looks up header fields.
#include "Http/Headers.h"

#include <algorithm>

namespace Http {

namespace {

    char lowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

    bool sameName(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
            [](char a, char b) { return lowerCase(a) == lowerCase(b); });
    }

} // namespace

void Headers::set(std::string name, std::string value)
{
    const auto field
        = std::find_if(m_fields.begin(), m_fields.end(), [&](const auto& f) { return sameName(f.first, name); });
    if (field != m_fields.end()) {
        field->second = std::move(value);
        return;
    }
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string> Headers::get(std::string_view name) const
{
    const auto field
        = std::find_if(m_fields.begin(), m_fields.end(), [&](const auto& f) { return sameName(f.first, name); });
    if (field == m_fields.end())
        return std::nullopt;
    return field->second;
}

} // namespace Http
