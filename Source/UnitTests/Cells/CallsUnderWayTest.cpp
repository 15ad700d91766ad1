// Copies of start orders that may still be carried out, by any life of their worker.
#include "Cells/CallsUnderWay.h"
#include "Cells/CellSettings.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr Common::Duration step = 1ms;

Jobs::TaskName taskOf(uint32_t index) { return { Common::JobId { "0000000000000001" }, 0, 0, index }; }

struct Calls {
    const Cells::CellSettings settings {};
    const Common::MonotonicTime start { 1h };
    const Jobs::TaskName task = taskOf(0);
    const Jobs::TaskName other = taskOf(1);
    Cells::CallsUnderWay calls { settings };

    /// The first time at which a report settles a copy that was sent at that time.
    Common::MonotonicTime over(Common::MonotonicTime sentAt) const { return sentAt + settings.longestCallDelay + step; }
};

} // namespace

TEST_CASE_FIXTURE(Calls, "an order is under way from its sending to its answer")
{
    CHECK_FALSE(calls.hasStarts());
    CHECK_FALSE(calls.lastStart(task));
    calls.startSent(task, start);
    CHECK(calls.hasStarts());
    CHECK(calls.lastStart(task) == start);
    CHECK_FALSE(calls.lastStart(other));
    calls.startSettled(task, start);
    CHECK_FALSE(calls.hasStarts());
    CHECK_FALSE(calls.lastStart(task));
}

// Guards against CellScheduleTest 466: the second copy's end is acknowledged, and the first one starts the task again.
TEST_CASE_FIXTURE(Calls, "the answer to a copy doesn't settle an earlier one that was left unanswered")
{
    const Common::MonotonicTime second = start + 1s;
    calls.startSent(task, start);
    calls.startSent(task, second);
    CHECK(calls.lastStart(task) == second);
    calls.startSettled(task, second);
    CHECK(calls.hasStarts());
    CHECK(calls.lastStart(task) == start);
    calls.settleByReport(over(start) - step);
    CHECK(calls.hasStarts());
    calls.settleByReport(over(start));
    CHECK_FALSE(calls.hasStarts());
}

TEST_CASE_FIXTURE(Calls, "of several copies without an answer the last one counts")
{
    const Common::MonotonicTime second = start + 1s;
    const Common::MonotonicTime third = start + 2s;
    for (const Common::MonotonicTime sentAt : { start, second, third })
        calls.startSent(task, sentAt);
    calls.startSettled(task, third);
    CHECK(calls.lastStart(task) == second);
    calls.settleByReport(over(start));
    CHECK(calls.lastStart(task) == second);
    calls.settleByReport(over(second));
    CHECK_FALSE(calls.hasStarts());
}

TEST_CASE_FIXTURE(Calls, "a copy that is sent after an answer leaves the earlier unanswered one under way")
{
    const Common::MonotonicTime second = start + 1s;
    const Common::MonotonicTime third = start + 2s;
    calls.startSent(task, start);
    calls.startSent(task, second);
    calls.startSettled(task, second);
    // Of the next attempt, for instance.
    calls.startSent(task, third);
    CHECK(calls.lastStart(task) == third);
    calls.startSettled(task, third);
    CHECK(calls.lastStart(task) == start);
}

TEST_CASE_FIXTURE(Calls, "an answer counts for the copy that was sent at that time only")
{
    const Common::MonotonicTime second = start + 1s;
    calls.startSent(task, start);
    calls.startSettled(task, second);
    calls.startSettled(other, start);
    CHECK(calls.lastStart(task) == start);
    calls.startSent(task, second);
    // Its caller has been told that the first one failed, when it sent the second one.
    calls.startSettled(task, start);
    CHECK(calls.lastStart(task) == second);
    calls.startSettled(task, second);
    CHECK(calls.lastStart(task) == start);
    calls.startSettled(task, second);
    CHECK(calls.lastStart(task) == start);
}

TEST_CASE_FIXTURE(Calls, "a report settles the orders that were sent long enough before it was asked for")
{
    const Common::MonotonicTime later = start + 300ms;
    calls.startSent(task, start);
    calls.startSent(other, later);
    calls.settleByReport(start - 1s);
    calls.settleByReport(later);
    // Carried out within that time, so that the report may have been made just before.
    calls.settleByReport(start + settings.longestCallDelay);
    CHECK(calls.lastStart(task) == start);
    CHECK(calls.lastStart(other) == later);
    calls.settleByReport(over(start));
    CHECK_FALSE(calls.lastStart(task));
    CHECK(calls.lastStart(other) == later);
    CHECK(calls.hasStarts());
    calls.settleByReport(over(later));
    CHECK_FALSE(calls.hasStarts());
}

TEST_CASE_FIXTURE(Calls, "an order that is settled doesn't come back with its late answer, and may be sent again")
{
    calls.startSent(task, start);
    calls.settleByReport(over(start));
    calls.startSettled(task, start);
    CHECK_FALSE(calls.hasStarts());
    const Common::MonotonicTime again = over(start) + 1s;
    calls.startSent(task, again);
    CHECK(calls.lastStart(task) == again);
    calls.startSettled(task, again);
    CHECK_FALSE(calls.hasStarts());
}

TEST_CASE_FIXTURE(Calls, "an order is overdue when its answer takes longer than answers may, or a copy had none")
{
    CHECK(calls.overdueStarts(start).empty());
    calls.startSent(task, start);
    CHECK(calls.overdueStarts(start).empty());
    CHECK(calls.overdueStarts(start + settings.answerTimeout).empty());
    CHECK_FALSE(calls.overdueStarts(start + settings.answerTimeout + step).empty());

    const Common::MonotonicTime second = start + 1s;
    calls.startSent(task, second);
    CHECK_FALSE(calls.overdueStarts(second).empty());
    calls.startSettled(task, second);
    CHECK_FALSE(calls.overdueStarts(second).empty());
    // Another task's order in time changes nothing.
    calls.startSent(other, second);
    calls.startSettled(other, second);
    CHECK_FALSE(calls.overdueStarts(second).empty());
    calls.settleByReport(over(start));
    CHECK(calls.overdueStarts(over(start)).empty());
}

TEST_CASE_FIXTURE(Calls, "an order in time isn't overdue beside a settled one")
{
    calls.startSent(task, start);
    calls.startSent(other, start + 500ms);
    calls.startSettled(task, start);
    CHECK(calls.overdueStarts(start + 500ms + settings.answerTimeout).empty());
    CHECK_FALSE(calls.overdueStarts(start + 500ms + settings.answerTimeout + step).empty());
}
