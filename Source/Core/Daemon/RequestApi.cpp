// Calls for latency-critical requests.
#include "Daemon/RequestApi.h"

#include "Daemon/Node.h"
#include "Daemon/OutcomeCodec.h"
#include "Daemon/RouteTable.h"

#include <nlohmann/json.hpp>

namespace Daemon {

RequestApi::RequestApi(Node& node)
    : m_node(node)
{
}

void RequestApi::addRoutes(RouteTable& routes)
{
    routes.add("POST", "/v1/services/*/requests",
        [this](const ApiCall& call, const ApiReply& reply) { fromCaller(call, reply); });
    routes.add("DELETE", "/v1/requests/*",
        [this](const ApiCall& call, const ApiReply& reply) { cancel(call.arguments.front(), reply); });
    routes.add("POST", "/peer/requests", [this](const ApiCall& call, const ApiReply& reply) { fromPeer(call, reply); });
    routes.add("POST", "/peer/cancel",
        [this](const ApiCall& call, const ApiReply& reply) { cancel(call.request.body, reply); });
}

void RequestApi::fromCaller(const ApiCall& call, const ApiReply& reply)
{
    Common::Result<Dispatch::IncomingRequest> request = requestFromHttp(call.request, call.arguments.front());
    if (!request) {
        reply(toHttp(Dispatch::NotRun { request.reason() }, {}));
        return;
    }
    if (request->id.empty())
        request->id = Common::RequestId(m_node.membership().self().id.value() + "-" + std::to_string(++m_lastId));
    submit(std::move(*request), reply);
}

void RequestApi::fromPeer(const ApiCall& call, const ApiReply& reply)
{
    Common::Result<Dispatch::IncomingRequest> request
        = requestFromHttp(call.request, call.request.headers.get("X-Service").value_or(""));
    if (!request) {
        reply(toHttp(Dispatch::NotRun { request.reason() }, {}));
        return;
    }
    readPeerHeaders(call.request.headers, *request);
    submit(std::move(*request), reply);
}

void RequestApi::submit(Dispatch::IncomingRequest request, const ApiReply& reply)
{
    const Common::RequestId id = request.id;
    m_node.requests().submit(
        std::move(request), [reply, id](const Dispatch::RequestOutcome& outcome) { reply(toHttp(outcome, id)); });
}

void RequestApi::cancel(const std::string& id, const ApiReply& reply)
{
    const bool found = m_node.requests().cancel(Common::RequestId(id));
    reply(jsonResponse(200, { { "id", id }, { "cancelled", found } }));
}

} // namespace Daemon
