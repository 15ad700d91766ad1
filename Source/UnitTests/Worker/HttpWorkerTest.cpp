// Tests the worker adapter against the stand-in in one process, also with faults and answers for another task.
#include "Worker/HttpWorker.h"
#include "Http/Client.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "Scheduler/RunAnswer.h"
#include "Scheduler/RunCommand.h"
#include "StandIns/WorkerServer.h"

#include <doctest/doctest.h>

#include <algorithm>

using Common::ErrorCode;
using Common::TaskId;
using Fakes::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds longTimeout { 60 };

StandIns::WorkerServer::Settings standInSettings()
{
    StandIns::WorkerServer::Settings settings;
    settings.worker.worker = Common::WorkerId("w");
    settings.worker.boot = Common::WorkerBootId("b");
    settings.worker.rack = Common::RackId("r");
    settings.worker.capacity = { 8, 16000, 60000, 1 };
    return settings;
}

struct Fixture {
    Fixture()
        : server(loop, standInSettings())
        , client(loop, {})
        , syncClient(loop, {})
        , worker(client, syncClient)
        , address("127.0.0.1:" + std::to_string(*server.listen("127.0.0.1:0")))
    {
    }

    template <typename T, typename Start> Common::Result<T> await(const Start& start)
    {
        std::optional<Common::Result<T>> outcome;
        start([&](Common::Result<T> result) { outcome = std::move(result); });
        REQUIRE(runUntil(loop, [&] { return outcome.has_value(); }));
        return *outcome;
    }
    Common::Result<Scheduler::WorkerReport> sync(const Scheduler::SyncRequest& request)
    {
        return await<Scheduler::WorkerReport>(
            [&](auto callback) { worker.sync(address, request, longTimeout, callback); });
    }
    Common::Result<Scheduler::RunAnswer> run(const Scheduler::RunCommand& command)
    {
        return await<Scheduler::RunAnswer>([&](auto callback) { worker.run(address, command, callback); });
    }
    Scheduler::RunCommand runCommand(const std::string& task, const std::string& body)
    {
        Scheduler::RunCommand command;
        command.task = TaskId(task);
        command.boot = Common::WorkerBootId("b");
        command.startBy = server.state().clock() + longTimeout;
        command.service = Common::ServiceName("previews");
        command.declared = { 1, 250, 64, 0 };
        command.contentType = "text/plain";
        command.body = body;
        command.timeout = longTimeout;
        return command;
    }
    Scheduler::StartCommand startCommand(const std::string& task) const
    {
        return { TaskId(task), Common::WorkerBootId("b"), server.state().clock() + longTimeout, longTimeout,
            { 1, 1000, 100, 1 }, "{\"doneMs\":5}", R"({"runMs":600000})" };
    }

    Http::EventLoop loop;
    mutable StandIns::WorkerServer server;
    Http::Client client;
    Http::Client syncClient;
    Worker::HttpWorker worker;
    std::string address;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "A sync transmits claim, renewals and acknowledgements and returns the report")
{
    REQUIRE(await<Common::Done>([&](auto callback) { worker.start(address, startCommand("j#1"), callback); }));
    REQUIRE(await<Common::Done>([&](auto callback) { worker.start(address, startCommand("j#2"), callback); }));
    REQUIRE(await<Common::Done>(
        [&](auto callback) { worker.control(address, Scheduler::TaskControl::Stop, { TaskId("j#2") }, callback); }));
    Scheduler::SyncRequest request;
    request.daemon = Common::DaemonId("d@1");
    request.address = "127.0.0.1:9";
    request.claimTerm = Common::ClaimTerm { 7 };
    request.claimTimeToLive = seconds(5);
    request.tasksToRenew = { TaskId("j#1") };
    request.taskLeaseTimeToLive = std::chrono::hours(1);
    request.tasksToAcknowledge = { TaskId("j#2") };
    const auto report = sync(request);
    REQUIRE(report);
    CHECK(report->worker.value() == "w");
    CHECK(report->boot.value() == "b");
    CHECK(report->rack.value() == "r");
    CHECK(report->capacity == Common::Resources { 8, 16000, 60000, 1 });
    REQUIRE(report->claims.size() == 1);
    CHECK(report->claims[0].daemon == request.daemon);
    CHECK(report->claims[0].address == request.address);
    CHECK(report->claims[0].term.value == 7);
    CHECK(report->claims[0].expiresAt == report->clock + seconds(5));
    REQUIRE(report->tasks.size() == 1);
    const auto& task = report->tasks[0];
    CHECK(task.task.value() == "j#1");
    CHECK(task.state == Scheduler::TaskState::Running);
    CHECK(task.kind == Scheduler::TaskKind::Batch);
    CHECK(task.declared == Common::Resources { 1, 1000, 100, 1 });
    CHECK(task.checkpoint == "{\"doneMs\":5}");
    CHECK(task.leaseExpiresAt == report->clock + std::chrono::hours(1));
}

