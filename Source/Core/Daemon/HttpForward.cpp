// Forwarded and cancelled requests as HTTP calls to peers.
#include "Daemon/HttpForward.h"

#include "Daemon/OutcomeCodec.h"
#include "Http/Client.h"

namespace Daemon {

namespace {

    constexpr Common::Duration cancelTimeout = std::chrono::seconds(1);

} // namespace

void HttpForward::forward(const std::string& address, const Dispatch::IncomingRequest& request,
    Common::Duration timeout, Dispatch::OutcomeCallback callback)
{
    m_client.send(address, toPeerRequest(request), timeout,
        [callback = std::move(callback)](const Common::Result<Http::Response>& response) {
            callback(response ? outcomeFromHttp(*response) : outcomeOfFailedCall(response.reason()));
        });
}

void HttpForward::cancel(const std::string& address, const std::string& requestId)
{
    Http::Request request;
    request.method = "POST";
    request.target = "/peer/cancel";
    request.body = requestId;
    m_client.send(address, std::move(request), cancelTimeout, [](const auto&) {});
}

} // namespace Daemon
