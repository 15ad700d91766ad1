// The workers of one cell: polls, leases and orders. CellEngine decides what runs where and sends its orders here.
#pragma once

#include "Cells/CellId.h"
#include "Cells/CellSettings.h"
#include "Cells/CellWorker.h"
#include "Cells/PollForHost.h"
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

/// Keeps one poll open at each worker that has runs. The poll renews the lease, acknowledges ends and returns when a
/// run ends. A worker that doesn't answer is polled through another host as well: as long as that works, its runs keep
/// their leases and their ends are read.
class CellWorkers {
public:
    struct Hooks {
        /// A report of the worker, requested at `askedAt`.
        std::function<void(CellWorker&, const RunReport&, Common::MonotonicTime askedAt)> report;
        /// The worker's previous runs can't run any more: it rebooted, or its lease has expired. The store has
        /// confirmed the ownership since. After a reboot the start orders without an answer must be kept.
        std::function<void(CellWorker&, bool rebooted)> runsCleared;
        /// A worker rejected an order because a newer owner has sent orders.
        std::function<void()> fenced;
        /// Called before each poll; updates `acknowledgedThrough` of the worker.
        std::function<void(CellWorker&)> acknowledge;
        /// A worker was removed because it is neither listed nor reachable and is provably idle.
        std::function<void()> dropped;
        /// Whether this owner may still grant leases and start runs.
        std::function<bool()> mayGrant;
        /// When the store last confirmed that this host owns the cell, on the runtime's clock, or earlier.
        std::function<Common::MonotonicTime()> ownedAt;
        /// Asks the store to confirm that this host owns the cell. The callback may be dropped.
        std::function<void(std::function<void()>)> confirmOwnership;
        /// Whether polls of the worker should return early, after CellSettings::frequentPollWait.
        std::function<bool(const CellWorker&)> shouldPollFrequently;
        /// Has another host poll the worker; false if there is none that may reach it.
        std::function<bool(const PollForHost&, Common::Callback<RunReport>)> pollThroughHost;
    };

    /// `inheritedAuthority`: how long an earlier owner may still grant leases; zero if it can't.
    CellWorkers(Scheduler::Runtime&, WorkerOrders&, FencingToken, const CellSettings&,
        Common::Duration inheritedAuthority, Hooks);
    ~CellWorkers();

    /// Adds or updates a worker that may run tasks of the cell. One that isn't listed gets no new runs. A later start
    /// time in the entry counts as a reboot.
    void add(const WorkerEntry&, bool listed);
    /// Marks a worker that the platform no longer lists; no effect if it is unknown.
    void unlist(const Common::WorkerId&);
    /// Null if the worker is unknown.
    CellWorker* find(const Common::WorkerId&);
    const std::map<Common::WorkerId, std::unique_ptr<CellWorker>>& all() const { return m_workers; }

    /// Sends the start order, and again until it is answered, as long as the run's allocation exists, isn't stopping
    /// and isn't reported as running. It is withdrawn once the worker is about to leave.
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
    /// Called when earlier owners can't grant leases any more.
    void endInheritedAuthority();
    /// Stops all polls and orders.
    void close();

private:
    struct Link;

    Link& link(const CellWorker&);
    void poll(const Common::WorkerId&);
    bool mayAcknowledgeTo(const CellWorker&, const Link&) const;
    void schedulePoll(const Common::WorkerId&, Common::Duration);
    void onPollAnswer(const Common::WorkerId&, Common::MonotonicTime askedAt, const Common::Result<RunReport>&);
    void onReport(CellWorker&, const RunReport&, Common::MonotonicTime askedAt);
    bool acceptReport(CellWorker&, const RunReport&);
    void askThroughHost(CellWorker&);
    void onAnswerThroughHost(CellWorker&, Common::MonotonicTime askedAt, const Common::Result<RunReport>&);
    void onPollFailure(CellWorker&, const Common::Failure&, Common::MonotonicTime askedAt);
    bool acceptRebirth(CellWorker&, int64_t startedAtMilliseconds);
    void judgeFailure(const CellWorker&, const Common::Failure&, Common::Duration elapsed);
    void giveMoreTime(const CellWorker&, const Common::Failure&, Common::Duration elapsed);
    bool isProofOfSilence(const Link&, const Common::Failure&, Common::Duration elapsed) const;
    Common::Duration nextPollDelay(const CellWorker&) const;
    bool isIdleAfter(const CellWorker&, Common::MonotonicTime) const;
    void clearIfIdle(CellWorker&);
    void confirmIdle(const CellWorker&);
    bool dropIfGone(CellWorker&);
    Common::Duration longestInheritedLease() const;
    void sendStart(const Common::WorkerId&, const RunOrder&, const std::function<void(OrderAnswer)>&);
    void sendStop(const Common::WorkerId&, const RunKey&, const std::function<void(OrderAnswer)>&);

    Scheduler::Runtime& m_runtime;
    WorkerOrders& m_orders;
    FencingToken m_token;
    const CellSettings& m_settings;
    Hooks m_hooks;
    std::map<Common::WorkerId, std::unique_ptr<CellWorker>> m_workers;
    std::map<Common::WorkerId, Link> m_links;
    /// Workers that haven't reported may hold leases of an earlier owner until then.
    Common::MonotonicTime m_inheritedLeasesEnd;
    bool m_closed = false;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