TEST_CASE_FIXTURE(Fixture, "Refused starts fail with the worker's reason")
{
    auto command = startCommand("t");
    command.startBy = { 0 };
    CHECK(await<Common::Done>([&](auto callback) { worker.start(address, command, callback); }).reason().code
        == ErrorCode::StartTooLate);
    auto request = runCommand("r#1", "x");
    request.boot = Common::WorkerBootId("other");
    CHECK(run(request).reason().code == ErrorCode::WorkerRebooted);
    CHECK(server.state().running() == 0);
}

TEST_CASE_FIXTURE(Fixture, "Each of many concurrent requests gets its own complete answer as soon as it ends")
{
    constexpr int count = 20;
    std::vector<int> order;
    for (int i = 0; i < count; ++i) {
        const std::string body = R"({"answerBytes":100000,"echo":")" + std::to_string(i) + R"(","runMs":)"
            + std::to_string((count - i) * 10) + "}";
        worker.run(address, runCommand("r#" + std::to_string(i), body), [&, i](const auto& answer) {
            REQUIRE(answer);
            CHECK(answer->task.value() == "r#" + std::to_string(i));
            CHECK(answer->body.size() > 100000);
            CHECK(answer->body.find("\"echo\":\"" + std::to_string(i) + "\"") != std::string::npos);
            order.push_back(i);
        });
    }
    REQUIRE(runUntil(loop, [&] { return order.size() == count; }));
    CHECK_FALSE(std::is_sorted(order.begin(), order.end()));
}

TEST_CASE_FIXTURE(Fixture, "An opaque body is returned unchanged")
{
    const std::string body("not\0json\xff", 9);
    const auto answer = run(runCommand("r#1", body));
    REQUIRE(answer);
    CHECK(answer->body == body);
    CHECK(answer->contentType == "text/plain");
}

TEST_CASE_FIXTURE(Fixture, "Failed work is distinguished from work whose answer is missing")
{
    StandIns::WorkerServer::Faults faults;
    faults.state.failAll = true;
    server.setFaults(faults);
    CHECK(run(runCommand("r#1", "x")).reason().code == ErrorCode::WorkFailed);
    faults = {};
    faults.silent = true;
    server.setFaults(faults);
    auto command = runCommand("r#2", "x");
    command.timeout = milliseconds(300);
    CHECK(run(command).reason().code == ErrorCode::Timeout);
}

TEST_CASE_FIXTURE(Fixture, "A sync does not wait for connections that requests hold")
{
    Http::Client oneConnection(loop, { .maximumConnectionsPerAddress = 1 });
    Worker::HttpWorker busyWorker(oneConnection, syncClient);
    bool answered = false;
    auto command = runCommand("r#1", R"({"runMs":600000})");
    command.timeout = std::chrono::hours(1);
    busyWorker.run(address, command, [&](const auto&) { answered = true; });
    REQUIRE(runUntil(loop, [&] { return server.calls("run") == 1; }));
    std::optional<bool> synced;
    busyWorker.sync(address, {}, longTimeout, [&](const auto& report) { synced = report.operator bool(); });
    REQUIRE(runUntil(loop, [&] { return synced.has_value(); }));
    CHECK(*synced);
    CHECK_FALSE(answered);
}

TEST_CASE("An answer or refusal for another task is a protocol error")
{
    Http::EventLoop loop;
    int status = 200;
    std::string body = "whole";
    Http::Server server(loop, {}, [&](const Http::Request&, const Http::Server::Responder& respond) {
        Http::Response response { status, {}, body };
        response.headers.set("X-Task", "r#other");
        respond(std::move(response));
    });
    const std::string address = "127.0.0.1:" + std::to_string(*server.listen("127.0.0.1:0"));
    Http::Client client(loop, {});
    Worker::HttpWorker worker(client, client);
    Scheduler::RunCommand command;
    command.task = TaskId("r#1");
    command.timeout = longTimeout;
    for (const int next : { 200, 409 }) {
        status = next;
        body = R"({"error":{"code":"start-too-late","message":""}})";
        std::optional<ErrorCode> code;
        worker.run(address, command, [&](const auto& answer) { code = answer.reason().code; });
        REQUIRE(runUntil(loop, [&] { return code.has_value(); }));
        CHECK(*code == ErrorCode::ProtocolError);
    }
}
