// Parses and prints durations.
#include "Config/DurationText.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Config {

namespace {

    struct DurationUnit {
        std::string_view name;
        int64_t microseconds;
    };

    // Largest first.
    constexpr std::array durationUnits {
        DurationUnit { "h", 3'600'000'000 },
        DurationUnit { "m", 60'000'000 },
        DurationUnit { "s", 1'000'000 },
        DurationUnit { "ms", 1'000 },
        DurationUnit { "us", 1 },
    };

    // With 9 digits the number of microseconds fits into 64 bits for every unit.
    constexpr size_t maximumDigits = 9;

} // namespace

std::optional<Common::Duration> parseDuration(std::string_view text)
{
    const size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    if (digits == 0 || digits > maximumDigits)
        return std::nullopt;
    int64_t count = 0;
    std::from_chars(text.data(), text.data() + digits, count);
    const std::string_view unitName = text.substr(digits);
    const auto* const unit = std::find_if(
        durationUnits.begin(), durationUnits.end(), [&](const DurationUnit& each) { return each.name == unitName; });
    if (unit == durationUnits.end())
        return std::nullopt;
    return Common::Duration(count * unit->microseconds);
}

std::string printDuration(Common::Duration duration)
{
    if (duration.count() == 0)
        return "0s";
    const auto* const unit = std::find_if(durationUnits.begin(), durationUnits.end(),
        [&](const DurationUnit& each) { return duration.count() % each.microseconds == 0; });
    return std::to_string(duration.count() / unit->microseconds) + std::string(unit->name);
}

} // namespace Config
