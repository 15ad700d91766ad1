// Tests what the client reports about faulty servers and connections.
#include "Http/Client.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "Http/RawServer.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using Common::ErrorCode;
using Fakes::RawServer;
using Fakes::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds longTimeout { 60 };
const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

Common::Result<Http::Response> sendAndWait(
    Http::EventLoop& loop, Http::Client& client, const std::string& address, std::string body, Common::Duration timeout)
{
    Http::Request request;
    request.method = "POST";
    request.target = "/run";
    request.body = std::move(body);
    std::optional<Common::Result<Http::Response>> answer;
    client.send(address, std::move(request), timeout, [&](auto result) { answer = std::move(result); });
    REQUIRE(runUntil(loop, [&] { return answer.has_value(); }));
    return *answer;
}

} // namespace

TEST_CASE("A request is not sent a second time if the server closes the reused connection")
{
    for (const std::string body : { "", "order" }) {
        Http::EventLoop loop;
        RawServer server(loop, [](RawServer::Connection& connection) {
            if (connection.requests == 1)
                connection.write(wholeAnswer);
            else
                connection.close();
        });
        Http::Client client(loop, {});
        REQUIRE(sendAndWait(loop, client, server.address(), body, longTimeout));
        const auto second = sendAndWait(loop, client, server.address(), body, longTimeout);
        REQUIRE_FALSE(second);
        CHECK(second.reason().code == ErrorCode::ConnectionLost);
        CHECK(server.requests() == 2);
    }
}

TEST_CASE("An answer that ends early is reported as truncated")
{
    Http::EventLoop loop;
    RawServer server(loop, [](RawServer::Connection& connection) {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this");
        connection.close();
    });
    Http::Client client(loop, {});
    const auto answer = sendAndWait(loop, client, server.address(), "x", longTimeout);
    REQUIRE_FALSE(answer);
    CHECK(answer.reason().code == ErrorCode::TruncatedAnswer);
}

TEST_CASE("A chunked answer that ends early is reported as truncated")
{
    Http::EventLoop loop;
    RawServer server(loop, [](RawServer::Connection& connection) {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nonly this");
        connection.close();
    });
    Http::Client client(loop, {});
    const auto answer = sendAndWait(loop, client, server.address(), "x", longTimeout);
    REQUIRE_FALSE(answer);
    CHECK(answer.reason().code == ErrorCode::TruncatedAnswer);
}

TEST_CASE("An answer over the limit is reported as truncated")
{
    Http::EventLoop loop;
    RawServer server(loop, [](RawServer::Connection& connection) { connection.write(wholeAnswer); });
    Http::Client::Limits limits;
    limits.maximumAnswerBytes = 1;
    Http::Client client(loop, limits);
    CHECK(sendAndWait(loop, client, server.address(), "x", longTimeout).reason().code == ErrorCode::TruncatedAnswer);
    limits.maximumAnswerBytes = 2;
    Http::Client largerLimit(loop, limits);
    CHECK(sendAndWait(loop, largerLimit, server.address(), "x", longTimeout));
}

TEST_CASE("A request to a closed port is reported as not connected")
{
    Http::EventLoop loop;
    std::string address;
    {
        const RawServer gone(loop, [](RawServer::Connection&) {});
        address = gone.address();
    }
    Http::Client client(loop, {});
    const auto answer = sendAndWait(loop, client, address, "x", longTimeout);
    REQUIRE_FALSE(answer);
    CHECK(answer.reason().code == ErrorCode::ConnectFailed);
}

TEST_CASE("After a timeout neither its connection nor idle ones to the same server are reused")
{
    Http::EventLoop loop;
    // Connections that were opened before the fault no longer answer; new ones do.
    size_t firstAnswering = 0;
    RawServer server(loop, [&](RawServer::Connection& connection) {
        if (connection.number >= firstAnswering)
            connection.write(wholeAnswer);
    });
    Http::Client client(loop, {});
    constexpr int pooled = 8;
    int answered = 0;
    for (int i = 0; i < pooled; ++i) {
        Http::Request request;
        client.send(server.address(), request, longTimeout, [&](const auto& result) {
            REQUIRE(result);
            ++answered;
        });
    }
    REQUIRE(runUntil(loop, [&] { return answered == pooled; }));
    firstAnswering = server.connections();
    const auto first = sendAndWait(loop, client, server.address(), "x", milliseconds(300));
    REQUIRE_FALSE(first);
    CHECK(first.reason().code == ErrorCode::Timeout);
    for (int i = 0; i < pooled; ++i) {
        const auto next = sendAndWait(loop, client, server.address(), "x", longTimeout);
        REQUIRE(next);
        CHECK(next->body == "ok");
    }
    CHECK(server.connections() == firstAnswering + 1);
}

TEST_CASE("A request that times out while it waits for a free connection is reported as not sent")
{
    Http::EventLoop loop;
    RawServer server(loop, [](RawServer::Connection&) {});
    Http::Client client(loop, { 1, seconds(10), size_t { 1 } << 20 });
    std::optional<Common::Result<Http::Response>> first;
    std::optional<Common::Result<Http::Response>> second;
    client.send(server.address(), {}, longTimeout, [&](auto result) { first = std::move(result); });
    client.send(server.address(), {}, milliseconds(300), [&](auto result) { second = std::move(result); });
    REQUIRE(runUntil(loop, [&] { return second.has_value(); }));
    CHECK(second->reason().code == ErrorCode::ConnectFailed);
    CHECK_FALSE(first.has_value());
}

TEST_CASE("The callback of an abandoned request is never called")
{
    Http::EventLoop loop;
    bool called = false;
    RawServer server(loop, [&](RawServer::Connection& connection) { connection.write(wholeAnswer); });
    Http::Client client(loop, {});
    const uint64_t id = client.send(server.address(), {}, longTimeout, [&](const auto&) { called = true; });
    client.abandon(id);
    client.abandon(id);
    REQUIRE(sendAndWait(loop, client, server.address(), "x", longTimeout));
    CHECK_FALSE(called);
}

TEST_CASE("A client holds more connections than select() can wait for")
{
    constexpr size_t wanted = 1100;
    Http::EventLoop loop;
    std::vector<std::unique_ptr<RawServer>> servers;
    size_t asked = 0;
    for (size_t index = 0; index < 50; ++index) {
        servers.push_back(std::make_unique<RawServer>(loop, [&asked](RawServer::Connection& connection) {
            ++asked;
            connection.write(wholeAnswer);
        }));
    }
    Http::Client::Limits limits;
    limits.maximumConnectionsPerAddress = wanted;
    Http::Client client(loop, limits);
    size_t answered = 0;
    for (size_t index = 0; index < wanted; ++index) {
        Http::Request request;
        request.target = "/status";
        client.send(servers[index % servers.size()]->address(), std::move(request), longTimeout,
            [&answered](const Common::Result<Http::Response>& response) { answered += response ? 1 : 0; });
    }
    REQUIRE(runUntil(loop, [&] { return answered == wanted; }));
    CHECK(asked == wanted);
}
