// How fast a queue empties while something waits in it.
#pragma once

#include "Common/Units.h"

#include <optional>

namespace Policy {

/// Dispatches per second over the recent time in which the queue was not empty.
class DrainRate {
public:
    /// Tells whether something waits from now on.
    void setBacklogged(bool, Common::MonotonicTime now);
    /// One request left the queue for a worker.
    void onDispatched(Common::MonotonicTime now);
    /// The request that was dispatched last came back.
    void undoDispatch();
    /// Nothing until the queue has been backlogged for long enough to tell, or when that is too long ago.
    std::optional<double> perSecond(Common::MonotonicTime now) const;

private:
    void advance(Common::MonotonicTime now);

    bool m_backlogged = false;
    Common::MonotonicTime m_advancedTo;
    /// Both decay alike while backlogged, so that their ratio is the recent rate.
    double m_dispatches = 0;
    double m_backloggedSeconds = 0;
    /// Backlogged time since the last dispatch; doesn't decay.
    double m_quietSeconds = 0;
};

} // namespace Policy
