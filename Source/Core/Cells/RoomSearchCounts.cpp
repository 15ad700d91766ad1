// Names of the outcomes in logs.
#include "Cells/RoomSearchCounts.h"

#include <string_view>

namespace Cells {

namespace {

    constexpr std::array<std::string_view, 12> names { "asked", "just-blocked", "pausing", "question-limit", "no-peers",
        "own-plan", "making-room", "made", "worker-limit", "making-pauses", "nothing-to-stop", "given-away" };

} // namespace

std::string RoomSearchCounts::text() const
{
    static_assert(names.size() == outcomes);
    std::string found;
    for (size_t index = 0; index < outcomes; ++index) {
        if (m_counts.at(index) == 0)
            continue;
        found += found.empty() ? "" : ",";
        found += names.at(index);
        found += ":" + std::to_string(m_counts.at(index));
    }
    return found;
}

} // namespace Cells
