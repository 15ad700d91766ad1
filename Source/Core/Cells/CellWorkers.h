// The workers of one cell: polls, leases and orders. CellEngine decides what runs where and sends its orders here.
#pragma once

#include "Cells/CellId.h"
#include "Cells/CellSettings.h"
#include "Cells/CellWorker.h"
#include "Cells/InheritedLeases.h"
#include "Cells/PollForHost.h"
#include "Cells/RecordedWorker.h"
#include "Cells/TokenRange.h"
#include "Cells/WorkerOrders.h"
#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Scheduler/Runtime.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cells {

class AnswerWindow;

/// Keeps one poll open at each worker that has runs. The poll renews the lease, acknowledges ends and returns when a
/// run ends. A worker that doesn't answer is polled through another host as well: as long as that works, its runs keep
/// their leases and their ends are read.
class CellWorkers {
public:
    /// Workers list at most this many ends at a time; a list of this length may leave out ends.
    static constexpr size_t maximumListedEnds = 500;

    struct Hooks {
        /// A report of the worker, requested at `askedAt`.
        std::function<void(CellWorker&, const RunReport&, Common::MonotonicTime askedAt)> report;
        /// Runs of the worker may be gone, see isGone(), or those of its former life are, as it rebooted. The store has
        /// confirmed the ownership since. After a reboot the runs that the new life may have, or may still get by a
        /// late order, must be kept until a report shows whether it has them.
        std::function<void(CellWorker&, bool rebooted)> runsCleared;
        /// A start order was left unanswered, and a successor has to know of it.
        std::function<void()> startUnanswered;
        /// A worker rejected an order because a newer owner has sent orders.
        std::function<void()> fenced;
        /// Called before each poll; updates `acknowledgedThrough` of the worker.
        std::function<void(CellWorker&)> acknowledge;
        /// A worker was removed because it is neither listed nor reachable and is provably idle.
        std::function<void()> dropped;
        /// How long this owner may still grant leases and start runs, and how long leases that it grants may last; not
        /// above zero if it may not.
        std::function<Common::Duration()> authorityLeft;
        /// When the store last confirmed that this host owns the cell, on the runtime's clock, or earlier.
        std::function<Common::MonotonicTime()> ownedAt;
        /// Asks the store to confirm that this host owns the cell. The callback may be dropped.
        std::function<void(std::function<void()>)> confirmOwnership;
        /// Whether polls of the worker should return early, after CellSettings::frequentPollWait.
        std::function<bool(const CellWorker&)> shouldPollFrequently;
        /// Has another host poll the worker: the one at the address, if it is alive. Returns the address of the host
        /// that is asked; empty if there is none.
        std::function<std::string(const PollForHost&, const std::string& address, Common::Callback<RunReport>)>
            pollThroughHost;
    };

    /// `last`: the token of the cell's record.
    CellWorkers(Scheduler::Runtime&, WorkerOrders&, FencingToken last, const CellSettings&, InheritedLeases, Hooks);
    ~CellWorkers();

    /// Adds or updates a worker that the platform lists. A later start time in the entry counts as a reboot.
    void add(const WorkerEntry&);
    /// Adds a worker on which runs of an earlier owner may be. It gets no new runs until it is listed.
    void addRecorded(const RecordedWorker&);
    /// Marks a worker that the platform no longer lists; no effect if it is unknown.
    void unlist(const Common::WorkerId&);
    /// Forgets a worker on which no runs of the cell can be.
    void remove(const Common::WorkerId&);
    /// Null if the worker is unknown.
    CellWorker* find(const Common::WorkerId&);
    const std::map<Common::WorkerId, std::unique_ptr<CellWorker>>& all() const { return m_workers; }

