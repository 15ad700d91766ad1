// Requests and their outcomes as HTTP messages, between callers, daemons and peers.
#pragma once

#include "Common/Result.h"
#include "Dispatch/IncomingRequest.h"
#include "Dispatch/RequestOutcome.h"
#include "Http/Request.h"
#include "Http/Response.h"

namespace Daemon {

/// A caller's call, or a peer's. The id is left empty when the caller gave none. MalformedRequest when a header is
/// wrong.
Common::Result<Dispatch::IncomingRequest> requestFromHttp(Http::Request, const std::string& service);
/// The call by which a daemon passes a request on.
Http::Request toPeerRequest(const Dispatch::IncomingRequest&);
/// Hops and intent of a request that a peer passed on.
void readPeerHeaders(const Http::Headers&, Dispatch::IncomingRequest&);

Http::Response toHttp(const Dispatch::RequestOutcome&, const Common::RequestId&);
/// A response that names no outcome is taken for unknown.
Dispatch::RequestOutcome outcomeFromHttp(const Http::Response&);
/// What a failed call to a peer says of the request.
Dispatch::RequestOutcome outcomeOfFailedCall(const Common::Failure&);

} // namespace Daemon
