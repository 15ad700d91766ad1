// Settings of all services of a node.
#pragma once

#include "Config/ConfigServiceOptions.h"
#include "Dispatch/RequestServiceSettings.h"
#include "Dispatch/TaskLauncherService.h"
#include "Ledger/LedgerSettings.h"
#include "Membership/FleetSettings.h"
#include "Membership/MembershipSettings.h"
#include "Policy/AdmissionQueue.h"
#include "Policy/EvictionPlanner.h"
#include "Policy/Placement.h"
#include "Policy/Router.h"
#include "Policy/WorkerHealth.h"
#include "Scheduler/PeerInfo.h"

namespace Config {
struct DaemonSettings;
}

namespace Daemon {

struct NodeSettings {
    Scheduler::PeerInfo self;
    Membership::MembershipSettings membership;
    Membership::FleetSettings fleet;
    Ledger::LedgerSettings ledger;
    Config::ConfigServiceOptions config;
    Dispatch::RequestServiceSettings requests;
    Dispatch::TaskLauncherService::Settings tasks;
    Policy::AdmissionQueue::Settings queue;
    Policy::Placement::Settings placement;
    Policy::WorkerHealth::Settings health;
    Policy::Router::Settings router;
    Policy::EvictionPlanner::Settings evictions;
    /// Rate of the budget for the link between regions.
    double interRegionBytesPerSecond = 250'000;
    /// Interval between updates of the load summary for peers.
    Common::Duration loadInterval = std::chrono::milliseconds(250);
    /// Longest time that a planned stop waits for the requests under way.
    Common::Duration drainTimeout = std::chrono::seconds(60);
    /// Longest time that it waits afterwards for the release of the ledger shards.
    Common::Duration handOverTimeout = std::chrono::seconds(10);
};

/// `boot` distinguishes this run of the daemon from all others on the host. `address` is where peers reach it,
/// "IP:port".
NodeSettings toNodeSettings(const Config::DaemonSettings&, const std::string& boot, const std::string& address);

} // namespace Daemon
