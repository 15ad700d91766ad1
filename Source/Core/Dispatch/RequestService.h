// Admits, queues, forwards, dispatches and retries requests until each has one final outcome.
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

/// Invariants: each request gets exactly one outcome. The outcome is `NotRun` only when no attempt was sent or each
/// attempt provably did not run. A non-idempotent request has at most one attempt that is being sent or running.
class RequestService {
public:
    /// Must outlive the service.
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
    /// Calls back exactly once, possibly before it returns. A repeat of an active id gets that request's outcome.
    void submit(IncomingRequest, OutcomeCallback);
    /// Ends the request at once: NotRun, or OutcomeUnknown if it may have run. Returns false if it isn't active here.
    bool cancel(const Common::RequestId&);
    /// Called periodically: dispatches queued requests, or forwards them to peers while no slot is free here.
    void tick();
    /// Number of active requests.
    size_t underWay() const { return m_active.size(); }
    /// From now on requests are forwarded even to peers without free slots rather than queued here.
    void setDraining();

private:
    using ActivePointer = std::shared_ptr<ActiveRequest>;
    using Stage = ActiveRequest::Stage;

    /// Empty if the request may be admitted.
    std::optional<Common::Failure> refusal(const IncomingRequest&) const;
    ActivePointer makeActive(IncomingRequest, OutcomeCallback);
    /// Adds the callback to an active request of the same id, or fails it. False if there is none.
    bool join(const IncomingRequest&, OutcomeCallback&);
    void beginIntent(const ActivePointer&);
    /// Schedules another try to begin the intent. False once ownerRetryTimeout or the deadline has passed.
    bool retryOwner(const ActivePointer&);
    void onIntent(const ActivePointer&, const Common::Result<Ledger::IntentService::Verdict>&);
    void route(const ActivePointer&);
    /// Whether maximumForwards applies to a request.
    enum class ForwardLimit {
        /// Yes: the request can wait here instead.
        Enforced,
        Ignored,
    };
    bool mayForward(const ActiveRequest&, ForwardLimit) const;
    /// Chooses a peer to forward the request to and charges its bytes to the link's budget. Empty if there is none.
    std::optional<Scheduler::PeerInfo> choosePeer(const ActiveRequest&, ForwardLimit);
    bool forwardToPeer(const ActivePointer&);
    void forwardTo(const ActivePointer&, const Common::DaemonId&, const std::string& address, bool toOwner);
    void onForwarded(const ActivePointer&, const Common::DaemonId&, bool toOwner, Common::MonotonicTime sentAt,
        const RequestOutcome&);
    void enqueue(const ActivePointer&);
    /// Ends expired requests, then dispatches or forwards queued ones while slots are free.
    void pump();
    /// Forwards a request that was taken from the queue. False if there is no peer for it.
    bool forwardFromQueue(const ActivePointer&);
    /// Forwards queued requests to peers while no slot is free here; with no limit on limit while there are no workers.
    void forwardQueued();
    void dropExpired();
    void scheduleExpiry();
    /// Sends an attempt to a worker. False if no worker has room.
    bool dispatch(const ActivePointer&);
    void send(const ActivePointer&, const ActiveRequest::Attempt&);
    void armSecondAttempt(const ActivePointer&);
    void sendSecondAttempt(const ActivePointer&);
    void onRun(const ActivePointer&, const Common::TaskId&, const Common::Result<Scheduler::RunAnswer>&);
    void onAttemptFailed(const ActivePointer&, const ActiveRequest::Attempt&, const Common::Failure&);
    void requeue(const ActivePointer&);
    bool mayRetry(const ActiveRequest&, bool provedNotRun);
    void onWorkerLost(const Common::WorkerId&);
    void onDeadline(const ActivePointer&);
    /// Ends the request. Turns NotRun into OutcomeUnknown if an attempt may have run.
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
