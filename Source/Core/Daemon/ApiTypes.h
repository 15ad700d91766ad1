// A call of the HTTP API as its handlers see it.
#pragma once

#include "Common/Failure.h"
#include "Http/Request.h"
#include "Http/Response.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Daemon {

/// `arguments` are the path's segments that the route leaves open, percent-decoded; `query` likewise.
struct ApiCall {
    Http::Request request;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> query;
};

/// Called once for each call, now or later.
using ApiReply = std::function<void(Http::Response)>;
using ApiHandler = std::function<void(const ApiCall&, const ApiReply&)>;

Http::Response jsonResponse(int status, const nlohmann::json& body);
/// The error body of docs/PROTOCOLS.md with Retry-After headers where the failure has a time.
Http::Response failureResponse(const Common::Failure&);
/// The same with further members beside "error".
Http::Response failureResponse(const Common::Failure&, const nlohmann::json& beside);
/// The body as JSON; a discarded value when it isn't any.
nlohmann::json parseBody(const Http::Request&);
/// A text member of an object, empty when missing.
std::string textMember(const nlohmann::json& object, const char* name);
/// A query parameter, empty when missing.
std::string queryMember(const ApiCall&, const char* name);
/// A number from the query, `otherwise` when missing or no number.
uint64_t queryNumber(const ApiCall&, const char* name, uint64_t otherwise);

} // namespace Daemon
