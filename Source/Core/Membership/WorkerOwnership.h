// Decides whether one daemon owns one worker, from the worker's reports alone.
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

/// The protocol of docs/DESIGN.md, "Who may place work on a worker"; Models/Ownership.pml specifies it.
class WorkerOwnership {
public:
    enum class State {
        /// No claim is made or wanted.
        Unclaimed,
        /// Reading the worker's claims, or waiting until no start of an older owner can be accepted any more.
        Claiming,
        /// The tasks of older owners are adopted; work may be placed while hasAuthority().
        Owned,
        /// Another daemon's claim counts; until the last authority runs out, work may still be placed.
        Displaced,
        /// The claim is being withdrawn.
        Yielding,
    };
    /// What a report changed.
    enum class Outcome {
        /// Older than one handled before.
        Ignored,
        /// Nothing that others need to know.
        Noted,
        /// The worker is owned from this report on; the report lists every task there is.
        Owned,
        /// Still owned.
        Renewed,
        /// No longer owned.
        Lost,
    };
    /// What the next sync has to say. Handed back with its report.
    struct Ticket {
        uint64_t sequence = 0;
        Common::MonotonicTime sentAt;
        std::optional<Common::ClaimTerm> claim;
        bool withdraw = false;
    };

    WorkerOwnership(Common::DaemonId self, const OwnershipSettings&);

    /// Whether this daemon should hold the worker. Authority ends at once when it no longer should.
    /// Yields true when ownership was lost by this.
    bool setWanted(bool wanted);
    /// Called when a sync is sent.
    Ticket beginSync(Common::MonotonicTime now);
    /// Called with the report that answers the sync.
    Outcome handleReport(const Ticket&, const Scheduler::WorkerReport&);
    /// Drops ownership whose authority has run out. Yields true when ownership was lost by this.
    bool expire(Common::MonotonicTime now);

    /// Leaves a claim that can't be withdrawn, on a silent worker, to lapse.
    void abandon();

    State state() const { return m_state; }
    /// Whether work may be started now.
    bool hasAuthority(Common::MonotonicTime now) const { return isOwner() && now < m_authorityEndsAt; }
    /// Goes with every start. Meaningful while hasAuthority().
    Common::WorkerTime startBy() const { return m_startBy; }
    Common::WorkerBootId boot() const { return m_boot; }
    /// True when the last report shows this daemon's claim as the counting one.
    bool isClaimEffective() const { return m_waitFrom.has_value(); }
    /// The claim of another daemon that counts, by the last report.
    const std::optional<Scheduler::WorkerClaim>& foreignClaim() const { return m_foreignClaim; }
    /// Worker's clock in the last report.
    Common::WorkerTime lastClock() const { return m_lastClock; }
    /// True when a sync should follow at once: a claim is to be made or withdrawn.
    bool needsSyncNow() const;
    /// What is left of the wait on the worker's clock by the last report; nothing unless a counting claim waits.
    std::optional<std::chrono::milliseconds> remainingWait() const;

private:
    bool isOwner() const { return m_state == State::Owned || m_state == State::Displaced; }
    bool hasReport() const { return !m_boot.empty(); }
    bool isStale(const Ticket&, const Scheduler::WorkerReport&) const;
    void noteTerms(const Scheduler::WorkerReport&);
    Outcome handleCounting(const Ticket&, Common::WorkerTime previousClock, Common::WorkerTime madeAt);
    Outcome endOwnership(State);
    void chooseTerm();

    Common::DaemonId m_self;
    OwnershipSettings m_settings;
    State m_state = State::Unclaimed;
    /// The term under which the claim is made; none until the worker's claims have been read.
    std::optional<Common::ClaimTerm> m_term;
    /// A sync with the claim was sent, so that the worker may hold it.
    bool m_claimSent = false;
    /// The highest term that was seen or chosen.
    Common::ClaimTerm m_highestTerm;
    uint64_t m_lastSent = 0;
    uint64_t m_lastHandled = 0;
    Common::WorkerBootId m_boot;
    Common::WorkerTime m_lastClock;
    /// Clock of the first of the unbroken row of reports that showed the claim as the counting one, each less than
    /// a start window after the one before. Invariant: set while Owned.
    std::optional<Common::WorkerTime> m_waitFrom;
    /// When the worker made the claim that those reports show.
    Common::WorkerTime m_madeAt;
    std::optional<Scheduler::WorkerClaim> m_foreignClaim;
    /// A start window after the newest report that showed the claim as the counting one.
    Common::WorkerTime m_startBy;
    /// Counted from when the sync was sent, which is before the worker read its clock.
    Common::MonotonicTime m_authorityEndsAt;
};

} // namespace Membership
