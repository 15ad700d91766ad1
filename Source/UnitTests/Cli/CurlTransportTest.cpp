// Failures of real connections on the loopback interface have distinct codes.
#include "Cli/CurlTransport.h"

#include "Cli/HttpCall.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

namespace {

/// Listens on a free port of the loopback interface.
class Listener {
public:
    Listener()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t length = sizeof(address);
        REQUIRE(bind(m_socket, generic, length) == 0);
        REQUIRE(listen(m_socket, 1) == 0);
        REQUIRE(getsockname(m_socket, generic, &length) == 0);
        m_port = ntohs(address.sin_port);
    }
    ~Listener() { close(m_socket); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Takes one connection, reads some of the request, sends `answer` and closes.
    void answerOnce(const std::string& answer) const
    {
        const int connection = accept(m_socket, nullptr, nullptr);
        char request[4096];
        CHECK(recv(connection, request, sizeof(request), 0) > 0);
        CHECK(send(connection, answer.data(), answer.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(answer.size()));
        close(connection);
    }

private:
    int m_socket;
    uint16_t m_port = 0;
};

Common::Result<Cli::HttpReply> callWithAnswer(const std::string& answer)
{
    const Listener listener;
    std::thread server([&] { listener.answerOnce(answer); });
    Cli::CurlTransport transport;
    Common::Result<Cli::HttpReply> reply
        = transport.send(listener.address(), Cli::HttpCall { .method = "POST", .target = "/x", .body = "body" });
    server.join();
    return reply;
}

} // namespace

TEST_CASE("a call to a port without a listener fails with ConnectFailed")
{
    std::string address;
    {
        const Listener listener;
        address = listener.address();
    }
    Cli::CurlTransport transport;
    CHECK(transport.send(address, Cli::HttpCall {}).reason().code == Common::ErrorCode::ConnectFailed);
}

TEST_CASE("a call to a daemon that does not answer fails with Timeout")
{
    const Listener listener;
    Cli::CurlTransport transport;
    const Cli::HttpCall call { .timeout = std::chrono::milliseconds(100) };
    CHECK(transport.send(listener.address(), call).reason().code == Common::ErrorCode::Timeout);
}

TEST_CASE("a complete answer has its status, headers and body")
{
    const auto reply = callWithAnswer("HTTP/1.1 503 No\r\nX-Outcome:  not-run\r\nContent-Length: 3\r\n\r\nabc");
    REQUIRE(reply);
    CHECK(reply->status == 503);
    CHECK(reply->header("x-outcome") == "not-run");
    CHECK(reply->body == "abc");
}

TEST_CASE("a truncated answer and a lost connection fail with their own codes")
{
    const auto truncated = callWithAnswer("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc");
    CHECK(truncated.reason().code == Common::ErrorCode::TruncatedAnswer);
    CHECK(callWithAnswer("").reason().code == Common::ErrorCode::ConnectionLost);
}
