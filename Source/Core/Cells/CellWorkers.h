// The workers of one cell: looks, leases and orders.
#pragma once

#include "Cells/CellId.h"
#include "Cells/CellSettings.h"
#include "Cells/CellWorker.h"
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

/// Keeps one look open at each worker that runs something. The look renews the lease, acknowledges ends and returns
/// with the next end.
class CellWorkers {
public:
    struct Hooks {
        /// A report; it was asked for at that time.
        std::function<void(CellWorker&, const RunReport&, Common::MonotonicTime askedAt)> report;
        /// Nothing that was there before runs any more: a new life, or its lease has surely passed. In a new life
        /// orders without an answer are kept.
        std::function<void(CellWorker&, bool rebooted)> runsCleared;
        /// A newer owner has given orders.
        std::function<void()> fenced;
        /// Ends that may be acknowledged are moved on before each look.
        std::function<void(CellWorker&)> acknowledge;
        /// A worker that is neither listed nor heard and can't run anything is forgotten.
        std::function<void()> dropped;
        /// Whether this owner may still grant leases and start runs.
        std::function<bool()> mayGrant;
        /// Whether the next look at the worker should come early.
        std::function<bool(const CellWorker&)> shouldPollFrequently;
    };

    /// `inheritedAuthority`: for so long yet an earlier owner may go on granting leases.
    CellWorkers(Scheduler::Runtime&, WorkerOrders&, FencingToken, const CellSettings&,
        Common::Duration inheritedAuthority, Hooks);
    ~CellWorkers();

    /// A worker that may run tasks of the cell. One that isn't listed gets no new work.
    void add(const WorkerEntry&, bool listed);
    /// The platform doesn't list it any more.
    void unlist(const Common::WorkerId&);
    CellWorker* find(const Common::WorkerId&);
    const std::map<Common::WorkerId, std::unique_ptr<CellWorker>>& all() const { return m_workers; }

    /// Starts a run and repeats the order until it has an answer, as long as the run occupies the worker.
    void start(CellWorker&, const RunOrder&, const std::function<void(OrderAnswer)>&);
    /// Stops a run; repeated like a start.
    void stop(CellWorker&, const RunKey&, const std::function<void(OrderAnswer)>&);
    void pace(CellWorker&, const RunKey&, uint32_t percent);
    /// Look at the worker again soon.
    void pollSoon(const Common::WorkerId&);
    /// Whether neither a run of ours nor one of an earlier owner can be on the silent worker any more.
    bool isProvablyIdle(const CellWorker&) const;
    /// An earlier owner grants nothing any more from now on.
    void endInheritedAuthority();
    /// Nothing is sent any more.
    void close();

private:
    struct Link;

    Link& link(const CellWorker&);
    void poll(const Common::WorkerId&);
    void schedulePoll(const Common::WorkerId&, Common::Duration);
    void onPollAnswer(const Common::WorkerId&, Common::MonotonicTime askedAt, const Common::Result<RunReport>&);
    void onReport(CellWorker&, const RunReport&, Common::MonotonicTime askedAt);
    void onSilence(CellWorker&, const Common::Failure&);
    Common::Duration nextPollDelay(const CellWorker&) const;
    bool dropIfGone(CellWorker&);
    Common::Duration longestInherited() const;
    void startOnce(const Common::WorkerId&, const RunOrder&, const std::function<void(OrderAnswer)>&);
    void stopOnce(const Common::WorkerId&, const RunKey&, const std::function<void(OrderAnswer)>&);

    Scheduler::Runtime& m_runtime;
    WorkerOrders& m_orders;
    FencingToken m_token;
    const CellSettings& m_settings;
    Hooks m_hooks;
    std::map<Common::WorkerId, std::unique_ptr<CellWorker>> m_workers;
    std::map<Common::WorkerId, Link> m_links;
    /// An earlier owner may have granted leases until then to workers that weren't heard from.
    Common::MonotonicTime m_inheritedLeasesEnd;
    bool m_closed = false;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
