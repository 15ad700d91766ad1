// Checks single values against their rules.
#include "Config/SettingRule.h"

#include "Common/Overloaded.h"
#include "Config/DurationText.h"
#include "Config/JsonDocument.h"
#include "Config/NearestName.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Config {

namespace {

    constexpr size_t maximumNameLength = 63;
    constexpr unsigned highestPort = 65535;
    constexpr unsigned highestOctet = 255;
    constexpr size_t octetsPerAddress = 4;

    using Common::Overloaded;

    std::optional<unsigned> parseNumber(std::string_view text, unsigned highest)
    {
        unsigned number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size() || number > highest)
            return std::nullopt;
        return number;
    }

    bool isIpv4Address(std::string_view text)
    {
        for (size_t octet = 1; octet <= octetsPerAddress; ++octet) {
            const size_t end = octet == octetsPerAddress ? text.size() : text.find('.');
            if (end == std::string_view::npos || !parseNumber(text.substr(0, end), highestOctet))
                return false;
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return true;
    }

    bool isAddress(std::string_view text, bool zeroPort)
    {
        const size_t colon = text.find(':');
        if (colon == std::string_view::npos || !isIpv4Address(text.substr(0, colon)))
            return false;
        const auto port = parseNumber(text.substr(colon + 1), highestPort);
        return port && (zeroPort || *port > 0);
    }

    /// Reads one value by its rule. Faults hold the path, the value and what is allowed.
    class ValueReader {
    public:
        ValueReader(const SettingRule& rule, const nlohmann::json& value, const std::string& path,
            std::vector<SettingFault>& faults)
            : m_rule(rule)
            , m_value(value)
            , m_path(path)
            , m_faults(faults)
        {
        }

        std::optional<SettingValue> operator()(const NameRule&) const { return name(); }
        std::optional<SettingValue> operator()(const ReferenceRule&) const { return name(); }

        std::optional<SettingValue> operator()(const IntegerRule& rule) const
        {
            if (!m_value.is_number_integer())
                return fault(SettingFault::Kind::WrongType);
            if (m_value.is_number_unsigned() && m_value.get<uint64_t>() > static_cast<uint64_t>(rule.maximum))
                return fault(SettingFault::Kind::OutOfRange);
            const auto number = m_value.get<int64_t>();
            if (number < rule.minimum || number > rule.maximum)
                return fault(SettingFault::Kind::OutOfRange);
            return number;
        }

        std::optional<SettingValue> operator()(const NumberRule& rule) const
        {
            if (!m_value.is_number())
                return fault(SettingFault::Kind::WrongType);
            const auto number = m_value.get<double>();
            if (!(number >= rule.minimum && number <= rule.maximum))
                return fault(SettingFault::Kind::OutOfRange);
            return number;
        }

        std::optional<SettingValue> operator()(const DurationRule& rule) const
        {
            const std::optional<Common::Duration> duration
                = m_value.is_string() ? parseDuration(m_value.get_ref<const std::string&>()) : std::nullopt;
            if (!duration)
                return fault(SettingFault::Kind::WrongType);
            if (*duration < rule.minimum || *duration > rule.maximum)
                return fault(SettingFault::Kind::OutOfRange);
            return *duration;
        }

        std::optional<SettingValue> operator()(const FlagRule&) const
        {
            if (!m_value.is_boolean())
                return fault(SettingFault::Kind::WrongType);
            return m_value.get<bool>();
        }

        std::optional<SettingValue> operator()(const ChoiceRule& rule) const
        {
            if (!m_value.is_string())
                return fault(SettingFault::Kind::WrongType);
            const auto& text = m_value.get_ref<const std::string&>();
            if (std::find(rule.names.begin(), rule.names.end(), text) == rule.names.end())
                return fault(SettingFault::Kind::OutOfRange, nearestName(text, rule.names));
            return text;
        }

        std::optional<SettingValue> operator()(const AddressRule& rule) const
        {
            if (!m_value.is_string())
                return fault(SettingFault::Kind::WrongType);
            const auto& text = m_value.get_ref<const std::string&>();
            if (!isAddress(text, rule.zeroPort))
                return fault(SettingFault::Kind::OutOfRange);
            return text;
        }

        std::optional<SettingValue> operator()(const AddressListRule& rule) const
        {
            if (!m_value.is_array())
                return fault(SettingFault::Kind::WrongType);
            if (m_value.size() > rule.maximumCount)
                return fault(SettingFault::Kind::OutOfRange);
            const SettingRule element = AddressRule {};
            std::vector<std::string> addresses;
            for (size_t index = 0; index < m_value.size(); ++index) {
                const std::string path = m_path + "[" + std::to_string(index) + "]";
                auto address = readSetting(element, m_value[index], path, m_faults);
                if (address)
                    addresses.push_back(std::get<std::string>(std::move(*address)));
            }
            if (addresses.size() != m_value.size())
                return std::nullopt;
            return addresses;
        }

    private:
        std::optional<SettingValue> name() const
        {
            if (!m_value.is_string())
                return fault(SettingFault::Kind::WrongType);
            const auto& text = m_value.get_ref<const std::string&>();
            if (!isName(text))
                return fault(SettingFault::Kind::OutOfRange);
            return text;
        }

        std::optional<SettingValue> fault(SettingFault::Kind kind, std::string nearest = {}) const
        {
            m_faults.push_back(SettingFault { .kind = kind,
                .path = m_path,
                .found = formatValue(m_value),
                .allowed = ruleType(m_rule) + ", " + ruleAllowed(m_rule),
                .nearest = std::move(nearest) });
            return std::nullopt;
        }

        const SettingRule& m_rule;
        const nlohmann::json& m_value;
        const std::string& m_path;
        std::vector<SettingFault>& m_faults;
    };

    std::string formatNumber(double number) { return nlohmann::json(number).dump(); }

    std::string joinQuoted(const std::vector<std::string>& names)
    {
        std::string text;
        for (const std::string& name : names)
            text += (text.empty() ? "\"" : ", \"") + name + "\"";
        return text;
    }

} // namespace

