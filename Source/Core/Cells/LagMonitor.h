// Tells from the delays of a regular timer whether this process runs late for longer than a short stall.
#pragma once

#include "Common/Units.h"

namespace Cells {

/// A host counts as late once delays have taken more than half of its recent time, and for a while after that: a host
/// that has given its cells away is in time again and would otherwise get them back at once. That while doubles each
/// time the host becomes late again soon.
class LagMonitor {
public:
    /// Records that the timer, set for `interval`, fired `delay` late.
    void record(Common::MonotonicTime now, Common::Duration interval, Common::Duration delay);
    bool isLate(Common::MonotonicTime now) const { return now < m_lateUntil; }

private:
    /// Smoothed share of time taken by delays, 0 to 1.
    double m_share = 0;
    Common::MonotonicTime m_lateUntil;
    Common::Duration m_retention {};
};

} // namespace Cells
