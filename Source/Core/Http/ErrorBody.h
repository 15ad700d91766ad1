// The typed JSON body of a failed HTTP call, written and read.
#pragma once

#include "Common/Failure.h"
#include "Http/Response.h"

#include <string>

namespace Http {

/// Status, `Retry-After` headers and body of a failure, as the protocol page has them.
Response errorResponse(const Common::Failure&);
Response errorResponse(Common::ErrorCode, std::string detail);
/// A response with a JSON body.
Response jsonResponse(int status, std::string body);
/// The failure that an answer other than 2xx carries; ProtocolError when its body says nothing that can be read.
Common::Failure failureFrom(const Response&);
/// True for 2xx.
bool succeeded(const Response&);

} // namespace Http
