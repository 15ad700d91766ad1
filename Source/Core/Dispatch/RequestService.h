// Takes a caller's request to one final outcome: admits, queues, passes on, dispatches, retries.
#pragma once

#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Common/Result.h"
#include "Dispatch/ActiveRequest.h"
#include "Dispatch/IncomingRequest.h"
#include "Dispatch/RequestCounters.h"
#include "Dispatch/RequestOutcome.h"
#include "Dispatch/RequestServiceSettings.h"
#include "Ledger/IntentService.h"
#include "Policy/RetryBudget.h"
#include "Scheduler/PeerInfo.h"
#include "Scheduler/RunAnswer.h"
#include "Scheduler/ServiceContext.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace Ledger {
class ShardOwners;
}

namespace Policy {
class AdmissionQueue;
class LinkBudget;
class Placement;
class Router;
class WorkerHealth;
}

namespace Scheduler {
class ConfigView;
class MembershipView;
class WorkerPort;
}

namespace Dispatch {

class ForwardPort;
class WorkerPool;

/// Invariants: each request gets exactly one outcome. `NotRun` is given only when no attempt was sent, or each one sent
/// provably did not run. At most one attempt of a non-idempotent request is ever on its way or under way.
class RequestService {
public:
    /// What the service works with; all outlive it.
    struct Dependencies {
        Scheduler::ConfigView& config;
        Scheduler::MembershipView& membership;
        Scheduler::WorkerPort& workers;
        WorkerPool& pool;
        ForwardPort& forward;
        Ledger::ShardOwners& shards;
        Ledger::IntentService& intents;
        Policy::AdmissionQueue& queue;
        Policy::Placement& placement;
        Policy::WorkerHealth& health;
        Policy::Router& router;
        Policy::LinkBudget& link;
    };

    RequestService(const Scheduler::ServiceContext&, const Dependencies&, const RequestServiceSettings&);
    RequestService(const RequestService&) = delete;
    RequestService& operator=(const RequestService&) = delete;

    void start();
    void submit(IncomingRequest, OutcomeCallback);
    /// Gives the request up: its outcome comes at once. False when it isn't under way here.
    bool cancel(const Common::RequestId&);
    /// Called now and then: what waits without room here may find some elsewhere.
    void tick();
    size_t underWay() const { return m_active.size(); }
    /// From now on requests may wait at peers that have no room either, rather than here.
    void setDraining();

private:
    using ActivePointer = std::shared_ptr<ActiveRequest>;
    using Stage = ActiveRequest::Stage;

    std::optional<Common::Failure> refusal(const IncomingRequest&) const;
    ActivePointer makeActive(IncomingRequest, OutcomeCallback);
    bool join(const IncomingRequest&, OutcomeCallback&);
    void beginIntent(const ActivePointer&);
    /// False when the request has waited long enough for its ledger's owner.
    bool askOwnerAgain(const ActivePointer&);
    void onIntent(const ActivePointer&, const Common::Result<Ledger::IntentService::Verdict>&);
    void route(const ActivePointer&);
    /// Whether a request may be passed on after as many peers as were tried.
    enum class Tries {
        /// A few only: the request may as well wait here.
        Few,
        Any,
    };
    bool mayPassOn(const ActiveRequest&, Tries) const;
    /// The peer to pass the request on to, if there is one; takes its bytes from the link's budget.
    std::optional<Scheduler::PeerInfo> choosePeer(const ActiveRequest&, Tries);
    bool forwardToPeer(const ActivePointer&);
    void forwardTo(const ActivePointer&, const Common::DaemonId&, const std::string& address, bool toOwner);
    void onForwarded(const ActivePointer&, const Common::DaemonId&, bool toOwner, Common::MonotonicTime sentAt,
        const RequestOutcome&);
    void enqueue(const ActivePointer&);
    void pump();
    /// Passes a request on that was taken from the queue.
    bool forwardFromQueue(const ActivePointer&);
    /// When the last worker is gone, what waits here goes to peers.
    void passOnQueue();
    void dropExpired();
    void scheduleExpiry();
    /// False when no worker has room.
    bool dispatch(const ActivePointer&);
    void send(const ActivePointer&, const ActiveRequest::Attempt&);
    void armSecondAttempt(const ActivePointer&);
    void sendSecondAttempt(const ActivePointer&);
    void onRun(const ActivePointer&, const Common::TaskId&, const Common::Result<Scheduler::RunAnswer>&);
    void onAttemptFailed(const ActivePointer&, const ActiveRequest::Attempt&, const Common::Failure&);
    void waitAgain(const ActivePointer&);
    bool mayRetry(const ActiveRequest&, bool provedNotRun);
    void onWorkerLost(const Common::WorkerId&);
    void onDeadline(const ActivePointer&);
    /// Turns "not run" into "unknown" where something may have run.
    void finish(const ActivePointer&, RequestOutcome);
    void endIntent(const ActiveRequest&, const RequestOutcome&);
    void releaseQueueAccount(const ActiveRequest&, const RequestOutcome&);
    bool isActive(const ActivePointer&) const;
    Policy::RetryBudget& budget(const Scheduler::Profile&);
    Common::TaskId nextTask();

    Scheduler::ServiceContext m_context;
    Dependencies m_dependencies;
    RequestServiceSettings m_settings;
    RequestCounters m_counters;
    std::unordered_map<Common::RequestId, ActivePointer> m_active;
    std::unordered_map<Common::ProfileName, Policy::RetryBudget> m_budgets;
    size_t m_keptBytes = 0;
    uint64_t m_lastTask = 0;
    bool m_draining = false;
    bool m_pumping = false;
    std::optional<Common::MonotonicTime> m_expiryAt;
    Common::Lifetime m_lifetime;
};

} // namespace Dispatch
