// The run time that is to be expected from one kind of work.
#pragma once

#include "Common/Units.h"

namespace Policy {

/// The median of recent run times, tracked step by step, so that a few very long runs don't speak for all. It fades
/// when nothing is seen for a while, so that one slow phase can't lead to refusals for ever.
class RunTimeEstimate {
public:
    void add(Common::Duration runTime, Common::MonotonicTime now);
    bool known() const { return m_median > 0; }
    /// Zero when nothing was seen.
    Common::Duration value(Common::MonotonicTime now) const;

private:
    /// In microseconds.
    double m_median = 0;
    Common::MonotonicTime m_updatedAt;
};

} // namespace Policy
