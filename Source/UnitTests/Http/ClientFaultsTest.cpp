// Tests what the client reports about faulty servers and connections.
#include "Http/Client.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "Http/RawServer.h"

#include <doctest/doctest.h>
#include <fcntl.h>

#include <memory>
#include <optional>
#include <thread>
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

std::string closedAddress(Http::EventLoop& loop)
{
    const RawServer gone(loop, [](RawServer::Connection&) {});
    return gone.address();
}

/// Makes the loop late, as on a host whose processor quota is used up.
void blockLoop(Common::Duration time) { std::this_thread::sleep_for(time); }

/// A server that completes no handshakes until makeRoom(), since its queue of unaccepted connections is full.
class SaturatedServer {
public:
    explicit SaturatedServer(Http::EventLoop& loop)
        : m_acceptor(loop.context())
    {
        m_acceptor.open(asio::ip::tcp::v4());
        m_acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        m_acceptor.listen(0);
        m_acceptor.non_blocking(true);
        const auto endpoint = m_acceptor.local_endpoint();
        for (int i = 0; i < 2; ++i) {
            auto& socket = m_queued.emplace_back(loop.context(), asio::ip::tcp::v4());
            socket.non_blocking(true);
            // Asio's connect() would wait for the handshake.
            static_cast<void>(
                ::connect(socket.native_handle(), endpoint.data(), static_cast<socklen_t>(endpoint.size())));
        }
    }

    /// From now on a handshake succeeds when the peer repeats it, by default 1 s after the first attempt.
    void makeRoom()
    {
        m_queued.clear();
        asio::error_code error;
        while (!error)
            m_acceptor.accept(error);
        m_acceptor.async_accept([this](const asio::error_code& failed, asio::ip::tcp::socket socket) {
            if (failed)
                return;
            m_accepted = std::make_unique<RawServer::Connection>(std::move(socket));
            m_accepted->socket.async_read_some(
                asio::buffer(m_accepted->buffer), [this](const asio::error_code& closed, size_t) {
                    if (closed)
                        return;
                    ++m_requests;
                    m_accepted->write(wholeAnswer);
                });
        });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    bool accepted() const { return m_accepted != nullptr; }
    int requests() const { return m_requests; }

private:
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_queued;
    std::unique_ptr<RawServer::Connection> m_accepted;
    int m_requests = 0;
};

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
    Http::Client client(loop, {});
    const auto answer = sendAndWait(loop, client, closedAddress(loop), "x", longTimeout);
    REQUIRE_FALSE(answer);
    CHECK(answer.reason().code == ErrorCode::ConnectFailed);
}

TEST_CASE("A connection can be opened after one that failed or was abandoned while it was being established")
{
    enum class End { Refused, TimedOut, Abandoned };
    for (const End end : { End::Refused, End::TimedOut, End::Abandoned }) {
        Http::EventLoop loop;
        RawServer server(loop, [](RawServer::Connection& connection) { connection.write(wholeAnswer); });
        const SaturatedServer saturated(loop);
        Http::Client client(loop, { .connectTimeout = milliseconds(200) });
        if (end == End::Abandoned) {
            const uint64_t id = client.send(saturated.address(), {}, longTimeout, [](const auto&) { FAIL("called"); });
            bool connecting = false;
            loop.schedule(milliseconds(50), [&] { connecting = true; });
            REQUIRE(runUntil(loop, [&] { return connecting; }));
            client.abandon(id);
        } else {
            const std::string address = end == End::Refused ? closedAddress(loop) : saturated.address();
            REQUIRE_FALSE(sendAndWait(loop, client, address, "x", longTimeout));
        }
        CHECK(sendAndWait(loop, client, server.address(), "x", longTimeout));
    }
}

