// Checks of types and bounds.
#include "Common/JsonField.h"

#include "Common/JsonFault.h"
#include "Common/ShortText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Common {

namespace {

    using Json = nlohmann::json;

    constexpr size_t printedBytes = 40;

    /// Never prints the contents of a list or object.
    std::string describe(const Json& value)
    {
        if (value.is_string())
            return '"' + shortText(value.get_ref<const std::string&>(), printedBytes) + '"';
        if (value.is_structured())
            return std::string(value.is_array() ? "a list" : "an object") + " of " + std::to_string(value.size());
        return value.dump();
    }

    std::string range(int64_t least, int64_t most)
    {
        return "from " + std::to_string(least) + " to " + std::to_string(most);
    }

    bool isPort(std::string_view text)
    {
        uint16_t port = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        return error == std::errc() && end == text.data() + text.size() && port > 0;
    }

    /// The whole part of a number, and whether it was within the bounds before it was clamped.
    struct Bounded {
        int64_t value = 0;
        bool within = false;
    };

    Bounded bounded(const Json& value, int64_t least, int64_t most)
    {
        if (value.is_number_unsigned()) {
            const auto number = value.get<uint64_t>();
            const bool fits = number <= static_cast<uint64_t>(INT64_MAX);
            const int64_t clamped = fits ? std::clamp(static_cast<int64_t>(number), least, most) : most;
            return { clamped, fits && static_cast<int64_t>(number) == clamped };
        }
        if (value.is_number_integer()) {
            const auto number = value.get<int64_t>();
            const int64_t clamped = std::clamp(number, least, most);
            return { clamped, number == clamped };
        }
        // Every double from -2^63 to below 2^63 has a whole part that fits.
        constexpr double beyond = 9223372036854775808.0;
        const auto number = value.get<double>();
        if (number >= beyond)
            return { most, false };
        if (number < -beyond)
            return { least, false };
        const int64_t clamped = std::clamp(static_cast<int64_t>(number), least, most);
        return { clamped, static_cast<int64_t>(number) == clamped && number >= static_cast<double>(least) };
    }

} // namespace

JsonField::JsonField(const Json& value, std::string_view name)
    : JsonField(&value, name)
{
}

JsonField::JsonField(const Json* value, std::string_view name)
    : m_value(value)
    , m_name(name)
{
}

void JsonField::fail(const std::string& expected) const
{
    const std::string found = m_value ? describe(*m_value) : "missing";
    throw JsonFault(shortText(m_name, printedBytes) + " is " + found + ", expected " + expected);
}

const Json& JsonField::existing() const
{
    if (!m_value)
        fail("a value");
    return *m_value;
}

JsonField JsonField::operator[](const char* member) const
{
    const Json& parent = object();
    const auto found = parent.find(member);
    return { found == parent.end() ? nullptr : &*found, member };
}

JsonField JsonField::element(size_t index) const
{
    const Json& parent = list();
    return { index < parent.size() ? &parent[index] : nullptr, "an element" };
}

JsonField JsonField::otherwise(const Json& fallback) const { return { m_value ? m_value : &fallback, m_name }; }

bool JsonField::isObject() const { return m_value && m_value->is_object(); }

bool JsonField::flag() const
{
    if (!existing().is_boolean())
        fail("true or false");
    return m_value->get<bool>();
}

double JsonField::finite() const
{
    if (!existing().is_number() || !std::isfinite(m_value->get<double>()))
        fail("a number");
    return m_value->get<double>();
}

int64_t JsonField::integer(int64_t least, int64_t most) const
{
    const double number = finite();
    const Bounded found = bounded(*m_value, least, most);
    if (!found.within || (m_value->is_number_float() && number != std::trunc(number)))
        fail("a whole number " + range(least, most));
    return found.value;
}

int64_t JsonField::amount(int64_t least, int64_t most) const
{
    finite();
    const Bounded found = bounded(*m_value, least, most);
    if (!found.within)
        fail("a number " + range(least, most));
    return found.value;
}

int64_t JsonField::clampedAmount(int64_t least, int64_t most) const
{
    finite();
    return bounded(*m_value, least, most).value;
}

double JsonField::number(double least, double most) const
{
    const double number = finite();
    if (!(number >= least && number <= most))
        fail("a number from " + std::to_string(least) + " to " + std::to_string(most));
    return number;
}

uint32_t JsonField::count(uint32_t most) const { return static_cast<uint32_t>(integer(0, most)); }

Duration JsonField::milliseconds(Duration most) const
{
    return std::chrono::milliseconds(amount(0, std::chrono::floor<std::chrono::milliseconds>(most).count()));
}

std::string JsonField::text() const
{
    if (!existing().is_string())
        fail("a text");
    return m_value->get<std::string>();
}

std::string JsonField::name() const
{
    if (!existing().is_string())
        fail("a name");
    const auto& name = m_value->get_ref<const std::string&>();
    if (name.empty() || name.size() > maximumNameBytes)
        fail("a name of " + range(1, maximumNameBytes) + " bytes");
    return name;
}

std::vector<std::string> JsonField::names(size_t most) const
{
    if (list().size() > most)
        fail("a list of at most " + std::to_string(most));
    std::vector<std::string> names;
    names.reserve(m_value->size());
    for (const Json& element : *m_value)
        names.push_back(JsonField(element, m_name).name());
    return names;
}

std::string JsonField::address() const
{
    std::string address = name();
    const size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0 || !isPort(std::string_view(address).substr(colon + 1)))
        fail("an address with a port from 1 to 65535");
    return address;
}

const Json& JsonField::list() const
{
    if (!existing().is_array())
        fail("a list");
    return *m_value;
}

const Json& JsonField::listOrEmpty() const
{
    static const Json empty = Json::array();
    return exists() ? list() : empty;
}

const Json& JsonField::object() const
{
    if (!existing().is_object())
        fail("an object");
    return *m_value;
}

} // namespace Common
