// Writes and reads the typed JSON body of a failed HTTP call.
#pragma once

#include "Common/Failure.h"
#include "Http/Response.h"

#include <string>

namespace Http {

/// The response for a failure: status, typed JSON body and, if the failure has a retry time, `Retry-After` (seconds)
/// and `Retry-After-Ms` headers, both rounded up.
Response errorResponse(const Common::Failure&);
Response errorResponse(Common::ErrorCode, std::string detail);
/// A response with a JSON body.
Response jsonResponse(int status, std::string body);
/// The failure in an answer other than 2xx; ProtocolError if the body has no known error code.
Common::Failure failureFrom(const Response&);
/// True for 2xx.
bool succeeded(const Response&);

} // namespace Http
