// What can still be on time goes first, so that a backlog doesn't make everything late.
#include "Policy/StartOrder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Policy;
using namespace std::chrono_literals;

namespace {

StartCandidate standing(Common::Duration age, Common::Duration objective, Common::Duration remaining)
{
    return StartCandidate { 0, false, age, objective, remaining };
}

/// Jobs of one second on one server, two a second for a while: how many end within their objective of four seconds.
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

TEST_CASE("on time before late before overdue, then by priority and by latest start")
{
    const StartRank tight = rankStart(standing(2s, 5s, 2s));
    const StartRank loose = rankStart(standing(0s, 5s, 2s));
    const StartRank late = rankStart(standing(8s, 5s, 2s));
    const StartRank overdue = rankStart(standing(20s, 5s, 2s));
    CHECK(tight < loose);
    CHECK(loose < late);
    CHECK(late < overdue);
    StartCandidate second = standing(0s, 5s, 2s);
    second.priority = 1;
    CHECK(loose < rankStart(second));
}

TEST_CASE("in a burst of twice the capacity more callers are served in time than first in first out serves")
{
    const auto ranked = [](Common::Duration a, Common::Duration b) {
        return rankStart(standing(a, 4s, 1s)) < rankStart(standing(b, 4s, 1s));
    };
    const auto firstInFirstOut = [](Common::Duration a, Common::Duration b) { return a > b; };
    CHECK(endedInTime(ranked) >= 18);
    CHECK(endedInTime(firstInFirstOut) <= 10);
}
