// Tests the link stand-in: shaping with given times; cuts and silence over real connections.
#include "StandIns/LinkProxy.h"

#include "Http/Client.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "Http/Server.h"

#include <doctest/doctest.h>

using Common::ErrorCode;
using Fakes::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds longTimeout { 60 };

struct Fixture {
    Fixture()
        : server(loop, {},
            [](Http::Request request, const Http::Server::Responder& respond) {
                respond({ 200, {}, std::move(request.body) });
            })
        , proxy(loop)
        , client(loop, {})
        , address("127.0.0.1:"
              + std::to_string(
                  *proxy.addRoute("127.0.0.1:0", "127.0.0.1:" + std::to_string(*server.listen("127.0.0.1:0")))))
    {
    }

    Common::Result<Http::Response> send(const std::string& body, Common::Duration timeout)
    {
        Http::Request request;
        request.method = "POST";
        request.target = "/echo";
        request.body = body;
        std::optional<Common::Result<Http::Response>> answer;
        client.send(address, std::move(request), timeout, [&](auto result) { answer = std::move(result); });
        REQUIRE(runUntil(loop, [&] { return answer.has_value(); }));
        return *answer;
    }

    Http::EventLoop loop;
    Http::Server server;
    StandIns::LinkProxy proxy;
    Http::Client client;
    std::string address;
};

} // namespace

TEST_CASE("bytes arrive in order, at the byte rate, after the delay")
{
    StandIns::LinkShaper shaper;
    const Common::MonotonicTime start {};
    CHECK(shaper.admit(start, 1000) == start);
    shaper.configure(milliseconds(30), 1'000'000);
    CHECK(shaper.admit(start, 1000) == start + milliseconds(31));
    CHECK(shaper.admit(start, 1000) == start + milliseconds(32));
    CHECK(shaper.admit(start + seconds(1), 1000) == start + milliseconds(1031));
    CHECK(shaper.bytes() == 4000);
}

TEST_CASE_FIXTURE(Fixture, "large bodies pass unchanged over a link with a delay and a byte rate")
{
    StandIns::LinkProxy::Behaviour behaviour;
    behaviour.delay = milliseconds(2);
    behaviour.bytesPerSecond = int64_t { 100 } << 20;
    proxy.setBehaviour(behaviour);
    const std::string body(size_t { 3 } << 20, 'x');
    const Common::MonotonicTime before = loop.now();
    const auto answer = send(body, longTimeout);
    REQUIRE(answer);
    CHECK(answer->body == body);
    // Only a lower bound: the bytes take 30 ms in each direction, and the delay is added to each.
    CHECK(loop.now() - before >= milliseconds(32));
    CHECK(proxy.bytesForward() > body.size());
    CHECK(proxy.bytesBack() > body.size());
}

TEST_CASE_FIXTURE(Fixture, "silenced connections stay silent while new ones work")
{
    REQUIRE(send("a", longTimeout));
    proxy.silenceExisting();
    CHECK(send("b", milliseconds(300)).reason().code == ErrorCode::Timeout);
    const auto next = send("c", longTimeout);
    REQUIRE(next);
    CHECK(next->body == "c");
}

TEST_CASE_FIXTURE(Fixture, "a cut link resets open connections, refuses new ones and returns on the same port")
{
    REQUIRE(send("a", longTimeout));
    StandIns::LinkProxy::Behaviour behaviour;
    behaviour.cut = true;
    proxy.setBehaviour(behaviour);
    CHECK_FALSE(send("b", longTimeout));
    CHECK(send("c", longTimeout).reason().code == ErrorCode::ConnectFailed);
    CHECK(proxy.openConnections() == 0);
    proxy.setBehaviour({});
    CHECK(send("d", longTimeout));
}

TEST_CASE_FIXTURE(Fixture, "a silent link accepts connections and delivers nothing")
{
    StandIns::LinkProxy::Behaviour behaviour;
    behaviour.silent = true;
    proxy.setBehaviour(behaviour);
    CHECK(send("a", milliseconds(300)).reason().code == ErrorCode::Timeout);
    proxy.setBehaviour({});
    CHECK(send("b", longTimeout));
}
