// Work that can still be on time goes first, so that a backlog doesn't make all work late.
#include "Policy/StartOrder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Policy;
using namespace std::chrono_literals;

namespace {

StartCandidate candidate(Common::Duration age, Common::Duration objective, Common::Duration remaining)
{
    return StartCandidate { 0, false, age, objective, remaining };
}

/// Runs jobs of one second on one server, with two arrivals a second for 20 seconds. Returns how many end within their
/// objective of four seconds.
template <typename Less> int endedInTime(Less before)
{
    struct Job {
        Common::Duration arrived;
    };
    std::vector<Job> waiting;
    int inTime = 0;
    Common::Duration now {};
    for (int second = 0; second < 40; ++second) {
        for (int arrival = 0; arrival < (second < 20 ? 2 : 0); ++arrival)
            waiting.push_back({ now });
        if (!waiting.empty()) {
            const auto next = std::min_element(waiting.begin(), waiting.end(),
                [&](const Job& a, const Job& b) { return before(now - a.arrived, now - b.arrived); });
            inTime += now + 1s - next->arrived <= 4s ? 1 : 0;
            waiting.erase(next);
        }
        now += 1s;
    }
    return inTime;
}

} // namespace

TEST_CASE("steps on time go before late and overdue ones, then by priority and latest start")
{
    const StartRank tight = rankStart(candidate(2s, 5s, 2s));
    const StartRank loose = rankStart(candidate(0s, 5s, 2s));
    const StartRank late = rankStart(candidate(8s, 5s, 2s));
    const StartRank overdue = rankStart(candidate(20s, 5s, 2s));
    CHECK(tight < loose);
    CHECK(loose < late);
    CHECK(late < overdue);
    StartCandidate second = candidate(0s, 5s, 2s);
    second.priority = 1;
    CHECK(loose < rankStart(second));
}

TEST_CASE("in a burst of twice the capacity more jobs end in time than with first in, first out")
{
    const auto ranked = [](Common::Duration a, Common::Duration b) {
        return rankStart(candidate(a, 4s, 1s)) < rankStart(candidate(b, 4s, 1s));
    };
    const auto firstInFirstOut = [](Common::Duration a, Common::Duration b) { return a > b; };
    CHECK(endedInTime(ranked) >= 18);
    CHECK(endedInTime(firstInFirstOut) <= 10);
}
