// Hybrid logical clock: orders events over processes whose wall clocks differ.
#pragma once

#include "Common/HybridTime.h"

namespace Common {

/// Invariant: every stamp is larger than all stamps issued or received before.
class HybridClock {
public:
    /// Stamps a local event. `wallMilliseconds` is the wall clock's reading now.
    HybridTime stamp(int64_t wallMilliseconds);
    /// Takes in the stamp of a received message.
    void receive(HybridTime remote);

private:
    HybridTime m_last;
};

} // namespace Common
