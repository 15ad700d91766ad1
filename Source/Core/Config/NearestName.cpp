// Compares names by their edit distance.
#include "Config/NearestName.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace Config {

namespace {

    constexpr size_t maximumComparedLength = 64;
    constexpr size_t minimumPrefixLength = 3;

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::transform(
            lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) { return std::tolower(letter); });
        return lower;
    }

    size_t editDistance(const std::string& left, const std::string& right)
    {
        std::vector<size_t> row(right.size() + 1);
        std::iota(row.begin(), row.end(), size_t { 0 });
        for (size_t i = 0; i < left.size(); ++i) {
            size_t diagonal = row[0];
            row[0] = i + 1;
            for (size_t j = 0; j < right.size(); ++j) {
                const size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
            }
        }
        return row.back();
    }

    bool isPrefix(const std::string& shorter, const std::string& longer)
    {
        return shorter.size() >= minimumPrefixLength && longer.compare(0, shorter.size(), shorter) == 0;
    }

} // namespace

std::string nearestName(std::string_view name, const std::vector<std::string>& known)
{
    if (name.empty() || name.size() > maximumComparedLength)
        return {};
    const std::string wanted = lowerCase(name);
    const size_t limit = std::max<size_t>(1, wanted.size() / 3);
    std::string nearest;
    size_t fewest = limit + 1;
    for (const std::string& candidate : known) {
        if (candidate.size() > maximumComparedLength)
            continue;
        const std::string lower = lowerCase(candidate);
        const bool abbreviated = isPrefix(wanted, lower) || isPrefix(lower, wanted);
        const size_t edits = abbreviated ? 1 : editDistance(wanted, lower);
        if (edits >= fewest)
            continue;
        fewest = edits;
        nearest = candidate;
    }
    return nearest;
}

} // namespace Config
