// Ports through which a node reaches its clock, the store, workers and peers, and records events and metrics.
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