TEST_CASE("A client closes no descriptor that another part has opened after a connect timeout")
{
    Http::EventLoop loop;
    const SaturatedServer server(loop);
    std::vector<asio::ip::tcp::socket> others;
    {
        Http::Client client(loop, { .connectTimeout = milliseconds(200) });
        REQUIRE_FALSE(sendAndWait(loop, client, server.address(), "x", longTimeout));
        for (int i = 0; i < 8; ++i)
            others.emplace_back(loop.context(), asio::ip::tcp::v4());
    }
    for (auto& other : others)
        CHECK(::fcntl(other.native_handle(), F_GETFD) != -1);
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

TEST_CASE("An answer that arrived in time is not lost when the loop is blocked past the timeout")
{
    // On a new and on a reused connection; the longer answer takes curl several reads.
    for (const int blockedRequest : { 1, 2 }) {
        for (const size_t size : { size_t { 2 }, size_t { 48'000 } }) {
            constexpr seconds timeout { 1 };
            const std::string body(size, 'x');
            Http::EventLoop loop;
            RawServer server(loop, [&](RawServer::Connection& connection) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + body);
                if (connection.requests == blockedRequest)
                    blockLoop(timeout + milliseconds(300));
            });
            Http::Client client(loop, {});
            for (int i = 0; i < 3; ++i) {
                const auto answer = sendAndWait(loop, client, server.address(), "x", timeout);
                REQUIRE(answer);
                CHECK(answer->body == body);
            }
            CHECK(server.connections() == 1);
        }
    }
}

TEST_CASE("An answer that ends with the connection is not lost when the loop is blocked past the timeout")
{
    constexpr seconds timeout { 1 };
    Http::EventLoop loop;
    RawServer server(loop, [&](RawServer::Connection& connection) {
        connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok");
        connection.close();
        blockLoop(timeout + milliseconds(300));
    });
    Http::Client client(loop, {});
    const auto answer = sendAndWait(loop, client, server.address(), "x", timeout);
    REQUIRE(answer);
    CHECK(answer->body == "ok");
}

TEST_CASE("An answer that has arrived in part when a blocked loop resumes is not lost")
{
    constexpr seconds timeout { 1 };
    Http::EventLoop loop;
    RawServer server(loop, [&](RawServer::Connection& connection) {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
        // Fires in the same pass of the loop as the timeout, after it.
        loop.schedule(timeout + milliseconds(100), [&connection] { connection.write("half"); });
        blockLoop(timeout + milliseconds(300));
    });
    Http::Client client(loop, {});
    const auto answer = sendAndWait(loop, client, server.address(), "x", timeout);
    REQUIRE(answer);
    CHECK(answer->body == "halfhalf");
}

TEST_CASE("A silent server is reported as timed out also when the loop is late")
{
    for (const std::string partialAnswer : { "", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf" }) {
        constexpr milliseconds timeout { 300 };
        Http::EventLoop loop;
        Common::MonotonicTime resumed;
        RawServer server(loop, [&](RawServer::Connection& connection) {
            connection.write(partialAnswer);
            blockLoop(2 * timeout);
            resumed = loop.now();
        });
        Http::Client client(loop, {});
        const auto answer = sendAndWait(loop, client, server.address(), "x", timeout);
        REQUIRE_FALSE(answer);
        CHECK(answer.reason().code == ErrorCode::Timeout);
        // Far more than the client needs.
        CHECK(loop.now() - resumed < seconds(10));
        CHECK(server.requests() == 1);
    }
}

TEST_CASE("A connection that was established in time is used when the loop is blocked past the connect timeout")
{
    constexpr milliseconds connectTimeout { 1500 };
    Http::EventLoop loop;
    SaturatedServer server(loop);
    Http::Client client(loop, { .connectTimeout = connectTimeout });
    loop.schedule(milliseconds(100), [&] {
        server.makeRoom();
        blockLoop(connectTimeout + milliseconds(400));
    });
    const auto answer = sendAndWait(loop, client, server.address(), "x", longTimeout);
    CHECK(answer);
    CHECK(server.requests() == 1);
}

TEST_CASE("A loop that is blocked before it starts a request takes no time from it")
{
    constexpr milliseconds timeout { 500 };
    Http::EventLoop loop;
    RawServer server(loop, [](RawServer::Connection& connection) { connection.write(wholeAnswer); });
    Http::Client client(loop, { .connectTimeout = timeout });
    std::optional<Common::Result<Http::Response>> answer;
    client.send(server.address(), {}, timeout, [&](auto result) { answer = std::move(result); });
    blockLoop(2 * timeout);
    REQUIRE(runUntil(loop, [&] { return answer.has_value(); }));
    CHECK(*answer);
}

TEST_CASE("A server that accepts no connection is reported as not connected, whether the loop is late or not")
{
    for (const bool late : { false, true }) {
        constexpr milliseconds connectTimeout { 200 };
        Http::EventLoop loop;
        const SaturatedServer server(loop);
        Http::Client client(loop, { .connectTimeout = connectTimeout });
        if (late)
            loop.schedule(connectTimeout / 2, [&] { blockLoop(2 * connectTimeout); });
        const auto began = loop.now();
        const auto answer = sendAndWait(loop, client, server.address(), "x", longTimeout);
        REQUIRE_FALSE(answer);
        CHECK(answer.reason().code == ErrorCode::ConnectFailed);
        CHECK(loop.now() - began >= connectTimeout);
        CHECK(loop.now() - began < longTimeout / 2);
    }
}

TEST_CASE("A request is not sent if its time is over when a late loop finds the connection established")
{
    constexpr milliseconds timeout { 1500 };
    Http::EventLoop loop;
    SaturatedServer server(loop);
    Http::Client client(loop, { .connectTimeout = 2 * timeout });
    loop.schedule(milliseconds(100), [&] {
        server.makeRoom();
        blockLoop(timeout + milliseconds(400));
    });
    const auto answer = sendAndWait(loop, client, server.address(), "x", timeout);
    REQUIRE_FALSE(answer);
    CHECK(answer.reason().code == ErrorCode::ConnectFailed);
    bool settled = false;
    loop.schedule(milliseconds(200), [&] { settled = true; });
    REQUIRE(runUntil(loop, [&] { return settled && server.accepted(); }));
    CHECK(server.requests() == 0);
}

TEST_CASE("A request whose time is over is not sent when a late loop frees a connection for it")
{
    for (const bool followed : { false, true }) {
        constexpr milliseconds timeout { 500 };
        Http::EventLoop loop;
        RawServer server(loop, [&](RawServer::Connection& connection) {
            connection.write(wholeAnswer);
            if (connection.requests == 1)
                blockLoop(2 * timeout);
        });
        Http::Client client(loop, { .maximumConnectionsPerAddress = 1 });
        std::optional<Common::Result<Http::Response>> first;
        std::optional<Common::Result<Http::Response>> second;
        std::optional<Common::Result<Http::Response>> third;
        client.send(server.address(), {}, longTimeout, [&](auto result) { first = std::move(result); });
        client.send(server.address(), {}, timeout, [&](auto result) { second = std::move(result); });
        if (followed)
            client.send(server.address(), {}, longTimeout, [&](auto result) { third = std::move(result); });
        REQUIRE(runUntil(loop, [&] { return first && second && third.has_value() == followed; }));
        CHECK(*first);
        REQUIRE_FALSE(*second);
        CHECK(second->reason().code == ErrorCode::ConnectFailed);
        REQUIRE(sendAndWait(loop, client, server.address(), "x", longTimeout));
        CHECK(server.requests() == (followed ? 3 : 2));
        CHECK(server.connections() == 1);
    }
}

TEST_CASE("The connect timeout applies to a request that has waited for a free connection")
{
    constexpr milliseconds connectTimeout { 200 };
    Http::EventLoop loop;
    const SaturatedServer server(loop);
    Http::Client client(loop, { .maximumConnectionsPerAddress = 1, .connectTimeout = connectTimeout });
    int failed = 0;
    const auto began = loop.now();
    for (int i = 0; i < 3; ++i) {
        client.send(server.address(), {}, longTimeout, [&](const auto& result) {
            REQUIRE_FALSE(result);
            CHECK(result.reason().code == ErrorCode::ConnectFailed);
            ++failed;
        });
    }
    REQUIRE(runUntil(loop, [&] { return failed == 3; }));
    CHECK(loop.now() - began >= 3 * connectTimeout);
    CHECK(loop.now() - began < longTimeout / 2);
}

TEST_CASE("No callback is called after one has destroyed the client")
{
    constexpr milliseconds timeout { 300 };
    constexpr int requests = 3;
    Http::EventLoop loop;
    int received = 0;
    RawServer server(loop, [&](RawServer::Connection&) {
        // Blocked until all are due, so that they end in the same pass of the loop.
        if (++received == requests)
            blockLoop(2 * timeout);
    });
    auto client = std::make_unique<Http::Client>(loop, Http::Client::Limits {});
    int called = 0;
    for (int i = 0; i < requests; ++i) {
        client->send(server.address(), {}, timeout, [&](const auto&) {
            ++called;
            client.reset();
        });
    }
    REQUIRE(runUntil(loop, [&] { return called > 0; }));
    bool settled = false;
    loop.schedule(milliseconds(50), [&] { settled = true; });
    REQUIRE(runUntil(loop, [&] { return settled; }));
    CHECK(called == 1);
}
