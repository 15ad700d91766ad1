// Gangs start with all members, on one rack where that is worth the wait.
#include "Policy/GangPlacement.h"

#include <doctest/doctest.h>

using namespace Policy;

TEST_CASE("a gang takes the fullest rack that has room for all of it")
{
    const std::vector<GangOffer> offers { { "r1", 4, 8 }, { "r1", 4, 8 }, { "r2", 3, 8 }, { "r2", 2, 8 } };
    const GangPlacement places = chooseGangPlacement({ 5, true, true }, offers);
    REQUIRE(std::holds_alternative<OnRack>(places));
    CHECK(std::get<OnRack>(places).rack == "r2");
}

TEST_CASE("a gang waits for a rack that could hold it only while waiting is worthwhile")
{
    const std::vector<GangOffer> offers { { "r1", 2, 8 }, { "r2", 3, 4 } };
    CHECK(std::holds_alternative<WaitForRack>(chooseGangPlacement({ 5, true, true }, offers)));
    CHECK(std::holds_alternative<OnAnyRack>(chooseGangPlacement({ 5, true, false }, offers)));
}

TEST_CASE("a gang that no rack could ever hold doesn't wait for one")
{
    CHECK(
        std::holds_alternative<OnAnyRack>(chooseGangPlacement({ 6, true, true }, { { "r1", 3, 4 }, { "r2", 3, 4 } })));
}

TEST_CASE("a gang that doesn't fit waits, and one that needs no single rack starts on any racks")
{
    const std::vector<GangOffer> offers { { "r1", 2, 8 }, { "r2", 2, 8 } };
    CHECK(std::holds_alternative<WaitForRack>(chooseGangPlacement({ 5, false, false }, offers)));
    CHECK(std::holds_alternative<OnAnyRack>(chooseGangPlacement({ 4, false, false }, offers)));
}
