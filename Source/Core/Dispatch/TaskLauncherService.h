// Reserves room for batch tasks and starts and stops them, on workers of this daemon and of its peers.
// The job service uses it through Scheduler::TaskLauncher.
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

/// The owner of a worker sends views of its batch tasks: to the owners of their ledger shards on every change and
/// periodically, and to daemons that asked for views with each report. A view has all batch tasks of the worker, since
/// sender and receiver may disagree on who owns a shard, and a task that is left out counts as absent.
class TaskLauncherService final : public Scheduler::TaskLauncher {
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
        /// How long a worker keeps a task running without a renewal by its owner.
        std::chrono::milliseconds taskLease { 15000 };
        Common::Duration peerTimeout = std::chrono::seconds(2);
        /// How many peers are asked to reserve room for one task.
        size_t maximumPeersAsked = 3;
        /// An unchanged view is repeated to shard owners this often.
        Common::Duration viewRepeatInterval = std::chrono::seconds(5);
        /// How long views are sent to a daemon after its request.
        Common::Duration viewInterestDuration = std::chrono::seconds(10);
    };
    /// Evicts a job's task if this process owns its ledger shard; returns false otherwise.
    using Evict = std::function<bool(const Common::TaskId&)>;

    TaskLauncherService(const Scheduler::ServiceContext&, const Dependencies&, const Settings&);

    void start();
    void onEvict(Evict evict) { m_evict = std::move(evict); }
    /// Has the owner of the task's ledger shard evict it, on this daemon or a peer.
    void requestEviction(const Common::TaskId&);
    /// True if a daemon of the worker's failure domain is reachable. Otherwise the lack of views says nothing about the
    /// worker.
    bool isDomainReachable(const Common::WorkerId&) const;
    /// A task for which this daemon reserved room on one of its workers.
    struct PlacedTask {
        Scheduler::TaskSpec spec;
        Common::MonotonicTime reservedAt;
        /// Once set, only a report or a refusal of the start frees the room; a late release does not.
        bool startSent = false;
    };
    /// Null for unknown tasks, such as those adopted from an earlier owner of the worker.
    const PlacedTask* placed(const Common::TaskId&) const;

    void reserve(const Scheduler::TaskSpec&, Common::Callback<Scheduler::Reservation>) override;
    void start(const Scheduler::Reservation&, const Scheduler::TaskSpec&, Common::Callback<Common::Done>) override;
    void release(const Scheduler::Reservation&) override;
    void control(const Common::WorkerId&, Scheduler::TaskControl, const std::vector<Common::TaskId>&) override;
    void acknowledge(const Common::WorkerId&, const std::vector<Common::TaskId>&) override;
    void requestView(const Common::WorkerId&) override;
    void onView(std::function<void(const Scheduler::WorkerView&)>) override;

private:
    /// A reservation that is tried at one peer after the other.
    struct Search {
        Scheduler::TaskSpec spec;
        std::vector<Scheduler::PeerInfo> candidates;
        size_t next = 0;
        /// Every daemon asked so far answered that the task would not fit on any of its workers, even an empty one.
        bool neverFits = true;
        /// Some candidates are not asked because of maximumPeersAsked.
        bool incomplete = false;
        Common::Callback<Scheduler::Reservation> callback;
    };
    /// The view of a worker that was last sent to shard owners, and the daemons that asked for views.
    struct ViewState {
        std::string lastContent;
        Common::MonotonicTime sentAt;
        std::map<Common::DaemonId, Common::MonotonicTime> interestedUntil;
    };

    void servePeers();
    Common::Result<Scheduler::Reservation> reserveHere(const Scheduler::TaskSpec&);
    Policy::PlacementRequest placementRequestFor(const Scheduler::TaskSpec&) const;
    std::vector<Scheduler::PeerInfo> candidatesFor(const Scheduler::TaskSpec&) const;
    void askNext(const std::shared_ptr<Search>&);
    void endSearch(const std::shared_ptr<Search>&);
    void startHere(const Scheduler::Reservation&, const Scheduler::TaskSpec&, const Common::Callback<Common::Done>&);
    void controlHere(const Common::WorkerId&, Scheduler::TaskControl, const std::vector<Common::TaskId>&);
    void watchHere(const Common::WorkerId&, const Common::DaemonId& by);
    /// Calls the assigned owner and the last sender of a view, or every live daemon when neither is known.
    void callOwner(const Common::WorkerId&, const std::string& method, const nlohmann::json& params);
    void onFleetChange(Scheduler::WorkerFleet::Change, const Scheduler::OwnedWorker&);
    void recordOutcomes(const Scheduler::OwnedWorker&);
    void publishViews(const Scheduler::OwnedWorker&);
    void sendView(const Common::DaemonId&, const Scheduler::WorkerView&);
    void receiveView(const Scheduler::WorkerView&, const Common::DaemonId& from);

    Scheduler::ServiceContext m_context;
    Dependencies m_dependencies;
    Settings m_settings;
    Evict m_evict;
    std::function<void(const Scheduler::WorkerView&)> m_receiver;
    std::unordered_map<Common::WorkerId, ViewState> m_views;
    /// The daemon that last sent a view of a worker.
    struct ViewSender {
        Common::DaemonId daemon;
        Common::DomainId domain;
    };
    std::unordered_map<Common::WorkerId, ViewSender> m_lastViewSender;
    std::unordered_map<Common::TaskId, PlacedTask> m_placed;
    /// Ended tasks whose outcome was recorded; the worker lists them until they are acknowledged.
    std::unordered_map<Common::WorkerId, std::unordered_set<Common::TaskId>> m_recordedEnds;
    Common::Lifetime m_lifetime;
};

} // namespace Dispatch
