// Writes and reads the typed JSON body of a failed HTTP call.
#include "Http/ErrorBody.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace Http {

namespace {

    std::chrono::milliseconds inMilliseconds(Common::Duration duration)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, Common::Duration::zero()));
    }

    std::string wholeSeconds(std::chrono::milliseconds delay)
    {
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
    }

    std::optional<Common::Duration> readRetryAfter(const nlohmann::json& body)
    {
        const auto field = body.find("retryAfterMs");
        if (field == body.end() || !field->is_number())
            return std::nullopt;
        return std::chrono::milliseconds(field->get<int64_t>());
    }

} // namespace

Response errorResponse(const Common::Failure& failure)
{
    nlohmann::json body;
    body["error"] = { { "code", Common::errorName(failure.code) }, { "message", failure.detail } };
    Response response;
    response.status = Common::httpStatus(failure.code);
    if (failure.retryAfter) {
        const auto delay = inMilliseconds(*failure.retryAfter);
        body["retryAfterMs"] = delay.count();
        response.headers.set("Retry-After", wholeSeconds(delay));
        response.headers.set("Retry-After-Ms", std::to_string(delay.count()));
    }
    response.headers.set("Content-Type", "application/json");
    // Details may quote bytes from the caller that are not UTF-8.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

Response errorResponse(Common::ErrorCode code, std::string detail)
{
    return errorResponse(Common::Failure { code, std::move(detail), std::nullopt });
}

Response jsonResponse(int status, std::string body)
{
    Response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

Common::Failure failureFrom(const Response& response)
{
    Common::Failure failure { Common::ErrorCode::ProtocolError, "HTTP status " + std::to_string(response.status),
        std::nullopt };
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return failure;
    const nlohmann::json& error = body["error"];
    const auto code = error.find("code");
    const auto message = error.find("message");
    if (code != error.end() && code->is_string())
        failure.code = Common::errorFromName(code->get_ref<const std::string&>()).value_or(failure.code);
    if (message != error.end() && message->is_string())
        failure.detail = message->get<std::string>();
    failure.retryAfter = readRetryAfter(body);
    return failure;
}

bool succeeded(const Response& response) { return response.status >= 200 && response.status < 300; }

} // namespace Http
