// Bodies and parameters of the HTTP API.
#include "Daemon/ApiTypes.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Daemon {

using nlohmann::json;

Http::Response jsonResponse(int status, const json& body)
{
    Http::Response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    // Callers' texts may hold bytes that are not UTF-8, on which dump() throws by default; they are replaced.
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

Http::Response failureResponse(const Common::Failure& failure) { return failureResponse(failure, json::object()); }

Http::Response failureResponse(const Common::Failure& failure, const json& extraMembers)
{
    json body = extraMembers;
    body["error"] = { { "code", Common::errorName(failure.code) }, { "message", failure.detail } };
    if (!failure.retryAfter)
        return jsonResponse(Common::httpStatus(failure.code), body);
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(*failure.retryAfter);
    body["retryAfterMs"] = milliseconds.count();
    Http::Response response = jsonResponse(Common::httpStatus(failure.code), body);
    response.headers.set("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(milliseconds).count()));
    response.headers.set("Retry-After-Ms", std::to_string(milliseconds.count()));
    return response;
}

json parseBody(const Http::Request& request) { return json::parse(request.body, nullptr, false); }

std::string textMember(const json& object, const char* name)
{
    if (!object.is_object())
        return {};
    const auto member = object.find(name);
    return member != object.end() && member->is_string() ? member->get<std::string>() : std::string();
}

std::string queryParameter(const ApiCall& call, const char* name)
{
    const auto member = call.query.find(name);
    return member == call.query.end() ? std::string() : member->second;
}

uint64_t queryNumber(const ApiCall& call, const char* name, uint64_t fallback)
{
    const std::string text = queryParameter(call, name);
    uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? number : fallback;
}

} // namespace Daemon
