// The rules for values of settings: a variant that the reader, the printer and the page of settings visit.
#pragma once

#include "Common/Units.h"
#include "Config/SettingFault.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Config {

using SettingValue = std::variant<std::string, int64_t, double, bool, Common::Duration, std::vector<std::string>>;

/// 1 to 63 letters, digits, '-' and '_', starting with a letter or digit.
struct NameRule { };

/// A name that the document defines under `section`; checked once the whole document has been read.
struct ReferenceRule {
    std::string section;
};

struct IntegerRule {
    int64_t minimum = 0;
    int64_t maximum = 0;
    std::string unit;
};

/// A whole number or a fraction.
struct NumberRule {
    double minimum = 0;
    double maximum = 0;
    std::string unit;
};

struct DurationRule {
    Common::Duration minimum {};
    Common::Duration maximum {};
};

struct FlagRule { };

struct ChoiceRule {
    std::vector<std::string> names;
};

/// "IP:port" with an IPv4 number.
struct AddressRule {
    /// Whether port 0, which takes a free port, is allowed.
    bool zeroPort = false;
};

struct AddressListRule {
    size_t maximumCount = 0;
};

using SettingRule = std::variant<NameRule, ReferenceRule, IntegerRule, NumberRule, DurationRule, FlagRule, ChoiceRule,
    AddressRule, AddressListRule>;

/// Whether the text follows NameRule.
bool isName(std::string_view);
/// The name of the rule's type: "duration", "integer", ...
std::string ruleType(const SettingRule&);
/// The range or the allowed values, in words.
std::string ruleAllowed(const SettingRule&);
/// The value if it has the right type and is allowed; otherwise empty, with a fault added.
std::optional<SettingValue> readSetting(
    const SettingRule&, const nlohmann::json&, const std::string& path, std::vector<SettingFault>& faults);
nlohmann::json settingToJson(const SettingValue&);

} // namespace Config
