// Learns what each kind of work really uses.
#pragma once

#include "Common/Resources.h"
#include "Policy/InterferenceModel.h"

#include <vector>

namespace Policy {

/// Per class, a high moving average: rises at once to what was seen, falls slowly.
class UsageModel {
public:
    using ClassIndex = InterferenceModel::ClassIndex;

    void observe(ClassIndex, const Common::Resources& used);
    /// Zero for a class never seen.
    Common::Resources expected(ClassIndex) const;

private:
    std::vector<Common::Resources> m_used;
};

} // namespace Policy
