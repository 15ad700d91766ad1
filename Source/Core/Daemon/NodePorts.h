// What a node reaches the world through.
#pragma once

namespace Common {
class Metrics;
class Timeline;
}

namespace Dispatch {
class ForwardPort;
}

namespace Scheduler {
class PeerPort;
class Runtime;
class StorePort;
class WorkerPort;
}

namespace Daemon {

/// All outlive the node.
struct NodePorts {
    Scheduler::Runtime& runtime;
    Common::Timeline& timeline;
    Common::Metrics& metrics;
    Scheduler::StorePort& store;
    Scheduler::WorkerPort& workers;
    Scheduler::PeerPort& peers;
    Dispatch::ForwardPort& forward;
};

} // namespace Daemon
