// Answers of the store and of workers that have a wrong form: the call fails or the part is left out, and the process
// lives on.
#include "platform/KeyValueStore.h"
#include "platform/WorkerCalls.h"

#include "Fakes/OddJson.h"
#include "Http/Client.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "Http/RawServer.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace Platform;
using Common::ErrorCode;

namespace {

constexpr std::chrono::seconds longTimeout { 60 };
const std::string task = "5c0e7a21d94b36f8.0.1.17";

/// A server that gives the same answer to each call.
struct OddServer {
    OddServer(int status, std::string answerBody)
        : body(std::move(answerBody))
        , server(loop,
              [this, status](Fakes::RawServer::Connection& connection) {
                  connection.write("HTTP/1.1 " + std::to_string(status)
                      + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
              })
        , client(loop, {})
    {
    }

    template <typename T> Common::Result<T> call(const std::function<void(Common::Callback<T>)>& send)
    {
        std::optional<Common::Result<T>> answer;
        send([&answer](Common::Result<T> result) { answer.emplace(std::move(result)); });
        REQUIRE(Fakes::runUntil(loop, [&] { return answer.has_value(); }));
        return *answer;
    }
    Common::Result<Cells::OrderAnswer> stop()
    {
        WorkerCalls calls(client, client, { longTimeout });
        return call<Cells::OrderAnswer>([&](auto done) {
            calls.stop({ Common::WorkerId("i-1"), server.address() }, {}, *decodeTask(task), {}, std::move(done));
        });
    }
    Common::Result<Cells::RunReport> poll()
    {
        WorkerCalls calls(client, client, { longTimeout });
        return call<Cells::RunReport>([&](auto done) {
            calls.pollRuns({ Common::WorkerId("i-1"), server.address() }, {}, std::move(done));
        });
    }
    Common::Result<Cells::RecordListing> list()
    {
        KeyValueStore store(client, { server.address(), longTimeout });
        return call<Cells::RecordListing>(
            [&](auto done) { store.list("p/", Cells::Freshness::Linearizable, std::move(done)); });
    }
    Common::Result<Scheduler::StoreChanges> watch()
    {
        KeyValueStore store(client, { server.address(), longTimeout });
        return call<Scheduler::StoreChanges>([&](auto done) { store.watch("p/", { 3 }, {}, std::move(done)); });
    }

    std::string body;
    Http::EventLoop loop;
    Fakes::RawServer server;
    Http::Client client;
};

std::vector<std::string> keysOf(const std::vector<Scheduler::StoreValue>& records)
{
    std::vector<std::string> keys;
    keys.reserve(records.size());
    for (const Scheduler::StoreValue& record : records)
        keys.push_back(record.key);
    return keys;
}

const std::string deepLists = Fakes::nestedLists(Fakes::excessiveDepth);
/// Items with an odd key, revision or value among good ones; the value is "ab".
const std::string mixedItems = R"([{"key":"p/1","revision":4,"value":"YWI="},{"revision":4,"value":"YWI="},5,null,
    {"key":7,"revision":4,"value":"YWI="},{"key":"p/2","revision":-1,"value":"YWI="},
    {"key":"p/3","revision":4,"value":"YWI="},{"key":"p/4","revision":4,"value":"?"},
    {"key":"p/5","revision":4,"value":8},{"key":"p/6","revision":4,"value":"YWI="}])";

} // namespace

TEST_CASE("a worker's refusal whose reason isn't a text doesn't end the process")
{
    for (const char* const reason : { "5", "null", "[]", "{}", "true" }) {
        OddServer worker(409, std::string(R"({"clock_ms":7,"reason":)") + reason + "}");
        const auto answer = worker.stop();
        REQUIRE(answer);
        CHECK(answer->verdict == Cells::OrderVerdict::InvalidTicket);
        CHECK(answer->clock->milliseconds == 7);
    }
}

TEST_CASE("a worker's clock that no clock can show isn't taken")
{
    for (const std::string& number : Fakes::oddNumbers()) {
        CAPTURE(number);
        OddServer worker(200, R"({"clock_ms":)" + number + "}");
        const auto answer = worker.stop();
        REQUIRE(answer);
        CHECK_FALSE(answer->clock);
        CHECK(worker.poll().reason().code == ErrorCode::ProtocolError);
    }
}

