// A call of the daemon's HTTP API as its handlers see it, and helpers to read bodies and to build answers.
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

/// `arguments` are the path segments that match the route's "*", in order. Arguments and query parameters are
/// percent-decoded.
struct ApiCall {
    Http::Request request;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> query;
};

/// Called once for each call, now or later.
using ApiReply = std::function<void(Http::Response)>;
using ApiHandler = std::function<void(const ApiCall&, const ApiReply&)>;

Http::Response jsonResponse(int status, const nlohmann::json& body);
/// The error body of docs/PROTOCOLS.md. If the failure has a retry time, the answer also has the headers Retry-After
/// (seconds) and Retry-After-Ms, both rounded up.
Http::Response failureResponse(const Common::Failure&);
/// The same with additional members beside "error".
Http::Response failureResponse(const Common::Failure&, const nlohmann::json& extraMembers);
/// The body as JSON; a discarded value if it is not JSON.
nlohmann::json parseBody(const Http::Request&);
/// A text member of an object; empty if it is missing or not a text.
std::string textMember(const nlohmann::json& object, const char* name);
/// A query parameter; empty if it is missing.
std::string queryParameter(const ApiCall&, const char* name);
/// A query parameter as a number; the fallback if it is missing or not a number.
uint64_t queryNumber(const ApiCall&, const char* name, uint64_t fallback);

} // namespace Daemon
