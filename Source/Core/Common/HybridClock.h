// Hybrid logical clock: orders events across processes whose wall clocks differ.
#pragma once

#include "Common/HybridTime.h"

namespace Common {

/// Invariant: every stamp is greater than all stamps issued or received before it.
class HybridClock {
public:
    /// Returns the stamp of a local event. `wallMilliseconds` is the current wall-clock time.
    HybridTime stamp(int64_t wallMilliseconds);
    /// Advances the clock to the stamp of a received message.
    void receive(HybridTime remote);

private:
    HybridTime m_last;
};

} // namespace Common
