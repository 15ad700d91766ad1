// Bodies that no correct writer sends.
#pragma once

#include <string>
#include <vector>

namespace Fakes {

/// `depth` lists inside each other.
inline std::string nestedLists(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/// `depth` objects inside each other.
inline std::string nestedObjects(size_t depth)
{
    std::string text;
    for (size_t level = 0; level < depth; ++level)
        text += R"({"a":)";
    return text + "0" + std::string(depth, '}');
}

/// Deep enough to exhaust the stack of a function that calls itself for each level.
inline constexpr size_t excessiveDepth = 100'000;

/// Values that are no valid capacity, port, time or number of things.
inline const std::vector<std::string>& oddNumbers()
{
    static const std::vector<std::string> numbers { "-5", "-1e300", "1e300", "1e19", "9e18", "9223372036854775807",
        "18446744073709551615", "true", "null", R"("7")", "[]", "{}" };
    return numbers;
}

/// The text with the first occurrence of `from` replaced.
inline std::string withReplaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace Fakes
