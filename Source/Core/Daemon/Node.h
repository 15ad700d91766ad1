// Creates and connects all services of one daemon. DaemonProcess gives it ports to the network, tests give it fakes.
#pragma once

#include "Common/Lifetime.h"
#include "Config/ConfigService.h"
#include "Daemon/NodePorts.h"
#include "Daemon/NodeSettings.h"
#include "Dispatch/Evictor.h"
#include "Dispatch/RequestService.h"
#include "Dispatch/TaskLauncherService.h"
#include "Dispatch/WorkerPool.h"
#include "Ledger/IntentService.h"
#include "Ledger/JobGateway.h"
#include "Ledger/JobService.h"
#include "Ledger/ShardOwners.h"
#include "Membership/FleetService.h"
#include "Membership/MembershipService.h"
#include "Policy/AdmissionQueue.h"
#include "Policy/InterferenceModel.h"
#include "Policy/LinkBudget.h"
#include "Policy/Placement.h"
#include "Policy/Router.h"
#include "Policy/WorkerHealth.h"

#include <functional>
#include <set>

namespace Daemon {

/// Members are in the order in which they use each other: a service uses those before it.
class Node {
public:
    Node(const NodePorts&, const NodeSettings&);
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void start();
    /// A planned stop: waits for the requests under way, releases ledger shards and workers, leaves the membership,
    /// then calls `done`. Later calls are ignored.
    void drain(std::function<void()> done);
    bool draining() const { return m_draining; }
    /// Whether the node has a configuration and accepts new work.
    bool ready() const;

    Membership::MembershipService& membership() { return m_membership; }
    Membership::FleetService& fleet() { return m_fleet; }
    Config::ConfigService& config() { return m_config; }
    Dispatch::RequestService& requests() { return m_requests; }
    Ledger::JobGateway& jobs() { return m_gateway; }
    Policy::WorkerHealth& health() { return m_health; }
    Common::Timeline& timeline() { return m_ports.timeline; }
    Common::MonotonicTime now() const;

private:
    void updateLoad();
    void awaitRequests(Common::MonotonicTime giveUpAt);
    void handOver();
    void releaseWorkers();

    NodePorts m_ports;
    NodeSettings m_settings;
    Scheduler::ServiceContext m_context;
    Membership::MembershipService m_membership;
    Config::ConfigService m_config;
    Membership::FleetService m_fleet;
    Policy::InterferenceModel m_interference;
    Policy::WorkerHealth m_health;
    Policy::Placement m_placement;
    Policy::AdmissionQueue m_queue;
    Policy::LinkBudget m_link;
    Policy::Router m_router;
    Ledger::ShardOwners m_shards;
    Ledger::IntentService m_intents;
    Dispatch::WorkerPool m_pool;
    Dispatch::TaskLauncherService m_tasks;
    Ledger::JobService m_jobs;
    Ledger::JobGateway m_gateway;
    Dispatch::RequestService m_requests;
    Dispatch::Evictor m_evictor;
    /// Peers whose load summaries the router has.
    std::set<Common::DaemonId> m_routedPeers;
    bool m_draining = false;
    std::function<void()> m_onDrained;
    Common::Lifetime m_lifetime;
};

} // namespace Daemon