TEST_CASE("a worker's answer that is nested too deeply fails and doesn't end the process")
{
    CHECK(OddServer(200, deepLists).poll().reason().code == ErrorCode::ProtocolError);
    CHECK(OddServer(200, R"({"clock_ms":7,"running":)" + deepLists + "}").poll().reason().code
        == ErrorCode::ProtocolError);
    CHECK(OddServer(200, R"({"clock_ms":7,"ended":[)" + deepLists + "]}").poll().reason().code
        == ErrorCode::ProtocolError);
    CHECK(OddServer(409, R"({"reason":)" + deepLists + "}").stop()->verdict == Cells::OrderVerdict::InvalidTicket);
    CHECK(OddServer(400, deepLists).stop()->verdict == Cells::OrderVerdict::Malformed);
}

TEST_CASE("odd figures of a run don't hide the run, and odd rows don't hide the others")
{
    using Json = nlohmann::json;
    Json running = Json::array(
        { Json::array({ task, 1, "", 41, 12 }), 5, nullptr, "x", Json::object(), Json::array({ task, -1, "", 0 }),
            Json::array({ task, 4294967297, "", 0 }), Json::array({ task, 1.5, "", 0 }) });
    for (const Json& figure : { Json(-5), Json(1e300), Json(18446744073709551615ULL), Json("x"), Json(nullptr) })
        running.push_back(Json::array({ task, 2, "", figure, figure }));
    const auto report = readReport(Json { { "clock_ms", 7 }, { "running", running },
        { "ended",
            Json::array({ Json::array({ -1, task, 1, "done", "" }), Json::array({ 1e300, task, 1, "done", "" }),
                Json::array({ 4, task, 1e10, "done", "" }), Json::array({ 5, task, 1, "done", "" }) }) } });
    REQUIRE(report);
    REQUIRE(report->running.size() == 6);
    CHECK(report->running[0].percent == 41);
    CHECK(report->running[0].load == 12);
    for (size_t row = 1; row < report->running.size(); ++row) {
        CAPTURE(row);
        CHECK(report->running[row].attempt.value == 2);
        CHECK(report->running[row].percent <= 100);
        CHECK(report->running[row].load <= 1e9);
    }
    REQUIRE(report->ended.size() == 1);
    CHECK(report->ended[0].number == 5);
    CHECK(report->unreadable == 10);
}

TEST_CASE("an item that can't be read doesn't hide the others of a listing")
{
    OddServer server(200, R"({"at":9,"items":)" + mixedItems + "}");
    const auto listing = server.list();
    REQUIRE(listing);
    CHECK(listing->upTo.value == 9);
    CHECK(keysOf(listing->records) == std::vector<std::string> { "p/1", "p/2", "p/3", "p/4", "p/5", "p/6" });
    // A record whose key is known but not its contents is listed without them, so that its absence isn't concluded.
    for (const Scheduler::StoreValue& record : listing->records)
        CHECK(record.value == (record.key == "p/1" || record.key == "p/3" || record.key == "p/6" ? "ab" : ""));
}

TEST_CASE("an event that can't be read doesn't hide the others of a watch")
{
    OddServer server(200,
        R"({"at":9,"events":)"
            + Fakes::withReplaced(mixedItems, "[{", R"([{"key":"p/7","tombstone":true},{"tombstone":true},
                {"key":"p/8","tombstone":"x"},{)")
            + "}");
    const auto changes = server.watch();
    REQUIRE(changes);
    CHECK(changes->upTo.value == 9);
    CHECK(changes->removed == std::vector<std::string> { "p/7" });
    CHECK(keysOf(changes->written) == std::vector<std::string> { "p/8", "p/1", "p/2", "p/3", "p/4", "p/5", "p/6" });
}

TEST_CASE("a store's answer that is nested too deeply fails and doesn't end the process")
{
    CHECK(OddServer(200, R"({"at":9,"items":)" + deepLists + "}").list().reason().code == ErrorCode::ProtocolError);
    CHECK(OddServer(200, R"({"at":9,"events":)" + deepLists + "}").watch().reason().code == ErrorCode::ProtocolError);
    CHECK(OddServer(200, R"({"at":9,"has_more":)" + deepLists + R"(,"items":[]})").list().reason().code
        == ErrorCode::ProtocolError);
}

TEST_CASE("a store's answer with a revision that no store has fails")
{
    for (const char* const revision : { "-1", "1e300", "1.5", "null", R"("9")" }) {
        CAPTURE(revision);
        CHECK(OddServer(200, std::string(R"({"items":[],"at":)") + revision + "}").list().reason().code
            == ErrorCode::ProtocolError);
        CHECK(OddServer(200, std::string(R"({"events":[],"at":)") + revision + "}").watch().reason().code
            == ErrorCode::ProtocolError);
    }
}
