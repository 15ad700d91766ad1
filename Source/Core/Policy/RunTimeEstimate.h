// Estimates the run time of one kind of work. Used by AdmissionQueue.
#pragma once

#include "Common/Units.h"

namespace Policy {

/// The median of recent run times, tracked in small steps, so that a few very long runs don't dominate it. It decays
/// when no run ends for a while, so that one slow phase can't cause refusals forever.
class RunTimeEstimate {
public:
    void add(Common::Duration runTime, Common::MonotonicTime now);
    bool isKnown() const { return m_median > 0; }
    /// The estimate at `now`; zero when no run has been seen.
    Common::Duration value(Common::MonotonicTime now) const;

private:
    /// In microseconds.
    double m_median = 0;
    Common::MonotonicTime m_updatedAt;
};

} // namespace Policy
