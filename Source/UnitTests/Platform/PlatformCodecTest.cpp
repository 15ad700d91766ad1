// Decoding of the platform's messages: valid ones are read field by field, malformed ones fail or are skipped.
#include "platform/JobCalls.h"
#include "platform/OperatorConfig.h"
#include "platform/WorkerCalls.h"
#include "platform/WorkerRegistry.h"

#include "Fakes/FakeRecordStore.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Platform;
using namespace std::chrono_literals;

namespace {

Scheduler::StoreValue entry(const std::string& text) { return { "servers/i-1a2b", text, {} }; }

constexpr const char* readyEntry
    = R"({"service":"s1","address":"10.1.1.1:80","zone":"z1","version":"v1","slots":8,"state":"ready","seq":4,
          "cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":2},"labels":["a","r1-3"],"born":17,
          "clock_ms":5,"a_new_field":[1]})";

Http::Request call(const std::string& method, const std::string& body = {})
{
    Http::Request request;
    request.method = method;
    request.body = body;
    return request;
}

constexpr const char* id = "5c0e7a21d94b36f8";

} // namespace

TEST_CASE("a worker's entry is read with its capacity, rack and start time")
{
    const auto worker = readWorkerEntry(entry(readyEntry));
    REQUIRE(worker);
    CHECK(worker->id.value() == "i-1a2b");
    CHECK(worker->capacity.milliCores == 16000);
    CHECK(worker->capacity.accelerators == 2);
    CHECK(worker->rack.value() == "r1-3");
    CHECK(worker->startedAtMilliseconds == 17);
    CHECK_FALSE(worker->draining);
}

TEST_CASE("an unreadable or unknown entry yields no worker")
{
    for (const char* const text : { "", "\xff\xfe", "[]", "{}", R"({"state":"ready"})", R"({"state":5})",
             R"({"service":"s","address":7,"zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}})",
             R"({"service":"s","address":"a:1","zone":"z","state":"resting","capacity":{"cpu":1,"mem_mb":1}})",
             R"({"service":"s","address":"a:1","zone":"z","state":"ready","capacity":{"cpu":"1","mem_mb":1}})" })
        CHECK_FALSE(readWorkerEntry(entry(text)));
}

TEST_CASE("a report's readable rows are decoded and the others are counted")
{
    const auto report = readReport(nlohmann::json::parse(R"({"clock_ms":482113,"born":9,
        "running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,12],["nonsense",1,"",0],[5]],
        "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"vanished",""]]})"));
    REQUIRE(report);
    CHECK(report->clock.milliseconds == 482113);
    REQUIRE(report->running.size() == 1);
    CHECK(report->running[0].task.step == 1);
    CHECK(report->running[0].task.index == 17);
    CHECK(report->running[0].percent == 41);
    CHECK(report->running[0].load == 12);
    REQUIRE(report->ended.size() == 1);
    CHECK(report->ended[0].number == 58);
    CHECK(report->unreadable == 3);
    CHECK_FALSE(readReport(nlohmann::json::parse(R"({"running":[]})")));
}

TEST_CASE("an encoded task name is decoded to the same task")
{
    const Jobs::TaskName task { Common::JobId(id), 3, 1, 20 };
    CHECK(encodeTask(task) == "5c0e7a21d94b36f8.3.1.20");
    CHECK(decodeTask(encodeTask(task)) == task);
    for (const char* const text : { "", id, "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.x.1", "5c0e.0.1.1" })
        CHECK_FALSE(decodeTask(text));
}

TEST_CASE("a submission is read field by field")
{
    const auto read = readCall(call("POST", R"({"spec":"text","phases":[
        {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},
        {"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0],"checkpoints":true,"fills":true,
         "image":"i","target_ms":18,"long_running":true,"max_per_server":2}]})"),
        id);
    REQUIRE(read);
    const auto& submission = std::get<SubmitCall>(*read);
    REQUIRE(submission.spec.steps.size() == 2);
    CHECK(submission.spec.steps[0].resources.milliCores == 500);
    CHECK(submission.spec.steps[0].preferredRack.value() == "r1-3");
    const Jobs::StepSpec& second = submission.spec.steps[1];
    CHECK(second.after == std::vector<uint32_t> { 0 });
    CHECK((second.supportsCheckpoints && second.backfill && second.longRunning));
    CHECK(second.latencyTarget == 18ms);
    CHECK(second.maximumPerWorker == 2);
}

TEST_CASE("a malformed submission is refused with the field that is wrong")
{
    const auto reason = [](const std::string& body) { return readCall(call("POST", body), id).reason(); };
    for (const char* const body : { "", "[]", "{}", R"({"phases":[]})", R"({"phases":[5]})",
             R"({"phases":[{"count":0}]})", R"({"phases":[{"cpu":"x"}]})", R"({"phases":[{"cpu":-1}]})",
             R"({"phases":[{"after":[0]}]})", R"({"spec":7,"phases":[{}]})" })
        CHECK(reason(body).code == Common::ErrorCode::MalformedRequest);
    CHECK(reason(R"({"phases":[{"cpu":"x"}]})").detail.find("phases[0].cpu") != std::string::npos);
    CHECK(readCall(call("POST", "{}"), "short").reason().code == Common::ErrorCode::MalformedRequest);
    CHECK(readCall(call("GET"), "short").reason().code == Common::ErrorCode::UnknownJob);
    CHECK(readCall(call("PATCH"), id).reason().code == Common::ErrorCode::MalformedRequest);
}

TEST_CASE("each failure is answered with the status that clients act on")
{
    using Common::ErrorCode;
    CHECK(failureAnswer({ ErrorCode::UnknownJob, "", {} }).status == 410);
    CHECK(failureAnswer({ ErrorCode::OutcomeUnknown, "", {} }).status == 504);
    CHECK(failureAnswer({ ErrorCode::StoreUnavailable, "", {} }).status == 503);
    CHECK(failureAnswer({ ErrorCode::NoConfiguration, "", {} }).status == 503);
    CHECK(failureAnswer({ ErrorCode::UnknownRoute, "", {} }).status == 404);
    CHECK(failureAnswer({ ErrorCode::PeerUnavailable, "", 1s }).headers.get("Retry-After") == "1");
}

TEST_CASE("the operator's configuration is read, and the longest prefix wins")
{
    Fakes::VirtualRuntime clock(1);
    Fakes::FakeNetwork network(clock, 1);
    Fakes::FakeRecordStore store(clock, network, 1);
    Fakes::FakeProcess process(clock, 1);
    const OperatorConfig source(store.client("a:1", process));
    const auto config = source.decode(R"({"version":7,"routes":[
        {"name":"r1","host":"h.example","prefix":"/a/","service":"s","priority":2,"max_attempts":2,"stretch":1.5,
         "target_duration_ms":600,"timeout_ms":3000},
        {"name":"r2","host":"h.example","prefix":"/a/b/","service":"s"}],"limits":{"max_body_bytes":99}})");
    REQUIRE(config);
    CHECK(config->version == 7);
    CHECK(config->maximumBodyBytes == 99);
    CHECK(config->find("h.example", "/a/x")->policy.route == "r1");
    CHECK(config->find("h.example", "/a/b/x")->policy.route == "r2");
    CHECK(config->find("other.example", "/a/x") == nullptr);
    CHECK(config->find("h.example", "/a/x")->policy.targetDuration == 600ms);
    for (const char* const text : { "", "{}", R"({"version":"x","routes":[]})", R"({"version":1,"routes":[{}]})" })
        CHECK_FALSE(source.decode(text));
}
