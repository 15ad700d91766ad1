// How soon a long-running task is started again after its run has ended by itself.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Policy {

/// A task that ends soon after each start would otherwise be started without a pause, at the cost of its worker and of
/// the store, which records each attempt.
class RestartBackoff {
public:
    /// Returns the pause until the next start. It is zero after a run that lasted, and after the first that didn't; it
    /// grows with each further one, and stays short of the time that a long-running task may be without a run.
    Common::Duration runEnded(Common::Duration ran);

private:
    /// Since the last run that lasted.
    uint32_t m_shortRuns = 0;
};

} // namespace Policy
