// The API's calls for batch jobs.
#pragma once

#include "Daemon/ApiTypes.h"

namespace Ledger {
struct JobStatus;
struct JobSubmission;
}

namespace Daemon {

class Node;
class RouteTable;

class JobApi {
public:
    explicit JobApi(Node&);

    void addRoutes(RouteTable&);

private:
    void submit(const ApiCall&, const ApiReply&);
    void list(const ApiCall&, const ApiReply&);
    void cancel(const ApiCall&, const ApiReply&);
    void cancelMany(const ApiCall&, const ApiReply&);
    void replyWithJob(const std::string& id, int status, const ApiReply&);

    Node& m_node;
};

} // namespace Daemon
