// Claims the workers of the daemon's failure domain that are assigned to it, and syncs with them periodically.
// The daemon's dispatch and job services use it through Scheduler::WorkerFleet.
#pragma once

#include "Common/Event.h"
#include "Membership/FleetSettings.h"
#include "Membership/HostListCache.h"
#include "Membership/WorkerOwnership.h"
#include "Scheduler/HostEntry.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/ServiceContext.h"
#include "Scheduler/WorkerFleet.h"
#include "Scheduler/WorkerReport.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace Scheduler {
class MembershipView;
class PeerPort;
class StorePort;
class WorkerPort;
struct SyncRequest;
}

namespace Membership {

/// The domain and address of the daemon are those of membership.self().
class FleetService final : public Scheduler::WorkerFleet {
public:
    /// The state of one worker, for operators.
    struct WorkerSummary {
        Scheduler::HostEntry host;
        WorkerOwnership::State state = WorkerOwnership::State::Unclaimed;
        /// Empty while no daemon is eligible, and once the host list no longer names the worker.
        Common::DaemonId assignedOwner;
        bool leaving = false;
        bool reachable = true;
        /// Empty unless this daemon owns the worker.
        Scheduler::WorkerReport report;
    };

    FleetService(const Scheduler::ServiceContext&, Scheduler::WorkerPort&, Scheduler::StorePort&, Scheduler::PeerPort&,
        Scheduler::MembershipView&, const FleetSettings&);
    ~FleetService() override;
    FleetService(const FleetService&) = delete;
    FleetService& operator=(const FleetService&) = delete;

    void start();
    /// For a planned stop, after the daemon's other services have finished: ends all authority, withdraws all claims,
    /// then calls `done`. Workers that don't answer delay `done` by at most two sync timeouts.
    void drain(std::function<void()> done);
    /// All workers of the domain's host list, sorted by id.
    std::vector<WorkerSummary> summaries() const;

    std::optional<Scheduler::OwnedWorker> ownedWorker(const Common::WorkerId&) const override;
    std::vector<Common::WorkerId> owned() const override;
    std::optional<std::string> addressOf(const Common::WorkerId&) const override;
    std::optional<Common::DaemonId> assignedOwner(const Common::WorkerId&) const override;
    /// The acknowledgement is sent a start window later: the worker forgets the task's id then, and must already refuse
    /// a late copy of its start. Ignored for workers that this daemon does not own; the caller acknowledges again when
    /// another report lists the task.
    void acknowledge(const Common::WorkerId&, const std::vector<Common::TaskId>&) override;
    void requestSync(const Common::WorkerId&) override;
    void onChange(Listener) override;

private:
    struct Entry {
        Entry(Scheduler::HostEntry, const Common::DaemonId& self, const OwnershipSettings&);

        Scheduler::HostEntry host;
        /// False once the platform's list no longer names the worker.
        bool listed = true;
        Common::DaemonId assigned;
        /// The second choice; claims the worker when no other daemon does.
        Common::DaemonId standby;
        WorkerOwnership ownership;
        /// The newest report that was handled; its worker id is empty before the first.
        Scheduler::WorkerReport report;
        /// True if the last report shows another daemon's claim that was renewed recently.
        bool foreignClaimRenewed = false;
        /// Tasks to acknowledge, each with the reading of the worker's clock from which that may be sent.
        std::map<Common::TaskId, Common::WorkerTime> toAcknowledge;
        bool syncing = false;
        bool queued = false;
        Common::MonotonicTime lastSent;
        std::optional<Scheduler::TimerId> timer;
        /// Syncs in a row without a report.
        uint32_t misses = 0;
        /// Reports in a row that showed no claim of any daemon.
        uint32_t unclaimedReports = 0;
        bool leavingRecorded = false;
    };

    void updateHosts(const std::vector<Scheduler::HostEntry>&);
    void reassign();
    void applyAssignment(Entry&, bool isNewHere);
    void applyWanted(Entry&);
    bool shouldWant(const Entry&) const;
    bool isAssignedHere(const Entry&) const;
    bool isStandbyNeeded(const Entry&) const;
    bool needsSync(const Entry&) const;
    bool isLeaving(const Entry&) const;
    bool isUnreachable(const Entry&) const;
    void scheduleSync(Entry&, Common::Duration delay);
    void scheduleNextSync(Entry&);
    Common::Duration baseInterval(const Entry&) const;
    Common::Duration jitteredInterval(const Entry&) const;
    void enqueueSync(const Common::WorkerId&);
    void sendQueued();
    void sendSync(Entry&);
    Scheduler::SyncRequest makeRequest(const Entry&, const WorkerOwnership::Ticket&) const;
    void finishSync(const Common::WorkerId&, const WorkerOwnership::Ticket&, const Scheduler::SyncRequest&,
        const Common::Result<Scheduler::WorkerReport>&);
    void handleReport(Entry&, const WorkerOwnership::Ticket&, const Scheduler::WorkerReport&);
    void handleMiss(Entry&);
    void updateForeignClaimRenewed(Entry&) const;
    void recordClaim(const Entry&, bool overAnother);
    void announceOwned(Entry&);
    void announceLost(Entry&);
    void recordLeaving(Entry&);
    void announce(Change, const Entry&);
    void record(Common::EventKind, const Entry&, const std::string& note);
    void finishDrainIfDone();
    Scheduler::OwnedWorker toOwnedWorker(const Entry&) const;
    Entry* find(const Common::WorkerId&);
    const Entry* find(const Common::WorkerId&) const;

    Scheduler::ServiceContext m_context;
    Scheduler::WorkerPort& m_workers;
    Scheduler::MembershipView& m_membership;
    FleetSettings m_settings;
    HostListCache m_hosts;
    std::unordered_map<Common::WorkerId, std::unique_ptr<Entry>> m_entries;
    /// Workers whose sync is due but waits until fewer than maximumConcurrentSyncs are in flight.
    std::deque<Common::WorkerId> m_syncQueue;
    size_t m_syncsInFlight = 0;
    /// Invariant: the entries in state Owned or Displaced.
    std::set<Common::WorkerId> m_owned;
    std::vector<Listener> m_listeners;
    std::function<void()> m_drained;
    std::optional<Scheduler::TimerId> m_drainTimer;
    bool m_draining = false;
    prometheus::Counter& m_syncs;
    prometheus::Counter& m_syncFailures;
    prometheus::Counter& m_claims;
    prometheus::Counter& m_takeovers;
    prometheus::Gauge& m_ownedGauge;
    std::shared_ptr<int> m_lifetime;
};

} // namespace Membership
