// Tests parsing and printing of durations.
#include "Config/DurationText.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

TEST_CASE("durations need a whole number and a known unit")
{
    CHECK(Config::parseDuration("800ms") == Common::Duration(800ms));
    CHECK(Config::parseDuration("2s") == Common::Duration(2s));
    CHECK(Config::parseDuration("5m") == Common::Duration(5min));
    CHECK(Config::parseDuration("1h") == Common::Duration(1h));
    CHECK(Config::parseDuration("0s") == Common::Duration(0s));
    for (const char* wrong : { "", "5", "s", "-5s", "1.5s", "5 s", "5sec", "9999999999s", "5S" })
        CHECK_FALSE(Config::parseDuration(wrong));
}

TEST_CASE("parsing a printed duration yields the same duration")
{
    for (const Common::Duration duration : { Common::Duration(0), Common::Duration(1), Common::Duration(1500ms),
             Common::Duration(2s), Common::Duration(90s), Common::Duration(3h) })
        CHECK(Config::parseDuration(Config::printDuration(duration)) == duration);
    CHECK(Config::printDuration(90s) == "90s");
    CHECK(Config::printDuration(120s) == "2m");
}