bool isName(std::string_view text)
{
    const auto isLetterOrDigit = [](char letter) { return std::isalnum(static_cast<unsigned char>(letter)) != 0; };
    if (text.empty() || text.size() > maximumNameLength || !isLetterOrDigit(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(),
        [&](char letter) { return isLetterOrDigit(letter) || letter == '-' || letter == '_'; });
}

std::string ruleType(const SettingRule& rule)
{
    return std::visit(Overloaded {
                          [](const NameRule&) { return "name"; },
                          [](const ReferenceRule&) { return "name"; },
                          [](const IntegerRule&) { return "integer"; },
                          [](const NumberRule&) { return "number"; },
                          [](const DurationRule&) { return "duration"; },
                          [](const FlagRule&) { return "boolean"; },
                          [](const ChoiceRule&) { return "text"; },
                          [](const AddressRule&) { return "address"; },
                          [](const AddressListRule&) { return "list of addresses"; },
                      },
        rule);
}

std::string ruleAllowed(const SettingRule& rule)
{
    return std::visit(
        Overloaded {
            [](const NameRule&) { return std::string("1 to 63 letters, digits, \"-\" and \"_\""); },
            [](const ReferenceRule& reference) { return "a name under \"" + reference.section + "\""; },
            [](const IntegerRule& integer) {
                const std::string range = std::to_string(integer.minimum) + " to " + std::to_string(integer.maximum);
                return integer.unit.empty() ? range : range + " " + integer.unit;
            },
            [](const NumberRule& number) {
                const std::string range = formatNumber(number.minimum) + " to " + formatNumber(number.maximum);
                return number.unit.empty() ? range : range + " " + number.unit;
            },
            [](const DurationRule& duration) {
                return "\"" + printDuration(duration.minimum) + "\" to \"" + printDuration(duration.maximum) + "\"";
            },
            [](const FlagRule&) { return std::string("true or false"); },
            [](const ChoiceRule& choice) { return joinQuoted(choice.names); },
            [](const AddressRule& address) {
                return std::string(address.zeroPort ? "\"IP:port\", port 0 takes a free one" : "\"IP:port\"");
            },
            [](const AddressListRule& list) {
                return "at most " + std::to_string(list.maximumCount) + " of \"IP:port\"";
            },
        },
        rule);
}

std::optional<SettingValue> readSetting(
    const SettingRule& rule, const nlohmann::json& value, const std::string& path, std::vector<SettingFault>& faults)
{
    return std::visit(ValueReader(rule, value, path, faults), rule);
}

nlohmann::json settingToJson(const SettingValue& value)
{
    return std::visit(Overloaded {
                          [](Common::Duration duration) { return nlohmann::json(printDuration(duration)); },
                          [](const auto& other) { return nlohmann::json(other); },
                      },
        value);
}

} // namespace Config
