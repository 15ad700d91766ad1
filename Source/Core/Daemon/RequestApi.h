// The API's calls for latency-critical requests, from callers and peers.
#pragma once

#include "Daemon/ApiTypes.h"

namespace Dispatch {
struct IncomingRequest;
}

namespace Daemon {

class Node;
class RouteTable;

class RequestApi {
public:
    explicit RequestApi(Node&);

    void addRoutes(RouteTable&);

private:
    void fromCaller(const ApiCall&, const ApiReply&);
    void fromPeer(const ApiCall&, const ApiReply&);
    void cancel(const std::string& id, const ApiReply&);
    void submit(Dispatch::IncomingRequest, const ApiReply&);

    Node& m_node;
    uint64_t m_lastId = 0;
};

} // namespace Daemon
