// State machine that decides from a worker's reports whether this daemon owns the worker.
// FleetService keeps one for each worker; it makes no calls itself.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Membership/OwnershipSettings.h"
#include "Scheduler/WorkerClaim.h"

#include <optional>

namespace Scheduler {
struct WorkerReport;
}

namespace Membership {

/// Implements the protocol of docs/DESIGN.md, "Who may place work on a worker"; Models/Ownership.pml specifies it.
class WorkerOwnership {
public:
    enum class State {
        /// No claim is made or wanted.
        Unclaimed,
        /// Reading the worker's claims, or waiting until the worker refuses every start of an earlier owner.
        Claiming,
        /// The tasks of earlier owners are adopted; work may be placed while hasAuthority().
        Owned,
        /// Another daemon's claim is effective; work may be placed until the remaining authority ends.
        Displaced,
        /// The claim is being withdrawn.
        Yielding,
    };
    /// The effect of a report.
    enum class Outcome {
        /// Older than a report that was already handled.
        Ignored,
        /// No change of ownership, and not owned.
        Noted,
        /// The worker is owned from this report on; the report lists every task on the worker.
        Owned,
        /// Still owned.
        Renewed,
        /// No longer owned.
        Lost,
    };
    /// The content of a sync. Passed to handleReport() with the report that answers it.
    struct Ticket {
        uint64_t sequence = 0;
        Common::MonotonicTime sentAt;
        /// Empty when no claim is to be made or renewed.
        std::optional<Common::ClaimTerm> claim;
        bool withdraw = false;
    };

    WorkerOwnership(Common::DaemonId self, const OwnershipSettings&);

    /// Sets whether this daemon should own the worker. When it no longer should, authority ends at once.
    /// Returns true if this ended ownership.
    bool setWanted(bool wanted);
    /// Called when a sync is sent, with the daemon's clock.
    Ticket beginSync(Common::MonotonicTime now);
    /// Called with the report that answers the sync.
    Outcome handleReport(const Ticket&, const Scheduler::WorkerReport&);
    /// Ends ownership once its authority has ended. Returns true if this ended ownership.
    bool expire(Common::MonotonicTime now);

    /// Stops withdrawing a claim because the worker doesn't answer; the worker lets it expire.
    void abandon();

    State state() const { return m_state; }
    /// True if work may be started now.
    bool hasAuthority(Common::MonotonicTime now) const { return isOwner() && now < m_authorityEndsAt; }
    /// Sent with every start: the worker refuses it from this reading of its clock on. Valid while hasAuthority().
    Common::WorkerTime startBy() const { return m_startBy; }
    Common::WorkerBootId boot() const { return m_boot; }
    /// True if the last report shows this daemon's claim as the effective one.
    bool isClaimEffective() const { return m_waitFrom.has_value(); }
    /// The effective claim in the last report if it is another daemon's.
    const std::optional<Scheduler::WorkerClaim>& foreignClaim() const { return m_foreignClaim; }
    /// The worker's clock in the last report.
    Common::WorkerTime lastClock() const { return m_lastClock; }
    /// True if a sync should follow at once, to make or withdraw a claim.
    bool needsSyncNow() const;
    /// The rest of the wait for ownership, on the worker's clock as of the last report. Empty unless this daemon's
    /// claim is effective and waits.
    std::optional<std::chrono::milliseconds> remainingWait() const;

private:
    bool isOwner() const { return m_state == State::Owned || m_state == State::Displaced; }
    bool hasReport() const { return !m_boot.empty(); }
    bool isStale(const Ticket&, const Scheduler::WorkerReport&) const;
    void updateHighestTerm(const Scheduler::WorkerReport&);
    Outcome handleCounting(const Ticket&, Common::WorkerTime previousClock, Common::WorkerTime madeAt);
    Outcome endOwnership(State);
    void chooseTerm();

    Common::DaemonId m_self;
    OwnershipSettings m_settings;
    State m_state = State::Unclaimed;
    /// The term under which the claim is made; empty until the worker's claims have been read.
    std::optional<Common::ClaimTerm> m_term;
    /// True if a sync with the claim was sent: the worker may hold it.
    bool m_claimSent = false;
    /// The highest term that was reported or chosen.
    Common::ClaimTerm m_highestTerm;
    /// Sequence numbers of the last sync sent and of the last one whose report was handled; zero before the first.
    uint64_t m_lastSent = 0;
    uint64_t m_lastHandled = 0;
    Common::WorkerBootId m_boot;
    Common::WorkerTime m_lastClock;
    /// The worker's clock in the first of an unbroken sequence of reports that show the claim as the effective one,
    /// each less than a start window after the previous one. Invariant: set while Owned.
    std::optional<Common::WorkerTime> m_waitFrom;
    /// When the worker made the claim that those reports show.
    Common::WorkerTime m_madeAt;
    std::optional<Scheduler::WorkerClaim> m_foreignClaim;
    /// A start window after the newest report that showed the claim as the effective one.
    Common::WorkerTime m_startBy;
    /// Measured from when the sync was sent, which is before the worker read its clock.
    Common::MonotonicTime m_authorityEndsAt;
};

} // namespace Membership
