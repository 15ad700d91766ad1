// Whether a run has probably ended while its worker couldn't be reached.
#include "Policy/UnreadEnd.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Policy::SilentRun;

TEST_CASE("a run that made progress ends when it goes on at the same speed")
{
    const SilentRun run { .ran = 2s, .percent = 40, .estimate = 1s };
    CHECK(Policy::endsWithin(run, 3s));
    CHECK_FALSE(Policy::endsWithin(run, 2900ms));
}

TEST_CASE("a run without known progress ends when the caller expects it")
{
    const SilentRun run { .ran = 500ms, .percent = 0, .estimate = 4s };
    CHECK(Policy::endsWithin(run, 3500ms));
    CHECK_FALSE(Policy::endsWithin(run, 3s));
}

TEST_CASE("a run that is over its estimate without known progress may end at any time")
{
    CHECK(Policy::endsWithin({ .ran = 9s, .percent = 0, .estimate = 4s }, 0s));
}

TEST_CASE("a long-running task doesn't end by itself")
{
    CHECK_FALSE(Policy::endsWithin({ .longRunning = true, .ran = 9s, .percent = 100, .estimate = 1s }, 6s));
}
