// Learns the actual resource use of each class of work. Used by Placement.
#pragma once

#include "Common/Resources.h"
#include "Policy/InterferenceModel.h"

#include <vector>

namespace Policy {

/// Per class, a moving average of processor time, and a memory peak that rises at once and falls slowly.
class UsageModel {
public:
    using ClassIndex = InterferenceModel::ClassIndex;

    void observe(ClassIndex, const Common::Resources& used);
    /// Zero for a class never seen; slots and accelerators are always zero.
    Common::Resources expected(ClassIndex) const;

private:
    std::vector<Common::Resources> m_used;
};

} // namespace Policy
