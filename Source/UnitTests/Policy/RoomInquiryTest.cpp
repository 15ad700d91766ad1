// Tests which cells are asked for room, when, and which of them gets the task.
#include "Policy/RoomInquiry.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using Policy::RoomByEnds;
using Policy::RoomByStops;
using Policy::RoomInquiry;
using Policy::RoomOffer;

namespace {

const Common::MonotonicTime start { 100s };

RoomByStops stops(double workLost, bool ordinary = true) { return { { ordinary, 0, workLost, 1 } }; }

std::vector<RoomInquiry::Peer> peers(size_t count)
{
    std::vector<RoomInquiry::Peer> found;
    for (size_t number = 0; number < count; ++number)
        found.push_back({ "cell-" + std::to_string(number), 10 + number, 0 });
    return found;
}

/// Lets each cell of the round give the same answer; returns the cell that gets the task.
std::string answerAll(RoomInquiry& inquiry, Common::MonotonicTime now, uint64_t round,
    const std::vector<std::string>& cells, const RoomOffer& offer, bool acceptsEnds = true)
{
    for (size_t index = 0; index < cells.size(); ++index)
        CHECK(inquiry.note(round, cells[index], offer) == (index + 1 == cells.size()));
    const std::optional<RoomInquiry::Choice> choice = inquiry.conclude(now, acceptsEnds);
    return choice ? choice->cell : std::string {};
}

} // namespace

TEST_CASE("free room comes before stops, cheap stops before dear ones, and ends last")
{
    CHECK_FALSE(Policy::chooseRoomOffer({}));
    CHECK_FALSE(Policy::chooseRoomOffer({ Policy::NoRoom {}, Policy::NoRoom {} }));
    CHECK(Policy::chooseRoomOffer({ Policy::NoRoom {}, RoomByEnds { 1s }, stops(9), stops(4) }) == 3);
    CHECK(Policy::chooseRoomOffer({ stops(4), stops(90, false) }) == 1);
    CHECK(Policy::chooseRoomOffer({ stops(0), Policy::FreeRoom {} }) == 1);
    CHECK(Policy::chooseRoomOffer({ Policy::FreeRoom { 2 }, Policy::FreeRoom { 3 } }) == 1);
    CHECK(Policy::chooseRoomOffer({ RoomByEnds { 3s }, RoomByEnds { 2s } }) == 1);
}

// Guards against a domain's lost tasks that move one by one though a cell has room for all of them.
TEST_CASE("a cell with free room is given as many tasks as it has room for, one that stops runs only one")
{
    RoomInquiry inquiry;
    inquiry.begin(start, 1, peers(2));
    inquiry.note(1, "cell-0", stops(0));
    CHECK(inquiry.note(1, "cell-1", Policy::FreeRoom { 7 }));
    const std::optional<RoomInquiry::Choice> choice = inquiry.conclude(start, false);
    REQUIRE(choice);
    CHECK(choice->cell == "cell-1");
    CHECK(choice->tasks == 7);
}

// Guards against questions to the whole fleet for each lost task.
TEST_CASE("a round asks a few cells, those with the most room first, and no cell twice before a pause")
{
    RoomInquiry inquiry;
    std::set<std::string> asked;
    for (uint64_t round = 1; round <= 4; ++round) {
        const std::vector<std::string> cells = inquiry.begin(start, round, peers(10));
        CHECK(cells.size() == (round < 4 ? RoomInquiry::cellsOfRound : 1));
        CHECK(cells.front() == "cell-" + std::to_string(12 - 3 * round));
        CHECK(inquiry.begin(start, round + 1, peers(10)).empty());
        asked.insert(cells.begin(), cells.end());
        CHECK(answerAll(inquiry, start, round, cells, Policy::NoRoom {}).empty());
    }
    CHECK(asked.size() == 10);
    CHECK(inquiry.begin(start, 5, peers(10)).empty());
    CHECK_FALSE(inquiry.isDue(start + 200ms));
    CHECK(inquiry.begin(start + 300ms, 6, peers(10)).size() == RoomInquiry::cellsOfRound);
}

