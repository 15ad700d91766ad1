// Tests that a worker's report is read completely or not at all, and how commands are encoded.
#include "Worker/WorkerCodec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace {

json goodReport()
{
    return json::parse(R"({"worker":"w1","boot":"b1","clock":1234,"rack":"r1",
        "capacity":{"slots":8,"milliCores":64000,"memoryMb":250000,"accelerators":1},"leaving":false,
        "claims":[{"daemon":"d1","address":"127.0.0.1:1","term":9,"madeAt":1000,"lapsesAt":7000}],
        "tasks":[{"task":"j#1","kind":"batch","state":"running","declared":{"slots":1,"milliCores":500,"memoryMb":256},
                  "used":{"milliCores":700,"memoryMb":300},"speed":800,"sampledAt":900,"lease":16000,"checkpoint":"c1",
                  "throttled":true}]})");
}

} // namespace

TEST_CASE("a complete report is read")
{
    const auto report = Worker::decodeReport(goodReport().dump());
    REQUIRE(report);
    CHECK(report->worker.value() == "w1");
    CHECK(report->clock == Common::WorkerTime { 1234 });
    CHECK(report->capacity.accelerators == 1);
    REQUIRE(report->claims.size() == 1);
    CHECK(report->claims[0].term == Common::ClaimTerm { 9 });
    REQUIRE(report->tasks.size() == 1);
    CHECK(report->tasks[0].state == Scheduler::TaskState::Running);
    CHECK(report->tasks[0].used.memoryMegabytes == 300);
    CHECK(report->tasks[0].speedPerMille == 800);
    CHECK(report->tasks[0].checkpoint == "c1");
}

TEST_CASE("a report without a required member or a truncated one is a failure")
{
    for (const char* member : { "worker", "boot", "clock", "capacity", "claims", "tasks" }) {
        json report = goodReport();
        report.erase(member);
        const auto read = Worker::decodeReport(report.dump());
        REQUIRE_FALSE(read);
        CHECK(read.reason().code == Common::ErrorCode::ProtocolError);
    }
    const std::string whole = goodReport().dump();
    for (size_t length = 0; length < whole.size(); length += 7)
        CHECK_FALSE(Worker::decodeReport(whole.substr(0, length)));
}

TEST_CASE("a command that is JSON is sent as JSON, any other as text")
{
    Scheduler::StartCommand command;
    command.task = Common::TaskId("j#1");
    command.command = R"({"runMs":5})";
    CHECK(json::parse(Worker::encodeStart(command))["command"]["runMs"] == 5);
    command.command = "cut timber";
    CHECK(json::parse(Worker::encodeStart(command))["command"] == "cut timber");
}
