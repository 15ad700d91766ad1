// What a worker was granted, on its own clock, and when it can't run anything any more.
#pragma once

#include "Common/Units.h"

#include <optional>

namespace Cells {

/// A worker ends all its runs when its lease passes on its own clock, which may be `clockSlack` slow.
class WorkerLease {
public:
    /// A worker's clock may run this much slower than ours (the platform's promise, with a little to spare).
    static constexpr double clockSlack = 0.021;

    /// The worker told its clock in an answer that arrived now.
    void synchronizeClock(Common::WorkerTime clock, Common::MonotonicTime now);
    /// Another life of the worker: its clock began anew. Orders for the life before may have reached it and given it
    /// the longest lease that workers allow.
    void reset(Common::Duration longestLease, Common::MonotonicTime now);

    bool isClockKnown() const { return m_clock.has_value(); }
    /// The worker's clock as it should be now; needs a known clock.
    Common::WorkerTime clockAt(Common::MonotonicTime now) const;
    /// A lease of that length from now, noted as granted.
    Common::WorkerTime grant(Common::Duration length, Common::MonotonicTime now);
    /// Whether everything that was granted has surely passed.
    bool hasExpired(Common::MonotonicTime now) const;

private:
    std::optional<Common::WorkerTime> m_clock;
    Common::MonotonicTime m_clockReadAt;
    Common::WorkerTime m_grantedUntil;
    /// Not passed before then, whatever the worker's clock tells.
    Common::MonotonicTime m_notBefore;
};

} // namespace Cells
