// Tests client and server together: concurrent requests, large bodies, order of answers and limits.
#include "Http/Client.h"
#include "Http/ErrorBody.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "Http/Server.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

using Common::ErrorCode;
using Fakes::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds longTimeout { 60 };

std::string listenOn(Http::Server& server)
{
    const auto port = server.listen("127.0.0.1:0");
    REQUIRE(port);
    return "127.0.0.1:" + std::to_string(*port);
}

Http::Request post(std::string target, std::string body)
{
    Http::Request request;
    request.method = "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

} // namespace

TEST_CASE("Each of many concurrent requests gets its own answer, in any order of answers")
{
    Http::EventLoop loop;
    std::vector<std::pair<std::string, Http::Server::Responder>> waiting;
    Http::Server server(loop, {}, [&](const Http::Request& request, Http::Server::Responder respond) {
        waiting.emplace_back(request.target + request.headers.get("x-task").value_or("none"), std::move(respond));
    });
    const std::string address = listenOn(server);
    Http::Client client(loop, { 60, seconds(10) });
    constexpr size_t count = 50;
    std::map<size_t, std::string> answers;
    for (size_t i = 0; i < count; ++i) {
        Http::Request request = post("/run?i=" + std::to_string(i), "body");
        request.headers.set("X-Task", std::to_string(i));
        client.send(address, std::move(request), longTimeout, [&, i](Common::Result<Http::Response> answer) {
            REQUIRE(answer);
            answers[i] = answer->body;
        });
    }
    CHECK(answers.empty());
    REQUIRE(runUntil(loop, [&] { return waiting.size() == count; }));
    std::reverse(waiting.begin(), waiting.end());
    for (const auto& [target, respond] : waiting)
        respond({ 200, {}, target });
    REQUIRE(runUntil(loop, [&] { return answers.size() == count; }));
    for (size_t i = 0; i < count; ++i)
        CHECK(answers[i] == "/run?i=" + std::to_string(i) + std::to_string(i));
}

TEST_CASE("Bodies of several megabytes arrive complete in both directions, also on reused connections")
{
    Http::EventLoop loop;
    Http::Server server(loop, {}, [](Http::Request request, const Http::Server::Responder& respond) {
        Http::Response response;
        response.headers.set("Content-Type", "application/octet-stream");
        response.body = std::move(request.body);
        respond(std::move(response));
    });
    const std::string address = listenOn(server);
    Http::Client client(loop, {});
    std::string large(size_t { 5 } << 20, '\0');
    for (size_t i = 0; i < large.size(); ++i)
        large[i] = static_cast<char>(i * 2654435761U >> 13);
    for (int round = 0; round < 3; ++round) {
        std::optional<Common::Result<Http::Response>> answer;
        client.send(address, post("/echo", large), longTimeout, [&](auto result) { answer = std::move(result); });
        REQUIRE(runUntil(loop, [&] { return answer.has_value(); }));
        REQUIRE(*answer);
        CHECK((*answer)->status == 200);
        CHECK((*answer)->headers.get("content-type") == "application/octet-stream");
        CHECK((*answer)->body == large);
    }
}

