// Fail-over between daemons, and decoding of failures.
#include "Cli/DaemonClient.h"

#include "Cli/CliFakes.h"

#include <doctest/doctest.h>

using namespace CliFakes;

TEST_CASE("after a refused connection any call goes to the next address")
{
    Transport transport;
    transport.on("POST /x", reply(200, "{}"), "b:1");
    Cli::DaemonClient client(transport, { "a:1", "b:1" });
    CHECK(client.call(Cli::HttpCall { .method = "POST", .target = "/x", .repeatable = false }));
}

TEST_CASE("after a lost answer only a repeatable call goes to the next address")
{
    Transport transport;
    transport.fail("POST /x", ErrorCode::ConnectionLost, "a:1");
    transport.on("POST /x", reply(200, "{}"), "b:1");
    Cli::DaemonClient client(transport, { "a:1", "b:1" });
    const auto once = client.call(Cli::HttpCall { .method = "POST", .target = "/x", .repeatable = false });
    REQUIRE_FALSE(once);
    CHECK(once.reason().code == ErrorCode::ConnectionLost);
    CHECK(transport.sent.size() == 1);
    CHECK(client.call(Cli::HttpCall { .method = "POST", .target = "/x" }));
}

TEST_CASE("a call that may have reached a daemon does not fail with ConnectFailed")
{
    Transport transport;
    transport.fail("POST /x", ErrorCode::Timeout, "a:1");
    Cli::DaemonClient client(transport, { "a:1", "b:1" });
    CHECK(client.call(Cli::HttpCall { .method = "POST", .target = "/x" }).reason().code == ErrorCode::Timeout);
    CHECK(client.call(Cli::HttpCall { .target = "/y" }).reason().code == ErrorCode::ConnectFailed);
}

TEST_CASE("a draining daemon is skipped if another daemon answers")
{
    Transport transport;
    transport.on("POST /x", errorReply(503, "draining"), "a:1");
    transport.on("POST /x", reply(200, "{}"), "b:1");
    const Cli::HttpCall call { .method = "POST", .target = "/x", .repeatable = false };
    CHECK(Cli::DaemonClient(transport, { "a:1", "b:1" }).call(call)->status == 200);
    // c:1 refuses connections.
    for (const std::vector<std::string>& addresses :
        std::vector<std::vector<std::string>> { { "a:1" }, { "a:1", "c:1" }, { "c:1", "a:1" } }) {
        const auto refused = Cli::DaemonClient(transport, addresses).call(call);
        REQUIRE(refused);
        CHECK(Cli::failureOf(*refused).code == ErrorCode::Draining);
    }
}

TEST_CASE("after a lost answer a refusal by the next daemon leaves the outcome of a change unknown")
{
    Transport transport;
    transport.fail("", ErrorCode::Timeout, "a:1");
    transport.on("", errorReply(503, "store-unavailable"), "b:1");
    Cli::DaemonClient client(transport, { "a:1", "b:1" });
    const auto changed = Cli::jsonOf(client.call(Cli::HttpCall { .method = "POST", .target = "/x" }));
    CHECK(changed.reason().code == ErrorCode::OutcomeUnknown);
    CHECK(Cli::jsonOf(client.call(Cli::HttpCall { .target = "/x" })).reason().code == ErrorCode::StoreUnavailable);
}

TEST_CASE("an error body is decoded to its failure, anything else to ProtocolError")
{
    const auto failure = Cli::failureOf(errorReply(503, "overloaded"));
    CHECK(failure.code == ErrorCode::Overloaded);
    CHECK(failure.detail == "because");
    CHECK(failure.retryAfter == Common::Duration(std::chrono::milliseconds(250)));
    for (const char* body : { "", "<html>", "{}", R"({"error": 5})", R"({"error": {"code": "new-code"}})" })
        CHECK(Cli::failureOf(reply(500, body)).code == ErrorCode::ProtocolError);
    CHECK(Cli::jsonOf(Result<Cli::HttpReply>(reply(200, "[]"))).reason().code == ErrorCode::ProtocolError);
    CHECK(Cli::percentEncoded("a b/é#1") == "a%20b%2F%C3%A9%231");
}
