// The lease that this owner has granted to a worker, and whether it has provably expired.
#pragma once

#include "Common/Units.h"

#include <optional>

namespace Cells {

/// A worker ends all its runs when its lease expires on its own clock, which may run slow by up to `clockSlack`.
class WorkerLease {
public:
    /// Fraction by which a worker's clock may run slower than this host's: the limit that the platform guarantees, plus
    /// a small margin.
    static constexpr double clockSlack = 0.021;

    /// Records the worker's clock from an answer that arrived at `now`.
    void synchronizeClock(Common::WorkerTime clock, Common::MonotonicTime now);
    /// The worker rebooted and its clock restarted. Delayed orders from before the reboot may have reached it and given
    /// it the longest lease that workers accept, so the lease counts as unexpired for that long.
    void reset(Common::Duration longestLease, Common::MonotonicTime now);

    bool isClockKnown() const { return m_clock.has_value(); }
    /// The least that the worker's clock shows at `now`; the clock must be known. A grant that counts from more would
    /// last longer than a successor waits.
    Common::WorkerTime clockAt(Common::MonotonicTime now) const;
    /// Grants a lease of that length from `now`; returns its end on the worker's clock, which must be known.
    Common::WorkerTime grant(Common::Duration length, Common::MonotonicTime now);
    /// Whether all leases that were granted have provably expired. Before any grant only the wait after a reset counts.
    bool hasExpired(Common::MonotonicTime now) const;

private:
    /// Empty until the worker has answered, and after a reset.
    std::optional<Common::WorkerTime> m_clock;
    Common::MonotonicTime m_clockReadAt;
    Common::WorkerTime m_grantedUntil;
    /// The lease counts as unexpired until then, regardless of the worker's clock.
    Common::MonotonicTime m_notBefore;
};

} // namespace Cells
