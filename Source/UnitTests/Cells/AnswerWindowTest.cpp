// Tests of the answer window: whether a missing answer is the receiver's silence or this process's lateness.
#include "Cells/AnswerWindow.h"
#include "Fakes/FakeProcess.h"

#include <doctest/doctest.h>

#include <optional>

using namespace std::chrono_literals;

namespace {

constexpr Common::Duration timeout = 800ms;

/// A call that times out at a process, and what its window says when the process notices that.
struct TimedOutCall {
    Fakes::VirtualRuntime clock { 1 };
    Fakes::FakeProcess process { clock, 1 };
    Cells::AnswerWindow window { process, timeout };
    std::optional<bool> wasRead;

    TimedOutCall()
    {
        process.timersFirst = true;
        process.schedule(timeout, [this] { wasRead = window.wasRead(); });
    }
    /// Stops the process until `end`, measured from the call, and then lets it run for a millisecond.
    void stallUntil(Common::Duration end)
    {
        process.pause();
        clock.advance(end - clock.now().time_since_epoch());
        process.resume();
        clock.advance(1ms);
    }
};

} // namespace

TEST_CASE("the answer window of a process that is in time is read by the timeout")
{
    TimedOutCall call;
    call.clock.advance(timeout / 2 - 1ms);
    CHECK_FALSE(call.window.wasRead());
    call.clock.advance(timeout);
    CHECK(call.wasRead == true);
}

TEST_CASE("a process that stalls until the timeout or longer hasn't read the answer window")
{
    for (const Common::Duration end : { timeout, timeout + 1ms, 3 * timeout }) {
        TimedOutCall call;
        call.stallUntil(end);
        CHECK(call.wasRead == false);
    }
}

TEST_CASE("a stall from before half of the timeout to the timeout leaves the answer window unread")
{
    TimedOutCall call;
    call.clock.advance(timeout / 2 - 1ms);
    call.stallUntil(timeout);
    CHECK(call.wasRead == false);
}

TEST_CASE("a process that runs for a moment in the second half of the timeout has read the answer window")
{
    TimedOutCall call;
    call.stallUntil(timeout / 4);
    call.stallUntil(timeout / 2 + 100ms);
    call.stallUntil(2 * timeout);
    CHECK(call.wasRead == true);
}

TEST_CASE(
    "a process that has run only once since the call, and sent the request just then, hasn't read the answer window")
{
    TimedOutCall call;
    call.stallUntil(timeout / 2 + 100ms);
    call.stallUntil(2 * timeout);
    CHECK(call.wasRead == false);
}

TEST_CASE("an answer window may be destroyed before its timers fire")
{
    Fakes::VirtualRuntime clock(1);
    Fakes::FakeProcess process(clock, 1);
    std::optional<Cells::AnswerWindow> window;
    window.emplace(process, timeout);
    clock.advance(timeout / 2);
    window.reset();
    clock.advance(timeout);
}
