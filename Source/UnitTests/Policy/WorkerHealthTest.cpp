// Bad workers are ejected, bad work ejects no worker, and ejections are bounded and temporary.
#include "Policy/WorkerHealth.h"

#include <doctest/doctest.h>

#include <random>

using namespace Policy;
using namespace std::chrono_literals;
using Common::MonotonicTime;
using Common::WorkerId;
using Verdict = WorkerHealth::Verdict;

namespace {

WorkerId worker(size_t number) { return WorkerId("w" + std::to_string(number)); }

WorkerHealth healthOf(size_t workers)
{
    WorkerHealth health;
    for (size_t i = 0; i < workers; ++i)
        health.add(worker(i));
    return health;
}

} // namespace

TEST_CASE("a worker that fails distinct jobs is ejected after a few, then tried, then readmitted")
{
    WorkerHealth health = healthOf(10);
    MonotonicTime now { 1h };
    for (int i = 0; i < 100; ++i)
        health.recordOutcome(worker(1 + i % 9), "good" + std::to_string(i), true, now);
    int failures = 0;
    while (health.admits(worker(0), now)) {
        health.recordOutcome(worker(0), "job" + std::to_string(failures), false, now);
        REQUIRE(++failures < 10);
    }
    CHECK(failures >= 3);
    CHECK(failures <= 5);
    now += 10s;
    CHECK(health.admits(worker(0), now));
    health.recordStart(worker(0), now);
    CHECK_FALSE(health.admits(worker(0), now + 1s));
    CHECK(health.recordOutcome(worker(0), "again", false, now + 1s) == Verdict::Ejected);
    CHECK_FALSE(health.admits(worker(0), now + 12s));
    now += 40s;
    Verdict verdict = Verdict::Unchanged;
    for (int i = 0; i < 6; ++i) {
        REQUIRE(verdict == Verdict::Unchanged);
        REQUIRE(health.admits(worker(0), now));
        health.recordStart(worker(0), now);
        now += 2s;
        verdict = health.recordOutcome(worker(0), "fine" + std::to_string(i), true, now);
    }
    CHECK(verdict == Verdict::Readmitted);
    CHECK(health.ejectedCount() == 0);
}

TEST_CASE("a worker is ejected when one service fails only there")
{
    WorkerHealth health = healthOf(10);
    const MonotonicTime now { 1h };
    for (int i = 0; i < 400 && health.admits(worker(3), now); ++i)
        health.recordOutcome(worker(i % 10), "preview", i % 10 != 3, now);
    CHECK_FALSE(health.admits(worker(3), now));
    CHECK(health.ejectedCount() == 1);
    CHECK_FALSE(health.isPoison("preview"));
}

TEST_CASE("jobs that fail on every worker are poison and eject no worker")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        WorkerHealth health = healthOf(20);
        std::mt19937_64 random(seed);
        const MonotonicTime now { 1h };
        for (int job = 0; job < 600; ++job) {
            const bool poison = random() % 10 < 2;
            const std::string name = "job" + std::to_string(job);
            const size_t first = random() % 20;
            for (size_t attempt = 0; attempt < (poison ? 3 : 1); ++attempt)
                health.recordOutcome(worker((first + attempt * 7) % 20), name, !poison, now);
            REQUIRE(health.isPoison(name) == poison);
        }
        CHECK(health.ejectedCount() == 0);
    }
}

TEST_CASE("a service that often fails on every worker ejects no worker")
{
    WorkerHealth health = healthOf(20);
    std::mt19937_64 random(7);
    for (int i = 0; i < 20000; ++i)
        health.recordOutcome(worker(random() % 20), "flaky", random() % 10 >= 4, MonotonicTime { 1h });
    CHECK(health.ejectedCount() == 0);
}

TEST_CASE("random outcomes never eject more than the allowed share of workers")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        const size_t workers = 1 + seed * 3;
        WorkerHealth health = healthOf(workers);
        std::mt19937_64 random(seed);
        MonotonicTime now { 1h };
        for (int i = 0; i < 5000; ++i) {
            now += Common::Duration(random() % 100000);
            const size_t on = random() % workers;
            if (health.admits(worker(on), now))
                health.recordStart(worker(on), now);
            const bool bad = on * 2 < workers;
            health.recordOutcome(worker(on), "j" + std::to_string(random() % 3000), !bad, now);
            REQUIRE(health.ejectedCount() * 100 <= 30 * workers);
        }
    }
}

TEST_CASE("a silent worker gets no work until it is reachable again")
{
    WorkerHealth health = healthOf(2);
    health.markSilent(worker(0));
    CHECK_FALSE(health.admits(worker(0), MonotonicTime { 1h }));
    health.markReachable(worker(0));
    CHECK(health.admits(worker(0), MonotonicTime { 1h }));
}
