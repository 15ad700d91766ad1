// Tests of the event loop's measurements.
#include "Http/EventLoop.h"

#include "Http/LoopDriver.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace std::chrono_literals;

TEST_CASE("a timer behind a long action counts as late, once")
{
    Http::EventLoop loop;
    bool fired = false;
    loop.schedule(1ms, [] { std::this_thread::sleep_for(60ms); });
    loop.schedule(10ms, [&fired] { fired = true; });
    REQUIRE(Fakes::runUntil(loop, [&fired] { return fired; }));
    CHECK(loop.takeLongestLag() >= 40ms);
    CHECK(loop.takeLongestLag() == 0ms);
}
