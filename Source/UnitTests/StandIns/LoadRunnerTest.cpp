// Tests the load generator against simulated daemons and a worker stand-in.
#include "StandIns/LoadTool/LoadRunner.h"

#include "Http/ErrorBody.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "Http/Server.h"
#include "StandIns/WorkerServer.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using nlohmann::json;
using StandIns::LoadOutcome;
using StandIns::LoadRunner;
using StandIns::LoadStats;
using std::chrono::milliseconds;

namespace {

json runLoad(Http::EventLoop& loop, const LoadRunner::Settings& settings)
{
    bool finished = false;
    LoadRunner runner(loop, settings);
    runner.start([&] { finished = true; });
    REQUIRE(Fakes::runUntil(loop, [&] { return finished; }));
    return runner.stats().summary(runner.elapsed());
}

LoadRunner::Settings settingsFor(Http::Server& daemon)
{
    LoadRunner::Settings settings;
    settings.targets = { "127.0.0.1:" + std::to_string(*daemon.listen("127.0.0.1:0")) };
    settings.connections = 2;
    settings.duration = milliseconds(50);
    settings.deadline = std::chrono::seconds(30);
    return settings;
}

} // namespace

TEST_CASE("percentiles are those of the sorted latencies")
{
    LoadStats stats;
    CHECK(stats.percentile(99).count() == 0);
    for (int i = 100; i >= 1; --i)
        stats.countOutcome(LoadOutcome::Answer, Common::Duration(i));
    stats.countOutcome(LoadOutcome::NotRun, Common::Duration(1000));
    CHECK(stats.percentile(50).count() == 50);
    CHECK(stats.percentile(99).count() == 99);
    CHECK(stats.percentile(100).count() == 100);
    CHECK(stats.ended() == 101);
}

TEST_CASE("refused requests are retried immediately and end as not run")
{
    Http::EventLoop loop;
    Http::Server daemon(loop, {}, [](const Http::Request&, const Http::Server::Responder& respond) {
        Http::Response response = Http::errorResponse(Common::ErrorCode::Overloaded, "");
        response.headers.set("X-Outcome", "not-run");
        respond(std::move(response));
    });
    auto settings = settingsFor(daemon);
    settings.retries = 2;
    const json summary = runLoad(loop, settings);
    CHECK(summary["sent"] > 0);
    CHECK(summary["notRun"] == summary["sent"]);
    CHECK(summary["attempts"] == 3 * summary["sent"].get<int>());
    CHECK(summary["errors"]["overloaded"] == summary["attempts"]);
}

TEST_CASE("an answer to another request is counted as wrong")
{
    Http::EventLoop loop;
    Http::Server daemon(loop, {}, [](const Http::Request&, const Http::Server::Responder& respond) {
        respond(Http::jsonResponse(200, R"({"echo":"another"})"));
    });
    const json summary = runLoad(loop, settingsFor(daemon));
    CHECK(summary["wrongAnswers"] == summary["sent"]);
    CHECK(summary["answers"] == 0);
}

TEST_CASE("callers with a timeout give up and retry")
{
    Http::EventLoop loop;
    Http::Server daemon(loop, {}, [](const Http::Request&, const Http::Server::Responder&) {});
    auto settings = settingsFor(daemon);
    settings.giveUpAfter = milliseconds(300);
    settings.retries = 1;
    const json summary = runLoad(loop, settings);
    CHECK(summary["gaveUp"] == summary["sent"]);
    CHECK(summary["errors"]["timeout"] == 2 * summary["sent"].get<int>());
}

TEST_CASE("direct load at a rate gets complete answers from the worker")
{
    Http::EventLoop loop;
    StandIns::WorkerServer::Settings worker;
    worker.worker.worker = Common::WorkerId("w");
    worker.worker.boot = Common::WorkerBootId("b");
    worker.worker.capacity = { 8, 64000, 60000, 0 };
    StandIns::WorkerServer server(loop, worker);
    LoadRunner::Settings settings;
    settings.targets = { "127.0.0.1:" + std::to_string(*server.listen("127.0.0.1:0")) };
    settings.rate = 500;
    settings.duration = milliseconds(200);
    settings.requestTime = milliseconds(1);
    settings.answerBytes = 10'000;
    settings.deadline = std::chrono::seconds(30);
    settings.direct = true;
    const json summary = runLoad(loop, settings);
    CHECK(summary["sent"] > 0);
    CHECK(summary["answers"] == summary["sent"]);
    CHECK(summary["p50Ms"] >= 1.0);
    CHECK(server.calls("run") == summary["sent"]);
}
