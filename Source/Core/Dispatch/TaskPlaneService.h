// Places, starts and stops batch tasks on workers of this daemon and of its peers.
#pragma once

#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Scheduler/PeerInfo.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/ServiceContext.h"
#include "Scheduler/TaskLauncher.h"
#include "Scheduler/WorkerFleet.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace Ledger {
class ShardOwners;
}

namespace Policy {
class Placement;
class WorkerHealth;
struct PlacementRequest;
}

namespace Scheduler {
class ConfigView;
class MembershipView;
class WorkerPort;
}

namespace Dispatch {

class WorkerPool;

/// The owner of a worker tells of its batch tasks: to the owners of their ledger shards when something changed and now
/// and then, and to whoever asked with each report. Views carry all batch tasks of the worker, since the two ends may
/// disagree on who owns a shard, and a task that is left out counts as absent.
class TaskPlaneService final : public Scheduler::TaskLauncher {
public:
    struct Dependencies {
        Scheduler::ConfigView& config;
        Scheduler::MembershipView& membership;
        Scheduler::PeerPort& peers;
        Scheduler::WorkerFleet& fleet;
        Scheduler::WorkerPort& workers;
        WorkerPool& pool;
        Ledger::ShardOwners& shards;
        Policy::Placement& placement;
        Policy::WorkerHealth& health;
    };
    struct Settings {
        std::chrono::milliseconds taskLease { 15000 };
        Common::Duration peerTimeout = std::chrono::seconds(2);
        /// Peers asked for room for one task.
        size_t maximumPeersAsked = 3;
        /// An unchanged view is repeated to shard owners this often.
        Common::Duration viewRepeatInterval = std::chrono::seconds(5);
        /// How long one request for views keeps them coming.
        Common::Duration viewInterestDuration = std::chrono::seconds(10);
    };
    /// Evicts a job's task if this process owns its shard; false otherwise.
    using Evict = std::function<bool(const Common::TaskId&)>;

    TaskPlaneService(const Scheduler::ServiceContext&, const Dependencies&, const Settings&);

    void start();
    void onEvict(Evict evict) { m_evict = std::move(evict); }
    /// Has the shard's owner evict the task, wherever that is.
    void requestEviction(const Common::TaskId&);
    /// True when a daemon of the worker's domain is heard from, so that the worker's silence says something of it.
    bool isDomainReachable(const Common::WorkerId&) const;
    /// A task for which room was kept here.
    struct PlacedTask {
        Scheduler::TaskSpec spec;
        Common::MonotonicTime reservedAt;
        /// Only a report or a refusal ends it from then on; a release that comes late does not.
        bool startSent = false;
    };
    /// Null for tasks that were adopted from an earlier owner.
    const PlacedTask* placed(const Common::TaskId&) const;

    void reserve(const Scheduler::TaskSpec&, Common::Callback<Scheduler::Reservation>) override;
    void start(const Scheduler::Reservation&, const Scheduler::TaskSpec&, Common::Callback<Common::Done>) override;
    void release(const Scheduler::Reservation&) override;
    void control(const Common::WorkerId&, Scheduler::TaskControl, const std::vector<Common::TaskId>&) override;
    void acknowledge(const Common::WorkerId&, const std::vector<Common::TaskId>&) override;
    void requestView(const Common::WorkerId&) override;
    void onView(std::function<void(const Scheduler::WorkerView&)>) override;

private:
    /// A reservation that is tried with one peer after the other.
    struct Search {
        Scheduler::TaskSpec spec;
        std::vector<Scheduler::PeerInfo> candidates;
        size_t next = 0;
        /// Every daemon asked so far says that no worker of its own, even empty, could hold the task.
        bool neverFits = true;
        /// Daemons that were not asked.
        bool incomplete = false;
        Common::Callback<Scheduler::Reservation> callback;
    };
    /// What was last told of a worker, and to whom it is told.
    struct ViewState {
        std::string lastContent;
        Common::MonotonicTime sentAt;
        std::map<Common::DaemonId, Common::MonotonicTime> interestedUntil;
    };

    void servePeers();
    Common::Result<Scheduler::Reservation> reserveHere(const Scheduler::TaskSpec&);
    Policy::PlacementRequest placementOf(const Scheduler::TaskSpec&) const;
    std::vector<Scheduler::PeerInfo> candidatesFor(const Scheduler::TaskSpec&) const;
    void askNext(const std::shared_ptr<Search>&);
    void endSearch(const std::shared_ptr<Search>&);
    void startHere(const Scheduler::Reservation&, const Scheduler::TaskSpec&, const Common::Callback<Common::Done>&);
    void controlHere(const Common::WorkerId&, Scheduler::TaskControl, const std::vector<Common::TaskId>&);
    void watchHere(const Common::WorkerId&, const Common::DaemonId& by);
    /// Calls the worker's owner, or every daemon that might be it when it isn't known.
    void callOwner(const Common::WorkerId&, const std::string& method, const nlohmann::json& params);
    void onFleetChange(Scheduler::WorkerFleet::Change, const Scheduler::OwnedWorker&);
    void learnOutcomes(const Scheduler::OwnedWorker&);
    void tellViews(const Scheduler::OwnedWorker&);
    void tell(const Common::DaemonId&, const Scheduler::WorkerView&);
    void receiveView(const Scheduler::WorkerView&, const Common::DaemonId& from);

    Scheduler::ServiceContext m_context;
    Dependencies m_dependencies;
    Settings m_settings;
    Evict m_evict;
    std::function<void(const Scheduler::WorkerView&)> m_receiver;
    std::unordered_map<Common::WorkerId, ViewState> m_views;
    /// Who last told of a worker that is not owned here.
    struct Teller {
        Common::DaemonId daemon;
        Common::DomainId domain;
    };
    std::unordered_map<Common::WorkerId, Teller> m_lastTeller;
    std::unordered_map<Common::TaskId, PlacedTask> m_placed;
    /// Ended tasks whose outcome was counted; they stay listed until acknowledged.
    std::unordered_map<Common::WorkerId, std::unordered_set<Common::TaskId>> m_counted;
    Common::Lifetime m_lifetime;
};

} // namespace Dispatch
