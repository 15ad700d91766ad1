// Headers and bodies of requests and outcomes.
#include "Daemon/OutcomeCodec.h"

#include "Daemon/ApiTypes.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Daemon {

using Common::ErrorCode;
using Common::Failure;
using Dispatch::IncomingRequest;
using Dispatch::RequestOutcome;

namespace {

    constexpr const char* requestIdHeader = "X-Request-Id";
    constexpr const char* deadlineHeader = "X-Deadline-Ms";
    constexpr const char* idempotentHeader = "X-Idempotent";
    constexpr const char* outcomeHeader = "X-Outcome";
    constexpr const char* serviceHeader = "X-Service";
    constexpr const char* hopsHeader = "X-Hops";
    constexpr const char* intentHeader = "X-Intent-Held";
    constexpr size_t maximumIdLength = 128;
    constexpr int64_t longestDeadlineMilliseconds = 24 * 3600 * 1000;
    constexpr int maximumPeerHops = 8;

    std::optional<int64_t> toNumber(const std::string& text)
    {
        int64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    Failure malformed(const char* header, const char* allowed)
    {
        return Failure { ErrorCode::MalformedRequest, std::string(header) + " must be " + allowed };
    }

    /// Printable ASCII without blanks, so that ids can be part of logs, paths and headers.
    bool isValidId(const std::string& id)
    {
        return id.size() <= maximumIdLength
            && std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    }

    Failure failureFromBody(const Http::Response& response)
    {
        const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
        Failure failure { ErrorCode::ProtocolError, "the answer has no reason" };
        if (!body.is_object() || !body.contains("error"))
            return failure;
        failure.code = Common::errorFromName(textMember(body["error"], "code")).value_or(ErrorCode::ProtocolError);
        failure.detail = textMember(body["error"], "message");
        const auto retryAfter = body.find("retryAfterMs");
        if (retryAfter != body.end() && retryAfter->is_number_integer())
            failure.retryAfter = std::chrono::milliseconds(retryAfter->get<int64_t>());
        return failure;
    }

    struct OutcomeToHttp {
        Http::Response operator()(const Dispatch::Answered& answered) const
        {
            Http::Response response;
            response.headers.set(outcomeHeader, "answer");
            response.headers.set("Content-Type", answered.contentType);
            response.body = answered.body;
            return response;
        }
        Http::Response operator()(const Dispatch::NotRun& notRun) const { return failed("not-run", notRun.reason); }
        Http::Response operator()(const Dispatch::OutcomeUnknown& unknown) const
        {
            return failed("unknown", unknown.reason);
        }

        static Http::Response failed(const char* outcome, const Failure& reason)
        {
            Http::Response response = failureResponse(reason, { { "outcome", outcome } });
            response.headers.set(outcomeHeader, outcome);
            return response;
        }
    };

} // namespace

Common::Result<IncomingRequest> requestFromHttp(Http::Request from, const std::string& service)
{
    IncomingRequest request;
    request.service = Common::ServiceName(service);
    const std::string id = from.headers.get(requestIdHeader).value_or("");
    if (!isValidId(id))
        return malformed(requestIdHeader, "up to 128 printable characters without blanks");
    request.id = Common::RequestId(id);
    if (const auto text = from.headers.get(deadlineHeader)) {
        const auto milliseconds = toNumber(*text);
        if (!milliseconds || *milliseconds > longestDeadlineMilliseconds)
            return malformed(deadlineHeader, "a number of milliseconds, at most a day");
        request.deadline = std::chrono::milliseconds(std::max<int64_t>(0, *milliseconds));
    }
    if (const auto text = from.headers.get(idempotentHeader)) {
        if (*text != "true" && *text != "false")
            return malformed(idempotentHeader, "true or false");
        request.idempotent = *text == "true";
    }
    request.contentType = from.headers.get("Content-Type").value_or("application/octet-stream");
    request.body = std::move(from.body);
    return request;
}

Http::Request toPeerRequest(const IncomingRequest& request)
{
    Http::Request to;
    to.method = "POST";
    to.target = "/peer/requests";
    to.headers.set(requestIdHeader, request.id.value());
    to.headers.set(serviceHeader, request.service.value());
    to.headers.set("Content-Type", request.contentType);
    to.headers.set(hopsHeader, std::to_string(request.hops));
    if (request.deadline) {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(*request.deadline);
        to.headers.set(deadlineHeader, std::to_string(milliseconds.count()));
    }
    if (request.idempotent)
        to.headers.set(idempotentHeader, *request.idempotent ? "true" : "false");
    if (request.intentHeld)
        to.headers.set(intentHeader, "true");
    to.body = request.body;
    return to;
}

void readPeerHeaders(const Http::Headers& headers, IncomingRequest& request)
{
    const auto hops = toNumber(headers.get(hopsHeader).value_or("1"));
    request.hops = static_cast<int>(std::clamp<int64_t>(hops.value_or(1), 1, maximumPeerHops));
    request.intentHeld = headers.get(intentHeader) == "true";
}

Http::Response toHttp(const RequestOutcome& outcome, const Common::RequestId& id)
{
    Http::Response response = std::visit(OutcomeToHttp {}, outcome);
    response.headers.set(requestIdHeader, id.value());
    return response;
}

RequestOutcome outcomeFromHttp(const Http::Response& response)
{
    const std::string outcome = response.headers.get(outcomeHeader).value_or("");
    if (outcome == "answer" && response.status == 200)
        return Dispatch::Answered { response.headers.get("Content-Type").value_or(""), response.body };
    const Failure failure = failureFromBody(response);
    if (outcome == "not-run")
        return Dispatch::NotRun { failure };
    return Dispatch::OutcomeUnknown { failure };
}

RequestOutcome outcomeOfFailedCall(const Failure& failure)
{
    if (failure.code == ErrorCode::ConnectFailed)
        return Dispatch::NotRun { failure };
    return Dispatch::OutcomeUnknown { failure };
}

} // namespace Daemon
