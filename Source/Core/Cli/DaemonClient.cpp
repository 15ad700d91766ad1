// Fail-over between daemons and decoding of answers.
#include "Cli/DaemonClient.h"

#include "Cli/ExitCode.h"
#include "Cli/HttpCall.h"
#include "Cli/Transport.h"

#include <nlohmann/json.hpp>

#include <cctype>
#include <optional>

namespace Cli {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;

namespace {

    constexpr int firstSuccess = 200;
    constexpr int afterSuccess = 300;

    Failure namedFailure(const HttpReply& reply)
    {
        const nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
        Failure unreadable { .code = ErrorCode::ProtocolError,
            .detail = "status " + std::to_string(reply.status) + " without a readable error" };
        if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
            return unreadable;
        const nlohmann::json& error = body["error"];
        const nlohmann::json code = error.value("code", nlohmann::json());
        const nlohmann::json message = error.value("message", nlohmann::json());
        const auto known = code.is_string() ? Common::errorFromName(code.get<std::string>()) : std::nullopt;
        if (!known)
            return unreadable;
        Failure failure { .code = *known, .detail = message.is_string() ? message.get<std::string>() : "" };
        const nlohmann::json retryAfter = body.value("retryAfterMs", nlohmann::json());
        if (retryAfter.is_number_integer())
            failure.retryAfter = std::chrono::milliseconds(retryAfter.get<int64_t>());
        return failure;
    }

    /// A draining daemon refuses a call without any effect.
    bool isDraining(const HttpReply& reply)
    {
        constexpr int unavailable = 503;
        return reply.status == unavailable && namedFailure(reply).code == ErrorCode::Draining;
    }

    /// Whether the code shows only that the call had no effect at the daemon that answered.
    bool hadNoEffectThere(ErrorCode code) { return exitCodeOf(code) == ExitCode::NotRun; }

} // namespace

DaemonClient::DaemonClient(Transport& transport, std::vector<std::string> addresses)
    : m_transport(transport)
    , m_addresses(std::move(addresses))
{
}

Result<HttpReply> DaemonClient::call(const HttpCall& call)
{
    std::optional<Failure> mayHaveArrived;
    std::optional<HttpReply> draining;
    Failure last { .code = ErrorCode::ConnectFailed, .detail = "no daemon's address is known" };
    for (const std::string& address : m_addresses) {
        Result<HttpReply> reply = m_transport.send(address, call);
        if (reply) {
            reply->afterLostAnswer = mayHaveArrived && call.method != "GET";
            if (!isDraining(*reply))
                return reply;
            draining = std::move(*reply);
            continue;
        }
        last = reply.reason();
        if (last.code == ErrorCode::ConnectFailed)
            continue;
        if (!call.repeatable)
            return last;
        if (!mayHaveArrived)
            mayHaveArrived = last;
    }
    if (mayHaveArrived)
        return *mayHaveArrived;
    if (draining)
        return *draining;
    return last;
}

Result<HttpReply> DaemonClient::callAt(const std::string& address, const HttpCall& call)
{
    return m_transport.send(address, call);
}

Result<nlohmann::json> jsonOf(const Result<HttpReply>& reply)
{
    if (!reply)
        return reply.reason();
    if (reply->status < firstSuccess || reply->status >= afterSuccess)
        return failureOf(*reply);
    nlohmann::json body = nlohmann::json::parse(reply->body, nullptr, false);
    if (!body.is_object())
        return Failure { .code = ErrorCode::ProtocolError, .detail = "the answer is not a JSON object" };
    return body;
}

Failure failureOf(const HttpReply& reply)
{
    Failure failure = namedFailure(reply);
    if (!reply.afterLostAnswer || !hadNoEffectThere(failure.code))
        return failure;
    return Failure { .code = ErrorCode::OutcomeUnknown,
        .detail = "an earlier try got no answer; then: " + std::string(Common::errorName(failure.code)) + ": "
            + failure.detail };
}

std::string percentEncoded(const std::string& text)
{
    const char* const digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || letter == '-' || letter == '_' || letter == '.' || letter == '~') {
            encoded += letter;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace Cli
