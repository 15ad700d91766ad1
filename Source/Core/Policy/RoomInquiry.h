// Which other cells the owner of a long-running task asks for room, when, and which of them is given the task.
#pragma once

#include "Common/Units.h"
#include "Policy/RoomOffer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Policy {

/// The inquiry of one step. A round asks a few cells; rounds follow each other until a cell has room or all were asked.
/// After that there is a pause, which doubles. A cell that gave a task back isn't asked for a while, which doubles with
/// each time, so that tasks don't circulate between cells that can't keep their offers.
class RoomInquiry {
public:
    struct Peer {
        std::string cell;
        /// Tasks of the step that fit there according to the load that is known, runs that end by themselves left out.
        size_t room = 0;
        /// How often tasks of the step came from there still waiting.
        uint32_t refusals = 0;
    };
    static constexpr size_t cellsOfRound = 3;
    /// The cell that is given tasks, and at most how many.
    struct Choice {
        std::string cell;
        uint32_t tasks = 1;
    };

    /// Whether the next round may begin.
    bool isDue(Common::MonotonicTime now) const { return m_round.empty() && now >= m_notBefore; }
    /// No round begins before that time.
    void defer(Common::MonotonicTime until) { m_notBefore = until; }
    /// The cells that are asked next; empty if none is to be asked now. `number` names the round in its answers.
    std::vector<std::string> begin(Common::MonotonicTime now, uint64_t number, std::vector<Peer>);
    /// Notes the answer of a cell, or that it has none. Returns whether it was the last one of the round that is under
    /// way.
    bool note(uint64_t number, const std::string& cell, std::optional<RoomOffer>);
    /// Ends the round. Empty if no offer was accepted. `acceptsEnds`: whether
    /// room that only ends of runs make is of use; it is accepted when no cell has other room.
    std::optional<Choice> conclude(Common::MonotonicTime now, bool acceptsEnds);
    /// Whether the cell's owner had no answer to the last question: it may be of an earlier release.
    bool isSilent(const std::string& cell) const { return m_silent.contains(cell); }

private:
    void noteRefusals(Common::MonotonicTime now, const std::vector<Peer>&);
    void beginPause(Common::MonotonicTime now, std::optional<Common::MonotonicTime> askedAgainAt);

    struct Answer {
        bool arrived = false;
        RoomOffer offer;
    };
    /// The cells of the round that is under way; empty if there is none.
    std::map<std::string, Answer> m_round;
    uint64_t m_number = 0;
    /// Cells that were asked since the last pause.
    std::set<std::string> m_asked;
    /// Whether the round asks the last cells before the next pause.
    bool m_isLastRound = false;
    /// The earliest ends that a cell has offered since the last pause.
    std::optional<std::pair<std::string, Common::Duration>> m_ends;
    std::set<std::string> m_silent;
    Common::MonotonicTime m_notBefore;
    /// The last pause; zero if a cell had room since.
    Common::Duration m_pause {};
    std::map<std::string, uint32_t> m_refusals;
    std::map<std::string, Common::MonotonicTime> m_skippedUntil;
};

} // namespace Policy
