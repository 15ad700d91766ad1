// Moving averages of resource use.
#include "Policy/UsageModel.h"

#include <algorithm>

namespace Policy {

namespace {

    constexpr int64_t coresShare = 8;
    constexpr int64_t memoryFallShare = 64;

} // namespace

void UsageModel::observe(ClassIndex workClass, const Common::Resources& used)
{
    if (workClass >= m_used.size())
        m_used.resize(workClass + size_t { 1 });
    Common::Resources& learned = m_used[workClass];
    learned.milliCores += (used.milliCores - learned.milliCores) / coresShare;
    // Memory use beyond a worker's capacity can't be undone, so the peak counts: memory rises at once and falls slowly.
    const int64_t fallen = learned.memoryMegabytes - (learned.memoryMegabytes - used.memoryMegabytes) / memoryFallShare;
    learned.memoryMegabytes = std::max(used.memoryMegabytes, fallen);
}

Common::Resources UsageModel::expected(ClassIndex workClass) const
{
    return workClass < m_used.size() ? m_used[workClass] : Common::Resources {};
}

} // namespace Policy
