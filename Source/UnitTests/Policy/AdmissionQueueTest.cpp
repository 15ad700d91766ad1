// Admission refuses requests that can't be served in time, orders waiting requests and stays within its bounds.
#include "Policy/AdmissionQueue.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

using namespace Policy;
using namespace std::chrono_literals;
using Common::ErrorCode;
using Common::MonotonicTime;
using Common::ProfileName;
using Common::RequestId;
using Common::TeamName;
using Scheduler::Priority;

namespace {

const ProfileName preview("preview");
const TeamName counter("counter");

struct Bench {
    AdmissionQueue queue { AdmissionQueue::Settings {} };
    MonotonicTime now { 1h };
    int lastId = 0;

    Bench()
    {
        Scheduler::ClusterConfig config;
        config.profiles[preview] = Scheduler::Profile { .name = preview };
        config.profiles[preview].maximumQueued = 400;
        config.teams[counter] = Scheduler::TeamConfig { .name = counter };
        config.teams[TeamName("small")].maximumConcurrentRequests = 2;
        queue.setConfig(std::make_shared<Scheduler::ClusterConfig>(config));
    }
    QueuedRequest request(Common::Duration timeLeft = 2s, Priority priority = Priority::Normal)
    {
        return QueuedRequest { RequestId("r" + std::to_string(++lastId)), preview, counter, priority, now,
            now + timeLeft };
    }
    bool admits(const QueuedRequest& request)
    {
        return std::holds_alternative<AdmissionQueue::Admitted>(queue.offer(request, now));
    }
    std::optional<ErrorCode> refusal(const QueuedRequest& request)
    {
        const AdmissionQueue::Offer offer = queue.offer(request, now);
        const auto* refused = std::get_if<AdmissionQueue::Refused>(&offer);
        return refused ? std::optional(refused->failure.code) : std::nullopt;
    }
    /// Keeps the queue waiting while it empties at `perSecond`, for one second.
    void drain(int perSecond)
    {
        for (int i = 0; i < perSecond; ++i) {
            now += Common::Duration(1s) / perSecond;
            queue.takeNext(now);
            queue.onCompleted(preview, counter, 10ms, true, now);
            queue.offer(request(), now);
        }
    }
};

} // namespace

TEST_CASE("a request that would wait beyond its deadline is refused at once with a retry delay")
{
    Bench bench;
    for (int i = 0; i < 50; ++i)
        REQUIRE(bench.admits(bench.request()));
    bench.drain(100);
    const size_t waiting = bench.queue.size();
    REQUIRE(waiting > 15);
    CHECK(bench.admits(bench.request(50ms)));
    QueuedRequest last = bench.request(2s);
    const AdmissionQueue::Offer offer = bench.queue.offer(last, bench.now);
    REQUIRE(std::holds_alternative<AdmissionQueue::Refused>(offer));
    const Common::Failure& failure = std::get<AdmissionQueue::Refused>(offer).failure;
    CHECK(failure.code == ErrorCode::Overloaded);
    REQUIRE(failure.retryAfter);
    CHECK(*failure.retryAfter > 0ms);
    CHECK(bench.queue.size() == waiting + 1);
}

TEST_CASE("refused callers get different retry delays")
{
    Bench bench;
    for (int i = 0; i < 50; ++i)
        REQUIRE(bench.admits(bench.request()));
    bench.drain(100);
    std::set<Common::Duration> times;
    for (int i = 0; i < 100; ++i) {
        const AdmissionQueue::Offer offer = bench.queue.offer(bench.request(), bench.now);
        if (const auto* refused = std::get_if<AdmissionQueue::Refused>(&offer))
            times.insert(*refused->failure.retryAfter);
    }
    CHECK(times.size() > 50);
    CHECK(*times.rbegin() - *times.begin() > 300ms);
}

TEST_CASE("refusals carry the reason")
{
    Bench bench;
    CHECK(AdmissionQueue({}).offer(bench.request(), bench.now).index() == 1);
    QueuedRequest unknown = bench.request();
    unknown.profile = ProfileName("none");
    CHECK(bench.refusal(unknown) == ErrorCode::UnknownProfile);
    CHECK(bench.refusal(bench.request(-1ms)) == ErrorCode::DeadlinePassed);
    QueuedRequest slow = bench.request(100ms);
    slow.expectedRunTime = 200ms;
    CHECK(bench.refusal(slow) == ErrorCode::DeadlineUnreachable);
    const QueuedRequest twice = bench.request();
    CHECK(bench.admits(twice));
    CHECK(bench.refusal(twice) == ErrorCode::DuplicateId);
    while (bench.queue.size() < 400)
        REQUIRE(bench.admits(bench.request()));
    CHECK(bench.refusal(bench.request()) == ErrorCode::Overloaded);
}

TEST_CASE("a team's quota counts waiting and running requests until they end")
{
    Bench bench;
    const auto ofTeam = [&] {
        QueuedRequest request = bench.request();
        request.team = TeamName("small");
        return request;
    };
    const QueuedRequest first = ofTeam();
    CHECK(bench.admits(first));
    CHECK(bench.admits(ofTeam()));
    CHECK(bench.refusal(ofTeam()) == ErrorCode::QuotaExceeded);
    CHECK(bench.queue.takeNext(bench.now)->id == first.id);
    CHECK(bench.refusal(ofTeam()) == ErrorCode::QuotaExceeded);
    bench.queue.onCompleted(preview, TeamName("small"), 5ms, true, bench.now);
    const QueuedRequest third = ofTeam();
    CHECK(bench.admits(third));
    CHECK(bench.queue.cancel(third.id, bench.now));
    CHECK_FALSE(bench.queue.cancel(third.id, bench.now));
    CHECK(bench.admits(ofTeam()));
}

