// The API's calls that read and change the operators' configuration.
#pragma once

#include "Daemon/ApiTypes.h"

namespace Daemon {

class Node;
class RouteTable;

class ConfigApi {
public:
    explicit ConfigApi(Node&);

    void addRoutes(RouteTable&);

private:
    void show(const ApiReply&);
    void apply(const ApiCall&, const ApiReply&);
    void history(const ApiCall&, const ApiReply&);
    void status(const ApiReply&);

    Node& m_node;
};

} // namespace Daemon
