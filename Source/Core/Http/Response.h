// An HTTP response.
#pragma once

#include "Http/Headers.h"

#include <string>

namespace Http {

struct Response {
    int status = 200;
    Headers headers;
    std::string body;
};

} // namespace Http
