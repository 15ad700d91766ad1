// Tests the suggestion of a known name for a mistyped one.
#include "Config/NearestName.h"

#include <doctest/doctest.h>

TEST_CASE("the nearest known name is found, and none if no name is near")
{
    const std::vector<std::string> known { "deadline", "maximumDeadline", "priority", "spill" };
    CHECK(Config::nearestName("deadlin", known) == "deadline");
    CHECK(Config::nearestName("Spil", known) == "spill");
    CHECK(Config::nearestName("prio", known) == "priority");
    CHECK(Config::nearestName("spillage", known) == "spill");
    CHECK(Config::nearestName("maximumDedline", known) == "maximumDeadline");
    CHECK(Config::nearestName("colour", known).empty());
    CHECK(Config::nearestName("", known).empty());
    CHECK(Config::nearestName(std::string(1000, 'a'), known).empty());
}
