// Tests that JSON-RPC messages are decoded as they were encoded, and that invalid ones are answered with an error.
#include "Peer/RpcCodec.h"

#include <doctest/doctest.h>

using Peer::RpcCodec;

TEST_CASE("a call and its result are decoded as they were encoded")
{
    RpcCodec server;
    server.addMethod("sum");
    const std::string text = RpcCodec::encodeCall("sum", R"({"a":[1,2],"b":"x"})");
    const RpcCodec::Call call = server.decodeCall(text);
    REQUIRE(call.valid);
    CHECK(call.method == "sum");
    CHECK(call.params == R"({"a":[1,2],"b":"x"})");
    const RpcCodec::Reply reply = RpcCodec::decodeReply(server.encodeResult(text, R"({"n":3})"));
    REQUIRE(reply.ok);
    CHECK(reply.result == R"({"n":3})");
}

TEST_CASE("an error keeps its message and data")
{
    RpcCodec server;
    server.addMethod("sum");
    const std::string text = RpcCodec::encodeCall("sum", "{}");
    const RpcCodec::Reply reply
        = RpcCodec::decodeReply(server.encodeError(text, "not here", R"({"code":"not-owner","retryAfterMs":300})"));
    CHECK_FALSE(reply.ok);
    CHECK(reply.errorMessage.find("not here") != std::string::npos);
    CHECK(reply.errorData == R"({"code":"not-owner","retryAfterMs":300})");
}

TEST_CASE("results of interleaved calls are not mixed up")
{
    RpcCodec server;
    server.addMethod("a");
    server.addMethod("b");
    const std::string first = RpcCodec::encodeCall("a", "{}");
    const std::string second = RpcCodec::encodeCall("b", "{}");
    server.decodeCall(first);
    server.decodeCall(second);
    CHECK(RpcCodec::decodeReply(server.encodeResult(first, R"({"of":"a"})")).result == R"({"of":"a"})");
    CHECK(RpcCodec::decodeReply(server.encodeResult(second, R"({"of":"b"})")).result == R"({"of":"b"})");
}

TEST_CASE("unknown methods, malformed and truncated messages are refused")
{
    RpcCodec server;
    server.addMethod("sum");
    for (const std::string& text : { RpcCodec::encodeCall("difference", "{}"), std::string("{nonsense"), std::string(),
             std::string(R"({"jsonrpc":"2.0","method":"sum","id":1,"params":{"body":7}})") }) {
        const RpcCodec::Call call = server.decodeCall(text);
        CHECK_FALSE(call.valid);
        CHECK_FALSE(RpcCodec::decodeReply(call.reply).ok);
    }
    CHECK_FALSE(RpcCodec::decodeReply(R"({"jsonrpc":"2.0","id":1,"resu)").ok);
    CHECK_FALSE(RpcCodec::decodeReply("").ok);
}
