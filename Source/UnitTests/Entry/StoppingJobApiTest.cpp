// A process that stops answers each call that it has read before it ends.
#include "Cells/ConfigFollower.h"
#include "Cells/Fleet.h"
#include "LavendercartEntry/JobApi.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace CellTests;
using namespace std::chrono_literals;
using Jobs::JobPhase;

namespace {

constexpr int draining = 503;
constexpr int outcomeUnknown = 504;

/// A configuration with one route.
class DeskConfig final : public Cells::ConfigSource {
public:
    void read(Common::Callback<Cells::ConfigText> done) override { done(Cells::ConfigText { "1", {} }); }
    void watch(Common::StoreRevision, Common::Duration, Common::Callback<Cells::ConfigText>) override { }
    Common::Result<Cells::ServingConfig> decode(std::string_view) const override
    {
        Cells::ServingConfig config;
        config.version = 1;
        config.routes.push_back({ CellWorld::job(1, "", 1).policy, "desk.example", "/desk/", 3s });
        return config;
    }
};

struct CallOutcome {
    int answers = 0;
    int status = 0;
    Common::MonotonicTime sentAt;
    Common::MonotonicTime answeredAt;
};

/// Serves callers at a host that owns no cell.
struct StoppingWorld : Fleet {
    StoppingWorld()
        : host(other())
        , follower(host.process, source, host.peer)
        , api(host.process, host.front, follower, metrics)
    {
        follower.start();
        clock.advance(10ms);
    }

    std::shared_ptr<CallOutcome> call(const std::string& method, uint64_t number)
    {
        Http::Request request;
        request.method = method;
        request.target = "/desk/" + jobId(number).value();
        request.headers.set("Host", "desk.example");
        request.headers.set("X-Deadline-Ms", "3000");
        if (method == "POST")
            request.body = R"({"spec":"run:60000","phases":[{"count":1,"cpu":1000,"mem_mb":10}]})";
        auto outcome = std::make_shared<CallOutcome>();
        outcome->sentAt = clock.now();
        api.serve(request, [this, outcome](const Http::Response& response) {
            ++outcome->answers;
            outcome->status = response.status;
            outcome->answeredAt = clock.now();
        });
        return outcome;
    }
    /// The process stops; returns when it answers the last calls.
    Common::MonotonicTime stopIn(Common::Duration time)
    {
        api.answerAllBy(host.process.now() + time);
        return clock.now() + time;
    }

    WorldHost& host;
    DeskConfig source;
    Cells::ConfigFollower follower;
    Common::Metrics metrics;
    Entry::JobApi api;
};

} // namespace

// LOST: the process ended while calls were under way, and their callers got no answer.
TEST_CASE("calls that are under way when the process stops get one final answer")
{
    StoppingWorld world;
    WorldHost& owner = *world.owner();
    owner.process.pause();
    world.store.down = true;
    std::vector<std::shared_ptr<CallOutcome>> calls;
    const auto callAll = [&] {
        const auto first = static_cast<uint64_t>(calls.size());
        calls.push_back(world.call("POST", first + 1));
        calls.push_back(world.call("GET", first + 1));
        calls.push_back(world.call("DELETE", first + 2));
    };
    callAll();
    const Common::MonotonicTime end = world.stopIn(1s);
    world.clock.advance(400ms);
    callAll();
    world.clock.advance(700ms);
    for (const auto& call : calls) {
        CHECK(call->answers == 1);
        CHECK((call->status == draining || call->status == outcomeUnknown));
        CHECK(call->answeredAt <= end);
    }
    CHECK(world.api.underWay() == 0);
    world.store.down = false;
    owner.process.resume();
    world.clock.advance(20s);
    for (const auto& call : calls)
        CHECK(call->answers == 1);
}

// LOST: up to its end the process took calls that it had no time to answer.
TEST_CASE("a stopping process serves calls while there is time and rejects later ones at once")
{
    StoppingWorld world;
    const Common::MonotonicTime end = world.stopIn(2s);
    const auto served = world.call("POST", 1);
    world.clock.advance(1s);
    CHECK(served->status == 200);
    world.clock.advance(900ms);
    const auto late = world.call("POST", 2);
    world.clock.advance(200ms);
    REQUIRE(world.clock.now() > end);
    const auto afterEnd = world.call("POST", 3);
    for (const auto& call : { late, afterEnd }) {
        CHECK(call->answers == 1);
        CHECK(call->status == draining);
        CHECK(call->answeredAt == call->sentAt);
    }
    world.clock.advance(3s);
    CHECK(world.phase(world.host, 1) == JobPhase::Running);
    CHECK_FALSE(world.phase(world.host, 2));
    CHECK_FALSE(world.phase(world.host, 3));
}