TEST_CASE("A body over the limit is answered with status 413 and a typed error")
{
    Http::EventLoop loop;
    bool handled = false;
    Http::Server::Limits limits;
    limits.maximumBodyBytes = 1000;
    Http::Server server(loop, limits, [&](const Http::Request&, const Http::Server::Responder& respond) {
        handled = true;
        respond({});
    });
    const std::string address = listenOn(server);
    Http::Client client(loop, {});
    std::optional<Common::Result<Http::Response>> answer;
    client.send(address, post("/x", std::string(100'000, 'x')), longTimeout, [&](auto r) { answer = std::move(r); });
    REQUIRE(runUntil(loop, [&] { return answer.has_value(); }));
    REQUIRE(*answer);
    CHECK((*answer)->status == 413);
    CHECK(Http::failureFrom(**answer).code == ErrorCode::RequestTooLarge);
    CHECK_FALSE(handled);
}

TEST_CASE("Methods, targets, empty bodies and failures with a retry time are transmitted unchanged")
{
    Http::EventLoop loop;
    Http::Server server(loop, {}, [](const Http::Request& request, const Http::Server::Responder& respond) {
        CHECK(request.headers.get("Expect") == std::nullopt);
        respond(Http::errorResponse({ ErrorCode::Overloaded, request.method + " " + request.target + " " + request.body,
            std::chrono::microseconds(1500) }));
    });
    const std::string address = listenOn(server);
    Http::Client client(loop, {});
    // Each method more than once, since handles are reused with another method.
    for (const std::string method : { "GET", "POST", "PUT", "DELETE", "GET", "PUT", "POST", "GET" }) {
        Http::Request request;
        request.method = method;
        request.target = "/kv/a%2Fb?expect=1";
        std::optional<Common::Result<Http::Response>> answer;
        client.send(address, request, longTimeout, [&](auto r) { answer = std::move(r); });
        REQUIRE(runUntil(loop, [&] { return answer.has_value(); }));
        REQUIRE(*answer);
        CHECK((*answer)->status == 503);
        const Common::Failure failure = Http::failureFrom(**answer);
        CHECK(failure.code == ErrorCode::Overloaded);
        CHECK(failure.detail == method + " /kv/a%2Fb?expect=1 ");
        CHECK(failure.retryAfter == Common::Duration(milliseconds(2)));
        CHECK((*answer)->headers.get("Retry-After") == "1");
    }
}

TEST_CASE("A stopped server answers open requests and accepts no new ones")
{
    Http::EventLoop loop;
    std::vector<Http::Server::Responder> waiting;
    Http::Server server(loop, {},
        [&](const Http::Request&, Http::Server::Responder respond) { waiting.push_back(std::move(respond)); });
    const std::string address = listenOn(server);
    Http::Client client(loop, {});
    std::optional<Common::Result<Http::Response>> first;
    client.send(address, post("/a", ""), longTimeout, [&](auto r) { first = std::move(r); });
    REQUIRE(runUntil(loop, [&] { return waiting.size() == 1; }));
    server.stopAccepting();
    waiting.front()({ 200, {}, "whole" });
    REQUIRE(runUntil(loop, [&] { return first.has_value(); }));
    REQUIRE(*first);
    CHECK((*first)->body == "whole");
    std::optional<Common::Result<Http::Response>> second;
    client.send(address, post("/b", ""), longTimeout, [&](auto r) { second = std::move(r); });
    REQUIRE(runUntil(loop, [&] { return second.has_value(); }));
    REQUIRE_FALSE(*second);
    CHECK(second->reason().code == ErrorCode::ConnectFailed);
}

TEST_CASE("Addresses other than IP and port are refused")
{
    Http::EventLoop loop;
    for (const std::string address : { "127.0.0.1", "localhost:1", "127.0.0.1:99999", "127.0.0.1:", "" }) {
        Http::Server server(loop, {}, [](const Http::Request&, const Http::Server::Responder&) {});
        const auto port = server.listen(address);
        REQUIRE_FALSE(port);
        CHECK(port.reason().code == ErrorCode::InvalidSetting);
    }
}

TEST_CASE("Timers fire in the order of their times, and cancelled ones never fire")
{
    Http::EventLoop loop;
    std::vector<int> fired;
    loop.schedule(milliseconds(20), [&] { fired.push_back(2); });
    const auto cancelled = loop.schedule(milliseconds(5), [&] { fired.push_back(0); });
    loop.schedule(milliseconds(1), [&] { fired.push_back(1); });
    loop.cancel(cancelled);
    loop.cancel(cancelled);
    REQUIRE(runUntil(loop, [&] { return fired.size() == 2; }));
    CHECK(fired == std::vector<int> { 1, 2 });
}
