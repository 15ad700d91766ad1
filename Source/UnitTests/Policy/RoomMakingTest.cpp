// Room is made by the stops that cost least, on one worker, and never by those of runs that must go on.
#include "Policy/RoomMaking.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace Policy;

namespace {

constexpr uint32_t priority = 1;

RoomHolder run(int64_t milliCores, double workLost, uint32_t ofPriority = priority)
{
    RoomHolder holder;
    holder.held.milliCores = milliCores;
    holder.workLost = workLost;
    holder.priority = ofPriority;
    return holder;
}

RoomHolder kept(int64_t milliCores)
{
    RoomHolder holder = run(milliCores, 0);
    holder.kept = true;
    return holder;
}

RoomHolder ending(int64_t milliCores)
{
    RoomHolder holder = run(milliCores, 0);
    holder.ending = true;
    return holder;
}

RoomHolder backfill(int64_t memory, double workLost)
{
    RoomHolder holder = run(0, workLost);
    holder.held.memoryMegabytes = memory;
    holder.backfill = true;
    return holder;
}

RoomMakingOffer worker(std::vector<RoomHolder> runs) { return { { 0, 4000, 1000, 0 }, std::move(runs) }; }

std::optional<RoomMakingPlan> plan(int64_t milliCores, const std::vector<RoomMakingOffer>& offers, int64_t memory = 0)
{
    return planRoomMaking({ 0, milliCores, memory, 0 }, priority, offers);
}

using Runs = std::vector<size_t>;

} // namespace

TEST_CASE("the runs that lose the least work are stopped, and no more than needed")
{
    const auto found = plan(1000, { worker({ run(1000, 5), run(1000, 1), run(1000, 3), run(1000, 2) }) });
    REQUIRE(found);
    CHECK(found->stopped == Runs { 1 });
    CHECK(found->cost.workLost == 1);
}

TEST_CASE("a small run whose stop wasn't needed in the end goes on")
{
    const auto found = plan(1500, { worker({ run(100, 0.5), run(1500, 2), run(2400, 9) }) });
    REQUIRE(found);
    CHECK(found->stopped == Runs { 1 });
}

TEST_CASE("one run is stopped where several that are cheaper each cost more")
{
    const auto found = plan(2000, { worker({ run(1000, 3), run(1000, 3), run(2000, 4) }) });
    REQUIRE(found);
    CHECK(found->stopped == Runs { 2 });
}

TEST_CASE("the worker on which the stops cost least is chosen")
{
    const auto found = plan(1000, { worker({ run(4000, 5) }), worker({ run(4000, 2) }), worker({ run(4000, 3) }) });
    REQUIRE(found);
    CHECK(found->worker == 1);
}

TEST_CASE("runs of a better priority are never stopped, those of a worse one first")
{
    CHECK(!plan(1000, { worker({ run(4000, 0, priority - 1) }) }));
    const auto found = plan(2000, { worker({ run(2000, 1), run(2000, 9, priority + 1) }) });
    REQUIRE(found);
    CHECK(found->stopped == Runs { 1 });
    const auto elsewhere = plan(2000, { worker({ run(4000, 1) }), worker({ run(4000, 9, priority + 1) }) });
    REQUIRE(elsewhere);
    CHECK(elsewhere->worker == 1);
}

TEST_CASE("backfill is stopped before ordinary runs where it holds what is needed")
{
    RoomHolder ordinary = run(1000, 0.1);
    ordinary.held.memoryMegabytes = 500;
    const auto found = plan(500, { worker({ ordinary, backfill(500, 7) }) }, 400);
    REQUIRE(found);
    CHECK(found->stopped == Runs { 1 });
    // Backfill holds no processor time.
    const auto processor = plan(4000, { worker({ ordinary, backfill(100, 7) }) });
    REQUIRE(processor);
    CHECK(processor->stopped == Runs { 0 });
}

TEST_CASE("runs that must go on are never stopped")
{
    CHECK(!plan(1000, { worker({ kept(2000), kept(2000) }) }));
    const auto found = plan(1000, { worker({ kept(3000), run(1000, 8) }) });
    REQUIRE(found);
    CHECK(found->stopped == Runs { 1 });
    CHECK(!plan(1500, { worker({ kept(3000), run(1000, 8) }) }));
}

TEST_CASE("where ends under way make the room nothing is stopped")
{
    const auto found = plan(1000, { worker({ run(4000, 0) }), worker({ ending(1000), run(3000, 0) }) });
    REQUIRE(found);
    CHECK(found->worker == 1);
    CHECK(found->stopped.empty());
}

TEST_CASE("plans of random workers make room, stop nothing that must go on, and need each of their stops")
{
    std::mt19937_64 random(7);
    const auto upTo = [&random](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
    for (int round = 0; round < 2000; ++round) {
        CAPTURE(round);
        std::vector<RoomMakingOffer> offers;
        for (int index = upTo(3); index >= 0; --index) {
            std::vector<RoomHolder> runs;
            for (int left = upTo(9); left > 0; --left) {
                RoomHolder holder = run(100 + upTo(900), upTo(20), static_cast<uint32_t>(upTo(3)));
                holder.kept = upTo(4) == 0;
                holder.ending = upTo(9) == 0;
                runs.push_back(holder);
            }
            offers.push_back(worker(runs));
        }
        const int64_t needed = 500 + upTo(3500);
        const auto found = plan(needed, offers);
        const auto roomWithout = [&](const RoomMakingOffer& offer, const Runs& stopped) {
            int64_t room = offer.capacity.milliCores;
            for (size_t index = 0; index < offer.runs.size(); ++index) {
                if (!offer.runs[index].ending && std::count(stopped.begin(), stopped.end(), index) == 0)
                    room -= offer.runs[index].held.milliCores;
            }
            return room;
        };
        if (!found) {
            for (const RoomMakingOffer& offer : offers) {
                Runs all;
                for (size_t index = 0; index < offer.runs.size(); ++index) {
                    if (!offer.runs[index].kept && offer.runs[index].priority >= priority)
                        all.push_back(index);
                }
                CHECK(roomWithout(offer, all) < needed);
            }
            continue;
        }
        const RoomMakingOffer& offer = offers[found->worker];
        CHECK(roomWithout(offer, found->stopped) >= needed);
        for (const size_t index : found->stopped) {
            CHECK(!offer.runs[index].kept);
            CHECK(!offer.runs[index].ending);
            CHECK(offer.runs[index].priority >= priority);
            Runs others = found->stopped;
            std::erase(others, index);
            CHECK(roomWithout(offer, others) < needed);
        }
    }
}
