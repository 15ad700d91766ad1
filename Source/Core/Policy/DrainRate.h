// Measures how fast requests leave a queue while others wait in it. AdmissionQueue estimates waits from it.
#pragma once

#include "Common/Units.h"

#include <optional>

namespace Policy {

/// Dispatches per second over the recent time in which the queue was not empty.
class DrainRate {
public:
    /// Sets whether requests wait from `now` on.
    void setBacklogged(bool, Common::MonotonicTime now);
    /// One request left the queue for a worker.
    void onDispatched(Common::MonotonicTime now);
    /// Takes back the last dispatch because its request returned to the queue.
    void undoDispatch();
    /// Nothing until the queue has been backlogged for long enough to measure, or when the measurement is too old.
    std::optional<double> perSecond(Common::MonotonicTime now) const;

private:
    void advance(Common::MonotonicTime now);

    bool m_backlogged = false;
    Common::MonotonicTime m_advancedTo;
    /// Both decay at the same rate while backlogged, so that their ratio is the recent rate.
    double m_dispatches = 0;
    double m_backloggedSeconds = 0;
    /// Backlogged seconds since the last dispatch; doesn't decay.
    double m_quietSeconds = 0;
};

} // namespace Policy
