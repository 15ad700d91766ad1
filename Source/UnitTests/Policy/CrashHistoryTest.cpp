// A task is given up for crashes that it caused, not for those that it shared with other tasks.
#include "Policy/CrashHistory.h"

#include <doctest/doctest.h>

#include <string>

using namespace Policy;
using namespace std::chrono_literals;
using Isolation = CrashHistory::Isolation;

namespace {

CrashHistory historyOf(size_t crashes, size_t alone, size_t workers)
{
    CrashHistory history;
    for (size_t index = 0; index < crashes; ++index)
        history.add({ Common::WorkerId("w" + std::to_string(index % workers)), true, true, index < alone });
    return history;
}

} // namespace

TEST_CASE("three crashes give a task up only if one has no other cause")
{
    CHECK_FALSE(historyOf(2, 2, 2).isGivenUp());
    CHECK_FALSE(historyOf(3, 0, 3).isGivenUp());
    CHECK(historyOf(3, 1, 3).isGivenUp());
    CHECK(historyOf(4, 0, 4).isGivenUp());
}

TEST_CASE("three crashes of one worker don't give its task up")
{
    CHECK_FALSE(historyOf(3, 3, 1).isGivenUp());
    CHECK(historyOf(4, 4, 1).isGivenUp());
}

TEST_CASE("a start that the worker never confirmed proves little")
{
    CrashHistory history = historyOf(2, 2, 2);
    history.add({ Common::WorkerId("w9"), false, true, false });
    CHECK_FALSE(history.isGivenUp());
    history.add({ Common::WorkerId("w8"), false, true, false });
    CHECK(history.isGivenUp());
}

TEST_CASE("only one crash with a common cause is excused")
{
    CrashHistory history = historyOf(2, 2, 2);
    CHECK(history.mayBeExcused());
    history.addExcused();
    CHECK_FALSE(history.mayBeExcused());
    CHECK_FALSE(history.isGivenUp());
}

TEST_CASE("suspects are isolated")
{
    CHECK(historyOf(0, 0, 1).isolation() == Isolation::None);
    CHECK(historyOf(1, 0, 1).isolation() == Isolation::Preferred);
    CHECK(historyOf(2, 0, 2).isolation() == Isolation::Required);
    CrashHistory settled;
    settled.add({ Common::WorkerId("w1"), true, false, false });
    CHECK(settled.isolation() == Isolation::None);
    settled.add({ Common::WorkerId("w2"), true, false, false });
    CHECK(settled.isolation() == Isolation::Required);
}

TEST_CASE("a long-running task that has outlived its probation isn't blamed for a crash")
{
    const CrashHistory none;
    CHECK(none.counts(none.probation() - 1ms, true, false));
    CHECK_FALSE(none.counts(none.probation(), true, false));
    CHECK(none.counts(none.probation(), false, true));
}

TEST_CASE("a suspect that has outlived its probation isn't blamed beside newer runs")
{
    const CrashHistory suspect = historyOf(2, 0, 2);
    CHECK(suspect.counts(suspect.probation() - 1ms, false, true));
    CHECK_FALSE(suspect.counts(suspect.probation(), false, true));
    CHECK(suspect.counts(suspect.probation(), false, false));
}

TEST_CASE("a start that may be the last waits for news of silent workers")
{
    CrashHistory history = historyOf(2, 0, 2);
    CHECK_FALSE(history.awaitsConfirmation());
    history.unconfirmed = 1;
    CHECK(history.awaitsConfirmation());
}

TEST_CASE("workers of a rack that crash together have a common cause")
{
    CHECK(isCommonCause(4, 4));
    CHECK_FALSE(isCommonCause(3, 4));
    CHECK_FALSE(isCommonCause(2, 2));
}
