// JSON form of polls that hosts carry out for each other.
#include "Cells/RunReportCodec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Cells;

namespace {

const Jobs::TaskName task { Common::JobId("0123456789abcdef"), 1, 2, 3 };

RunReport fullReport()
{
    RunReport report;
    report.clock = { 482'113 };
    report.startedAtMilliseconds = 1'765'000'000'000;
    report.capacity = Common::Resources { .milliCores = 16'000, .memoryMegabytes = 64'000, .accelerators = 2 };
    report.running.push_back({ task, Common::AttemptNumber { 4 }, "saved", 41, 12.5 });
    report.ended.push_back({ 58, task, Common::AttemptNumber { 3 }, RunEnd::GangTimedOut, "" });
    report.unreadable = 1;
    return report;
}

} // namespace

TEST_CASE("a report that another host passes on is complete")
{
    const RunReport sent = fullReport();
    const auto read = runReportFromJson(runReportToJson(sent));
    REQUIRE(read);
    CHECK(read->clock == sent.clock);
    CHECK(read->startedAtMilliseconds == sent.startedAtMilliseconds);
    CHECK(read->capacity == sent.capacity);
    CHECK(read->unreadable == 1);
    REQUIRE(read->running.size() == 1);
    CHECK(read->running[0].task == task);
    CHECK(read->running[0].attempt == sent.running[0].attempt);
    CHECK(read->running[0].checkpoint == "saved");
    CHECK(read->running[0].percent == 41);
    CHECK(read->running[0].load == 12.5);
    REQUIRE(read->ended.size() == 1);
    CHECK(read->ended[0].number == 58);
    CHECK(read->ended[0].task == task);
    CHECK(read->ended[0].attempt == sent.ended[0].attempt);
    CHECK(read->ended[0].end == RunEnd::GangTimedOut);
}

TEST_CASE("a report without capacity has none") { CHECK_FALSE(runReportFromJson(runReportToJson({}))->capacity); }

// Guards against taking a run for gone because its row was left out.
TEST_CASE("a report with a row that can't be read is refused as a whole")
{
    for (const char* const list : { "running", "ended" }) {
        nlohmann::json body = runReportToJson(fullReport());
        body[list].push_back("no row");
        CHECK(runReportFromJson(body).reason().code == Common::ErrorCode::ProtocolError);
    }
    nlohmann::json body = runReportToJson(fullReport());
    body["ended"][0][3] = 6;
    CHECK_FALSE(runReportFromJson(body));
    CHECK_FALSE(runReportFromJson("no object"));
}

TEST_CASE("a poll for another host is read as it was written")
{
    PollForHost poll { { Common::WorkerId("i-1"), "10.0.0.1:80" }, FencingToken { 7 }, {} };
    auto read = pollForHostFromJson(pollForHostToJson(poll));
    REQUIRE(read);
    CHECK(read->worker.id == poll.worker.id);
    CHECK(read->worker.address == poll.worker.address);
    CHECK(read->token == poll.token);
    CHECK_FALSE(read->leaseUntil);
    poll.leaseUntil = Common::WorkerTime { 9 };
    read = pollForHostFromJson(pollForHostToJson(poll));
    REQUIRE(read);
    CHECK(read->leaseUntil == poll.leaseUntil);
}

TEST_CASE("a poll that can't be read is refused")
{
    using Json = nlohmann::json;
    const Json good = pollForHostToJson({ { Common::WorkerId("i-1"), "10.0.0.1:80" }, FencingToken { 7 }, {} });
    for (const auto& [member, value] : { std::pair { "worker", Json(3) }, { "address", Json("nowhere") },
             { "token", Json(-1) }, { "leaseUntil", Json("soon") } }) {
        Json bad = good;
        bad[member] = value;
        CHECK(pollForHostFromJson(bad).reason().code == Common::ErrorCode::MalformedRequest);
    }
    CHECK_FALSE(pollForHostFromJson(Json::array()));
}