    /// Sends the start order, and again until it is answered, as long as the run's allocation exists, isn't stopping
    /// and isn't reported as running. A worker that hasn't answered lately is probed first; see
    /// CellSettings::answerAgeAtStart. The order is withdrawn once the worker is about to leave, and while no copy can
    /// have arrived also when the worker doesn't answer or has started anew: it is meant for the present life.
    void start(CellWorker&, const RunOrder&, const std::function<void(OrderAnswer)>&);
    /// Sends the stop order, and again until it is answered, as long as the run's allocation exists.
    void stop(CellWorker&, const RunKey&, const std::function<void(OrderAnswer)>&);
    /// Sets the share of its speed, in percent, at which a run works. Sent once; after a failure the next pacing may
    /// send it again.
    void pace(CellWorker&, const RunKey&, uint32_t percent);
    /// Polls the worker now, unless a poll is open.
    void pollSoon(const Common::WorkerId&);
    /// Whether neither a run of this owner nor one of an earlier owner can be on the unreachable worker: all leases
    /// have expired, and the worker is gone from the platform's list or leaves polls unanswered. Polls of which this
    /// process can't tell whether they were answered don't count. The leases must have expired before the store last
    /// confirmed the ownership: a successor that has claimed the cell since may have renewed them, or acknowledged
    /// ends.
    bool isProvablyIdle(const CellWorker&) const;
    /// Whether the run can't be on the unreachable worker any more, nor on a next life of it that nobody has heard of.
    bool isGone(const CellWorker&, const RunKey&, const RunAllocation&) const;
    /// When the run is gone at the latest if a start order without an answer is carried out late; long ago if there is
    /// none that may be.
    Common::MonotonicTime lateRunEnd(const CellWorker&, const RunKey&, const RunAllocation&) const;
    /// The worker that may still carry out an earlier order to start the task, so that the task is started on no other;
    /// null if there is none.
    CellWorker* workerWithLateStart(const Jobs::TaskName&) const;
    /// Whether the worker may still carry out an order of this owner, or run what it has started by one.
    bool mayStartLate(const CellWorker&) const;
    /// Called when earlier owners can't grant leases any more.
    void earlierOwnersStopped();
    /// Stops all polls and orders.
    void close();

private:
    struct Link;
    /// An order to start a run, until it is answered or given up.
    struct PendingStart {
        RunOrder order;
        /// The life of the worker that it is meant for; see CellWorker::token.
        FencingToken life;
        std::function<void(OrderAnswer)> answered;
    };

    Link& link(const CellWorker&);
    bool mayGrant() const { return m_hooks.authorityLeft() > Common::Duration::zero(); }
    Common::WorkerTime grantLease(CellWorker&);
    Common::Duration pollWaitFor(const CellWorker&) const;
    void poll(const Common::WorkerId&);
    bool mayAcknowledgeTo(const CellWorker&, const Link&) const;
    void schedulePoll(const Common::WorkerId&, Common::Duration);
    /// A poll that was sent.
    struct Asked {
        Common::MonotonicTime at;
        FencingToken token;
    };
    void onPollAnswer(const Common::WorkerId&, const Asked&, const Common::Result<RunReport>&);
    bool isFenced(const CellWorker&, const Asked&, const Common::Result<RunReport>&) const;
    void onReport(CellWorker&, const RunReport&, const Asked&);
    bool acceptReport(CellWorker&, const RunReport&, const Asked&);
    void askThroughHost(CellWorker&);
    bool mayRenewThroughHost(const CellWorker&, const Link&) const;
    void onAnswerThroughHost(CellWorker&, const Asked&, const Common::Result<RunReport>&);
    void onPollFailure(CellWorker&, const Common::Failure&, Common::MonotonicTime askedAt);
    bool acceptRebirth(CellWorker&, int64_t startedAtMilliseconds);
    CellWorker& addUnknown(const WorkerEntry&);
    void expectLateCallsOfEarlierOwner(CellWorker&);
    void noteLateCallsEnd(CellWorker&);
    void noteReplacedBy(const WorkerEntry&);
    void forget(const Common::WorkerId&);
    void judgeFailure(const CellWorker&, const Common::Failure&, Common::Duration elapsed);
    void giveMoreTime(const CellWorker&, const Common::Failure&, Common::Duration elapsed);
    bool isProofOfSilence(const Link&, const Common::Failure&, Common::Duration elapsed) const;
    Common::Duration nextPollDelay(const CellWorker&) const;
    bool isIdleAfter(const CellWorker&, Common::MonotonicTime) const;
    bool isGoneAfter(const CellWorker&, const RunKey&, const RunAllocation&, Common::MonotonicTime) const;
    bool areLateStartsOverAfter(const CellWorker&, Common::MonotonicTime) const;
    bool needsConfirmation(const CellWorker&) const;
    void clearIfIdle(CellWorker&);
    void confirmIdle(const CellWorker&);
    void confirmIdleAtEndOfInheritedLeases();
    bool dropIfGone(CellWorker&);
    void sendStart(const Common::WorkerId&, const PendingStart&);
    bool needsProbe(const CellWorker&, const RunAllocation&) const;
    void startAfterProbe(const CellWorker&, std::function<void()> start);
    void probe(const CellWorker&);
    void onProbeOverdue(CellWorker&);
    void noteAnswer(CellWorker&);
    void continueStarts(const Common::WorkerId&);
    void sendStop(const Common::WorkerId&, const RunKey&, const std::function<void(OrderAnswer)>&);

    Scheduler::Runtime& m_runtime;
    WorkerOrders& m_orders;
    TokenRange m_tokens;
    const CellSettings& m_settings;
    Hooks m_hooks;
    std::map<Common::WorkerId, std::unique_ptr<CellWorker>> m_workers;
    std::map<Common::WorkerId, Link> m_links;
    /// Until when calls to workers that were removed may be carried out late, if one starts again under the id.
    std::map<Common::WorkerId, Common::MonotonicTime> m_removed;
    /// What workers that haven't reported may hold.
    InheritedLeases m_inheritedLeases;
    bool m_closed = false;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
