// An HTTP request, received or to be sent.
#pragma once

#include "Http/Headers.h"

#include <string>

namespace Http {

struct Request {
    /// "GET", "POST", "PUT" or "DELETE".
    std::string method = "GET";
    /// Path with query: "/v1/jobs?team=desk".
    std::string target;
    Headers headers;
    std::string body;
};

} // namespace Http
