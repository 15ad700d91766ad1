// The API's calls for operators and monitoring.
#pragma once

#include "Daemon/ApiTypes.h"

#include <functional>

namespace Common {
class Metrics;
}

namespace Daemon {

class Node;
class RouteTable;

class OperatorApi {
public:
    /// `drain` starts a planned stop; it may be called more than once.
    OperatorApi(Node&, Common::Metrics&, std::function<void()> drain);

    void addRoutes(RouteTable&);

private:
    void workers(const ApiReply&);
    void hosts(const ApiReply&);
    void timeline(const ApiCall&, const ApiReply&);
    void drain(const ApiReply&);
    void ready(const ApiReply&);

    Node& m_node;
    Common::Metrics& m_metrics;
    std::function<void()> m_drain;
};

} // namespace Daemon