// Guards against endless questions at a constant pace while nothing changes.
TEST_CASE("the pause between two series of questions doubles up to a limit")
{
    RoomInquiry inquiry;
    Common::MonotonicTime now = start;
    std::vector<Common::Duration> pauses;
    for (uint64_t round = 1; round <= 8; ++round) {
        answerAll(inquiry, now, round, inquiry.begin(now, round, peers(1)), Policy::NoRoom {});
        CHECK(inquiry.begin(now, round, peers(1)).empty());
        const Common::MonotonicTime since = now;
        while (!inquiry.isDue(now))
            now += 10ms;
        pauses.push_back(now - since);
    }
    for (size_t index = 1; index < pauses.size(); ++index)
        CHECK(pauses[index] == std::min<Common::Duration>(2 * pauses[index - 1], pauses.back()));
    CHECK(pauses.back() <= 4s);
}

// Guards against a task that is given to a cell where it waits for ends while another cell could stop runs.
TEST_CASE("room by ends is taken only after all cells were asked, and only if it is of use")
{
    for (const bool acceptsEnds : { true, false }) {
        RoomInquiry inquiry;
        std::vector<std::string> cells = inquiry.begin(start, 1, peers(5));
        CHECK(answerAll(inquiry, start, 1, cells, RoomByEnds { 2s }, acceptsEnds).empty());
        cells = inquiry.begin(start, 2, peers(5));
        REQUIRE(cells.size() == 2);
        CHECK(answerAll(inquiry, start, 2, cells, RoomByEnds { 5s }, acceptsEnds) == (acceptsEnds ? "cell-2" : ""));
    }
    RoomInquiry inquiry;
    answerAll(inquiry, start, 1, inquiry.begin(start, 1, peers(5)), RoomByEnds { 2s });
    CHECK(answerAll(inquiry, start, 2, inquiry.begin(start, 2, peers(5)), stops(40)) == "cell-0");
}

// Guards against a task that goes to and fro between cells that offer room and don't have it when the task arrives.
TEST_CASE("a cell that gave a task back isn't asked for a while, which doubles, and comes last afterwards")
{
    RoomInquiry inquiry;
    Common::MonotonicTime now = start;
    std::vector<RoomInquiry::Peer> known = peers(1);
    std::vector<Common::Duration> waits;
    CHECK(answerAll(inquiry, now, 1, inquiry.begin(now, 1, known), stops(1)) == "cell-0");
    now += 1s;
    for (uint64_t round = 2; round <= 5; ++round) {
        ++known[0].refusals;
        const Common::MonotonicTime refusedAt = now;
        std::vector<std::string> cells;
        while ((cells = inquiry.begin(now, round, known)).empty())
            now += 50ms;
        waits.push_back(now - refusedAt);
        CHECK(answerAll(inquiry, now, round, cells, stops(1)) == "cell-0");
    }
    CHECK(waits.front() >= 1s);
    for (size_t index = 1; index < waits.size(); ++index)
        CHECK(waits[index] > waits[index - 1] * 3 / 2);
    now += 30s;
    known = peers(4);
    known[3].refusals = 1;
    RoomInquiry other;
    CHECK(other.begin(start, 1, known) == std::vector<std::string> { "cell-2", "cell-1", "cell-0" });
}

// Guards against an inquiry that never ends because an owner is silent, and against late answers to earlier rounds.
TEST_CASE("answers that are missing, repeated or late don't hold up or change a round")
{
    RoomInquiry inquiry;
    const std::vector<std::string> cells = inquiry.begin(start, 7, peers(2));
    CHECK_FALSE(inquiry.note(6, "cell-1", stops(1)));
    CHECK_FALSE(inquiry.note(7, "cell-9", stops(1)));
    CHECK_FALSE(inquiry.note(7, "cell-1", std::nullopt));
    CHECK_FALSE(inquiry.note(7, "cell-1", Policy::FreeRoom {}));
    CHECK(inquiry.note(7, "cell-0", stops(3)));
    const std::optional<RoomInquiry::Choice> choice = inquiry.conclude(start, true);
    REQUIRE(choice);
    CHECK(choice->cell == "cell-0");
    CHECK(choice->tasks == 1);
    CHECK_FALSE(inquiry.isSilent("cell-0"));
    CHECK(inquiry.isSilent("cell-1"));
    CHECK_FALSE(inquiry.note(7, "cell-1", Policy::FreeRoom {}));
}
