// Retries and bytes on the link stay within their budgets.
#include "Policy/RetryBudget.h"

#include "Policy/LinkBudget.h"

#include <doctest/doctest.h>

using namespace Policy;
using namespace std::chrono_literals;
using Common::MonotonicTime;

TEST_CASE("retries stay within the share of successes plus the refill over time")
{
    RetryBudget budget(10, { .tricklePerSecond = 0.2, .capacity = 50, .initialTokens = 3 });
    MonotonicTime now { 1h };
    int retries = 0;
    for (int second = 0; second < 100; ++second) {
        now += 1s;
        for (int i = 0; i < 10; ++i) {
            budget.onSuccess();
            for (int attempt = 0; attempt < 5; ++attempt)
                retries += budget.take(now);
        }
    }
    CHECK(retries <= 100 + 20 + 3);
    CHECK(retries >= 100 + 18);
}

TEST_CASE("a service with little traffic may retry occasionally, and a budget of zero percent never allows a retry")
{
    RetryBudget quiet(10);
    RetryBudget none(0);
    MonotonicTime now { 1h };
    while (quiet.take(now)) { }
    CHECK_FALSE(quiet.take(now + 2s));
    CHECK(quiet.take(now + 10s));
    none.onSuccess();
    CHECK_FALSE(none.take(now + 1h));
}

TEST_CASE("the link never carries more than rate and burst")
{
    LinkBudget link(1000, 500);
    MonotonicTime now { 1h };
    int64_t sent = 0;
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        if (link.take(100, now))
            sent += 100;
    }
    CHECK(sent <= 10 * 1000 + 500);
    CHECK(sent >= 10 * 1000);
    CHECK_FALSE(link.take(600, now + 1h));
    CHECK(link.available(now + 2h) == 500);
}
