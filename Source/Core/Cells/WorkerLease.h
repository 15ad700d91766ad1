// The leases that may keep runs on a worker alive: when what runs there is gone at the latest.
#pragma once

#include "Common/Units.h"

#include <optional>

namespace Cells {

struct CellSettings;

/// A worker ends all its runs when its lease expires on its own clock, which may run slow by up to `clockSlack`. A call
/// without an answer may be carried out late, also by the worker's next life, whose clock starts anew: there a start
/// begins a run, and the end of any lease is so far ahead that the worker shortens it to the longest one that it
/// accepts. So a run is gone
/// - with its life, if all copies of its start order were answered: when that life's lease has expired (hasExpired) or
///   a later life is known,
/// - otherwise, with the lease that a late call may give to a life that nobody has reached (lateLeasesEnd).
class WorkerLease {
public:
    /// Fraction by which a worker's clock may run slower than this host's: the limit that the platform guarantees, plus
    /// a small margin.
    static constexpr double clockSlack = 0.021;
    /// Duration of a lease on the slowest worker clock.
    static Common::Duration onSlowestClock(Common::Duration lease);

    explicit WorkerLease(const CellSettings&);

    /// Records the worker's clock from an answer that arrived at `now`.
    void synchronizeClock(Common::WorkerTime clock, Common::MonotonicTime now);
    bool isClockKnown() const { return m_clock.has_value(); }
    /// The least that the worker's clock shows at `now`; the clock must be known. A grant that counts from more would
    /// last longer than a successor waits.
    Common::WorkerTime clockAt(Common::MonotonicTime now) const;
    /// Grants a lease of that length from `now`; returns its end on the worker's clock, which must be known. The call
    /// that grants it is sent at `now`.
    Common::WorkerTime grant(Common::Duration length, Common::MonotonicTime now);
    /// The most that is left at `now` of the leases that were granted, or how long at least they have expired if
    /// negative; the clock must be known.
    Common::Duration left(Common::MonotonicTime now) const
    {
        return std::chrono::milliseconds(m_grantedUntil.milliseconds - clockAt(now).milliseconds);
    }

    /// The worker has started anew, and its clock with it. Calls that were sent until now may still be carried out.
    void startAnew();
    /// The worker has started anew at that time under another owner, whose last calls to the former life were sent no
    /// later than one poll after that.
    void startedAnewAt(Common::MonotonicTime);
    /// The present life has answered a call that was meant for it alone: it refuses what was meant for former ones.
    void answered(Common::MonotonicTime now);

    /// Whether the leases of the present life, if it has answered, have provably expired: those that were granted to
    /// it, and those that late calls may have given to it before it answered.
    bool hasExpired(Common::MonotonicTime now) const;
    /// When the lease that a late call may give to the present life ends at the latest, if that life never answers;
    /// long ago if it is the only one.
    Common::MonotonicTime lateLeasesEnd() const;
    /// The same for a next life that nobody has heard of.
    Common::MonotonicTime unknownLeasesEnd() const;
    /// The same for a life on which a call of that time may have started a run.
    Common::MonotonicTime lateLeaseEnd(Common::MonotonicTime sentAt) const
    {
        return sentAt + m_longestCallDelay + m_longestLease;
    }
    /// Whether a call of that time may still be carried out at `now`.
    bool mayBeUnderWay(Common::MonotonicTime sentAt, Common::MonotonicTime now) const;
    /// When calls to former lives that may be carried out late have been.
    Common::MonotonicTime lateCallsEnd() const { return m_lateCallsEnd; }
    /// Takes that over from what was known of the worker before.
    void expectLateCallsUntil(Common::MonotonicTime);

private:
    /// On the slowest clock.
    Common::Duration m_longestLease;
    Common::Duration m_longestCallDelay;
    Common::Duration m_longestPoll;
    /// Empty until the present life has answered.
    std::optional<Common::WorkerTime> m_clock;
    Common::MonotonicTime m_clockReadAt;
    Common::WorkerTime m_grantedUntil;
    /// When the last call that grants a lease was sent, to any life.
    Common::MonotonicTime m_grantedAt;
    Common::MonotonicTime m_lateCallsEnd;
    /// Leases that late calls may have given to the present life before it answered have expired by then.
    Common::MonotonicTime m_earlyLeasesEnd;
};

} // namespace Cells