TEST_CASE("urgent requests go first, then the earliest deadline within a priority, and low priority is never starved")
{
    Bench bench;
    const QueuedRequest late = bench.request(900ms);
    const QueuedRequest early = bench.request(300ms);
    const QueuedRequest urgent = bench.request(2s, Priority::Urgent);
    for (const QueuedRequest& request : { late, early, urgent })
        REQUIRE(bench.admits(request));
    CHECK(bench.queue.takeNext(bench.now)->id == urgent.id);
    CHECK(bench.queue.takeNext(bench.now)->id == early.id);
    CHECK(bench.queue.takeNext(bench.now)->id == late.id);
    REQUIRE(bench.admits(bench.request(2s, Priority::Low)));
    int before = 0;
    for (;; ++before) {
        REQUIRE(bench.admits(bench.request(2s, Priority::Urgent)));
        if (bench.queue.takeNext(bench.now)->priority == Priority::Low)
            break;
        REQUIRE(before < 1000);
    }
    CHECK(before > 100);
}

TEST_CASE("a request that can't meet its deadline is dropped and never dispatched")
{
    Bench bench;
    const QueuedRequest shortOne = bench.request(100ms);
    const QueuedRequest longOne = bench.request(2s);
    REQUIRE(bench.admits(shortOne));
    REQUIRE(bench.admits(longOne));
    CHECK(*bench.queue.nextExpiry() == shortOne.deadline + 1us);
    bench.now += 150ms;
    CHECK(bench.queue.takeNext(bench.now)->id == longOne.id);
    CHECK_FALSE(bench.queue.takeNext(bench.now));
    CHECK(bench.queue.dropExpired(bench.now) == std::vector { shortOne.id });
    CHECK(bench.queue.empty());
    CHECK(bench.queue.underWay(counter) == 1);
}

TEST_CASE("a slow phase doesn't cause refusals forever")
{
    Bench bench;
    bench.queue.onCompleted(preview, counter, 10s, true, bench.now);
    CHECK(bench.refusal(bench.request()) == ErrorCode::DeadlineUnreachable);
    bench.now += 60s;
    CHECK(bench.admits(bench.request()));
}

TEST_CASE("a queue that has waited for less than one run refuses no request because of its drain rate")
{
    Bench bench;
    // All workers are busy with runs of 150 ms; none can have ended yet.
    REQUIRE(bench.admits(bench.request(4s)));
    for (const auto waited : { 60ms, 90ms, 120ms, 145ms }) {
        bench.now = MonotonicTime { 1h } + waited;
        CHECK(bench.admits(bench.request(4s)));
    }
}

TEST_CASE("the estimated drain rate falls the longer no request leaves the queue")
{
    Bench bench;
    REQUIRE(bench.admits(bench.request(4s)));
    bench.now += 100ms;
    CHECK(bench.admits(bench.request(800ms)));
    bench.now += 800ms;
    CHECK(bench.refusal(bench.request(800ms)) == ErrorCode::DeadlineUnreachable);
}

TEST_CASE("a few very long runs don't dominate the run time estimate")
{
    Bench bench;
    for (int i = 0; i < 200; ++i)
        bench.queue.onCompleted(preview, counter, i % 20 == 0 ? 30s : 10ms, true, bench.now);
    CHECK(bench.queue.runTime(preview, bench.now) < 20ms);
}

TEST_CASE("random offers, takes, cancels and drops keep the counts right")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Bench bench;
        std::mt19937_64 random(seed);
        std::set<RequestId> waiting;
        size_t running = 0;
        for (int step = 0; step < 2000; ++step) {
            bench.now += Common::Duration(random() % 5000);
            switch (random() % 5) {
            case 0:
            case 1: {
                const auto priority = static_cast<Priority>(random() % 4);
                const QueuedRequest request = bench.request(Common::Duration(random() % 1000000 + 1), priority);
                if (bench.admits(request))
                    waiting.insert(request.id);
                break;
            }
            case 2:
                if (const auto taken = bench.queue.takeNext(bench.now)) {
                    REQUIRE(waiting.erase(taken->id) == 1);
                    REQUIRE(taken->deadline >= bench.now);
                    ++running;
                    if (random() % 4 == 0) {
                        bench.queue.putBack(*taken, bench.now);
                        waiting.insert(taken->id);
                        --running;
                    }
                }
                break;
            case 3:
                if (!waiting.empty() && bench.queue.cancel(*waiting.begin(), bench.now))
                    waiting.erase(waiting.begin());
                if (running > 0) {
                    bench.queue.onCompleted(preview, counter, 1ms, true, bench.now);
                    --running;
                }
                break;
            default:
                for (const RequestId& id : bench.queue.dropExpired(bench.now))
                    REQUIRE(waiting.erase(id) == 1);
            }
            REQUIRE(bench.queue.size() == waiting.size());
            REQUIRE(bench.queue.underWay(counter) == waiting.size() + running);
        }
    }
}
