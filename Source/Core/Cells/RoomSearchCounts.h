// What became of the looks at steps whose long-running tasks have lost their run and find no room, for a log line of
// the cell.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Cells {

class RoomSearchCounts {
public:
    enum class Outcome {
        /// Other cells were asked.
        Asked,
        /// The step found no room too recently.
        JustBlocked,
        /// The pause after earlier questions isn't over, or they aren't answered yet.
        Pausing,
        /// As many questions as allowed are under way.
        QuestionLimit,
        /// No other cell shows room that isn't skipped or was asked already.
        NoPeers,
        /// The cell itself has runs to stop.
        OwnPlan,
        /// The cell itself is making room.
        MakingRoom,
        /// Room was made here.
        Made,
        /// Room is made on as many workers as allowed.
        WorkerLimit,
        /// The pause after an earlier try to make room isn't over.
        MakingPauses,
        /// There are no runs to stop here.
        NothingToStop,
        /// The tasks were given to another cell instead.
        GivenAway,
    };

    void add(Outcome outcome) { ++m_counts.at(static_cast<size_t>(outcome)); }
    bool isEmpty() const { return *this == RoomSearchCounts {}; }
    /// Those above 0, as in "asked:1,pausing:40".
    std::string text() const;

    bool operator==(const RoomSearchCounts&) const = default;

private:
    static constexpr size_t outcomes = static_cast<size_t>(Outcome::GivenAway) + 1;
    std::array<uint32_t, outcomes> m_counts {};
};

} // namespace Cells
