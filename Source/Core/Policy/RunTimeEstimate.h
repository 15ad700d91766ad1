// The run time that is to be expected from one kind of work.
#pragma once

#include "Common/Units.h"

namespace Policy {

/// A moving average that fades when nothing is seen for a while, so that one slow phase can't lead to refusals for
/// ever.
class RunTimeEstimate {
public:
    void add(Common::Duration runTime, Common::MonoTime now);
    bool known() const { return m_known; }
    Common::Duration value(Common::MonoTime now) const;

private:
    bool m_known = false;
    double m_average = 0;
    Common::MonoTime m_updatedAt;
};

} // namespace Policy
