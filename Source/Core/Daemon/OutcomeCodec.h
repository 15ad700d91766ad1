// Encodes and decodes requests and their outcomes as HTTP messages between callers, daemons and peers.
#pragma once

#include "Common/Result.h"
#include "Dispatch/IncomingRequest.h"
#include "Dispatch/RequestOutcome.h"
#include "Http/Request.h"
#include "Http/Response.h"

namespace Daemon {

/// Decodes the request in a caller's or a peer's call. The id is empty if the call has none. MalformedRequest if a
/// header is invalid.
Common::Result<Dispatch::IncomingRequest> requestFromHttp(Http::Request, const std::string& service);
/// The call that forwards a request to a peer.
Http::Request toPeerRequest(const Dispatch::IncomingRequest&);
/// Reads the hop count and the intent flag of a forwarded request. A missing or invalid count is taken as 1.
void readPeerHeaders(const Http::Headers&, Dispatch::IncomingRequest&);

Http::Response toHttp(const Dispatch::RequestOutcome&, const Common::RequestId&);
/// OutcomeUnknown for a response whose outcome is missing or not recognized.
Dispatch::RequestOutcome outcomeFromHttp(const Http::Response&);
/// The outcome of a request whose call to a peer has failed: NotRun if no connection was made, otherwise
/// OutcomeUnknown.
Dispatch::RequestOutcome outcomeOfFailedCall(const Common::Failure&);

} // namespace Daemon
