// Tests in which order room is offered to steps that wait in other cells, and on which workers it is kept.
#include "Policy/RoomPromise.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using Policy::chooseKeptRoom;
using Policy::KeptRoom;
using Policy::rankRoomClaims;

namespace {

using Kept = std::vector<KeptRoom>;

} // namespace

TEST_CASE("room is offered by priority, then to the step that has waited longest")
{
    CHECK(rankRoomClaims({ { 1, 9s }, { 0, 1s }, { 1, 10s }, { 0, 2s }, { 2, 60s } })
        == std::vector<size_t> { 3, 1, 2, 0, 4 });
}

TEST_CASE("steps that have waited alike keep their order")
{
    CHECK(rankRoomClaims({ { 1, 3s }, { 0, 5s }, { 1, 3s }, { 0, 5s } }) == std::vector<size_t> { 1, 3, 0, 2 });
}

TEST_CASE("without claims there is no order") { CHECK(rankRoomClaims({}).empty()); }

TEST_CASE("room is kept on the workers with the most room")
{
    CHECK(chooseKeptRoom({ 1, 4, 0, 2 }, 6, 4) == Kept { { 1, 4 }, { 3, 2 } });
    CHECK(chooseKeptRoom({ 1, 4, 0, 2 }, 7, 4) == Kept { { 1, 4 }, { 3, 2 }, { 0, 1 } });
}

TEST_CASE("workers with the same room are chosen in their order")
{
    CHECK(chooseKeptRoom({ 2, 3, 2, 3 }, 20, 3) == Kept { { 1, 3 }, { 3, 3 }, { 0, 2 } });
}

TEST_CASE("no more room is kept than there are tasks")
{
    CHECK(chooseKeptRoom({ 5, 3 }, 2, 2) == Kept { { 0, 2 } });
    CHECK(chooseKeptRoom({ 5, 3 }, 6, 2) == Kept { { 0, 5 }, { 1, 1 } });
}

TEST_CASE("nothing is kept without room, tasks or workers that may have some")
{
    CHECK(chooseKeptRoom({}, 3, 2).empty());
    CHECK(chooseKeptRoom({ 0, 0 }, 3, 2).empty());
    CHECK(chooseKeptRoom({ 2, 1 }, 0, 2).empty());
    CHECK(chooseKeptRoom({ 2, 1 }, 3, 0).empty());
}

TEST_CASE("what is kept is within its limits and as much as they allow")
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::vector<uint32_t> roomOf(random() % 12);
        for (uint32_t& room : roomOf)
            room = static_cast<uint32_t>(random() % 5);
        const auto waiting = static_cast<uint32_t>(random() % 30);
        const size_t mostWorkers = random() % 13;
        uint32_t kept = 0;
        std::vector<bool> chosen(roomOf.size());
        for (const KeptRoom& room : chooseKeptRoom(roomOf, waiting, mostWorkers)) {
            REQUIRE(room.worker < roomOf.size());
            CHECK_FALSE(chosen[room.worker]);
            chosen[room.worker] = true;
            CHECK(room.tasks > 0);
            CHECK(room.tasks <= roomOf[room.worker]);
            kept += room.tasks;
        }
        CHECK(static_cast<size_t>(std::count(chosen.begin(), chosen.end(), true)) <= mostWorkers);
        std::vector<uint32_t> largest = roomOf;
        std::sort(largest.rbegin(), largest.rend());
        largest.resize(std::min(largest.size(), mostWorkers));
        CHECK(kept == std::min(waiting, std::accumulate(largest.begin(), largest.end(), uint32_t { 0 })));
    }
}
