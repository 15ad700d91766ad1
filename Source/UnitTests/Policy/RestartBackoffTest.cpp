// Pauses before a long-running task is started again.
#include "Policy/RestartBackoff.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Policy::RestartBackoff;

TEST_CASE("a task is started again at once after its first end, and after a run that lasted")
{
    RestartBackoff restarts;
    CHECK(restarts.runEnded(20ms) == 0s);
    CHECK(RestartBackoff().runEnded(1h) == 0s);
}

TEST_CASE("the pause grows while runs end soon, up to a bound")
{
    RestartBackoff restarts;
    restarts.runEnded(1s);
    for (const Common::Duration pause : { 250ms, 500ms, 1000ms, 2000ms, 2000ms, 2000ms })
        CHECK(restarts.runEnded(1s) == pause);
}

TEST_CASE("a run that lasted ends the series")
{
    RestartBackoff restarts;
    for (int count = 0; count < 4; ++count)
        restarts.runEnded(1s);
    CHECK(restarts.runEnded(2s) == 0s);
    CHECK(restarts.runEnded(1s) == 0s);
    CHECK(restarts.runEnded(1s) == 250ms);
}
