// Calls and replies of other daemons with a wrong form: they fail, and the process lives on.
#include "Peer/JsonRpcPeer.h"

#include "Fakes/OddJson.h"
#include "Http/Client.h"
#include "Http/EventLoop.h"
#include "Http/LoopDriver.h"
#include "Http/RawServer.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>

using Common::ErrorCode;
using Json = nlohmann::json;
using Peer::JsonRpcPeer;
using Peer::RpcCodec;

namespace {

struct Serving {
    Http::EventLoop loop;
    Http::Client client { loop, {} };
    JsonRpcPeer peer { client };

    std::string handle(const std::string& body)
    {
        std::string reply;
        peer.handle(body, [&reply](std::string text) { reply = std::move(text); });
        return reply;
    }

    /// Calls a peer that gives this answer.
    Common::Result<Json> callAndRead(const std::string& answer)
    {
        const Fakes::RawServer server(loop, [&answer](Fakes::RawServer::Connection& connection) {
            connection.write(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer);
        });
        std::optional<Common::Result<Json>> result;
        peer.call(server.address(), "m", Json::object(), std::chrono::seconds(60),
            [&result](const Common::Result<Json>& reply) { result = reply; });
        REQUIRE(Fakes::runUntil(loop, [&] { return result.has_value(); }));
        return *result;
    }
};

} // namespace

TEST_CASE("a result that isn't UTF-8 is sent with the bytes replaced and doesn't end the process")
{
    Serving serving;
    // The reply comes later, as from a call to the store.
    Scheduler::PeerPort::Reply later;
    serving.peer.serve("m", [&later](const Json&, const Scheduler::PeerPort::Reply& reply) { later = reply; });
    std::string text;
    serving.peer.handle(RpcCodec::encodeCall("m", "{}"), [&text](std::string reply) { text = std::move(reply); });
    REQUIRE_NOTHROW(later(Json { { "records", Json::array({ "good", "\xff\xfe" }) } }));
    const RpcCodec::Reply reply = RpcCodec::decodeReply(text);
    REQUIRE(reply.ok);
    CHECK(Json::parse(reply.result)["records"][0] == "good");
}

TEST_CASE("a failure whose detail isn't UTF-8 is sent with the bytes replaced and doesn't end the process")
{
    Serving serving;
    serving.peer.serve("m", [](const Json&, const Scheduler::PeerPort::Reply& reply) {
        reply(Common::Failure { ErrorCode::NotOwner, "\xff\xfe", std::nullopt });
    });
    CHECK_FALSE(RpcCodec::decodeReply(serving.handle(RpcCodec::encodeCall("m", "{}"))).ok);
}

TEST_CASE("a failure whose parts have other types doesn't end the process")
{
    Serving serving;
    for (const char* const data : { R"({"code":"not-owner","detail":5})", R"({"code":7,"detail":null})",
             R"({"detail":[],"retryAfterMs":"x"})", R"({"detail":"d","retryAfterMs":9223372036854775807})",
             R"({"retryAfterMs":-5})", R"({"retryAfterMs":1e300})", "[]", "5" }) {
        CAPTURE(data);
        const auto result = serving.callAndRead(
            std::string(R"({"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"m","data":)") + data + "}}");
        REQUIRE_FALSE(result);
        if (result.reason().retryAfter)
            CHECK(*result.reason().retryAfter >= Common::Duration::zero());
    }
}

TEST_CASE("a message that is nested too deeply doesn't end the process")
{
    Serving serving;
    serving.peer.serve("m", [](const Json&, const Scheduler::PeerPort::Reply& reply) { reply(Json::object()); });
    for (const size_t depth : { size_t { 100 }, size_t { 990 }, size_t { 1100 }, Fakes::excessiveDepth }) {
        CAPTURE(depth);
        const std::string deep = Fakes::nestedLists(depth);
        CHECK_FALSE(RpcCodec::decodeReply(serving.handle(deep)).ok);
        CHECK_FALSE(
            serving.handle(R"({"jsonrpc":"2.0","id":1,"method":"m","params":{"body":{"a":)" + deep + "}}}").empty());
        CHECK_FALSE(serving.callAndRead(deep));
        CHECK_FALSE(serving.callAndRead(R"({"jsonrpc":"2.0","id":1,"result":)" + deep + "}"));
        CHECK_FALSE(
            serving.callAndRead(R"({"jsonrpc":"2.0","id":1,"error":{"code":1,"message":"m","data":)" + deep + "}}"));
    }
}

TEST_CASE("a call whose members have other types is answered with an error and doesn't end the process")
{
    Serving serving;
    serving.peer.serve("m", [](const Json&, const Scheduler::PeerPort::Reply& reply) { reply(Json::object()); });
    for (const char* const odd : { "5", "1e300", "-1e19", "[]", "{}", "null", "true", R"("x")" }) {
        const std::string value = odd;
        for (const std::string& body : { R"({"jsonrpc":)" + value + R"(,"id":1,"method":"m","params":{"body":{}}})",
                 R"({"jsonrpc":"2.0","id":)" + value + R"(,"method":"m","params":{"body":{}}})",
                 R"({"jsonrpc":"2.0","id":1,"method":)" + value + R"(,"params":{"body":{}}})",
                 R"({"jsonrpc":"2.0","id":1,"method":"m","params":)" + value + "}",
                 R"({"jsonrpc":"2.0","id":1,"method":"m","params":{"body":)" + value + "}}", value }) {
            CAPTURE(body);
            CHECK_NOTHROW(serving.handle(body));
        }
        CHECK_NOTHROW(
            serving.callAndRead(R"({"jsonrpc":"2.0","id":1,"error":{"code":)" + value + R"(,"message":"m"}})"));
        CHECK_NOTHROW(serving.callAndRead(R"({"jsonrpc":"2.0","id":1,"error":)" + value + "}"));
        CHECK_NOTHROW(serving.callAndRead(R"({"jsonrpc":"2.0","id":)" + value + R"(,"result":{}})"));
    }
}
