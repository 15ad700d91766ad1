// Which calls to a worker may still be carried out.
#include "Cells/CallsUnderWay.h"

#include "Cells/CellSettings.h"

#include <algorithm>

namespace Cells {

CallsUnderWay::CallsUnderWay(const CellSettings& settings)
    : m_longestDelay(settings.longestCallDelay)
    , m_answerTimeout(settings.answerTimeout)
{
}

Common::MonotonicTime CallsUnderWay::Start::lastSentAt() const
{
    return std::max(unanswered.value_or(Common::MonotonicTime {}), waiting.value_or(Common::MonotonicTime {}));
}

void CallsUnderWay::startSent(const Jobs::TaskName& task, Common::MonotonicTime time)
{
    Start& start = m_starts[task];
    if (start.waiting)
        start.unanswered = start.lastSentAt();
    start.waiting = time;
}

void CallsUnderWay::startSettled(const Jobs::TaskName& task, Common::MonotonicTime sentAt)
{
    const auto found = m_starts.find(task);
    if (found == m_starts.end() || found->second.waiting != sentAt)
        return;
    found->second.waiting.reset();
    if (!found->second.unanswered)
        m_starts.erase(found);
}

void CallsUnderWay::settleByReport(Common::MonotonicTime askedAt)
{
    std::erase_if(m_starts, [&](const auto& row) { return askedAt - row.second.lastSentAt() > m_longestDelay; });
}

bool CallsUnderWay::hasOverdueStarts(Common::MonotonicTime now) const
{
    return std::any_of(m_starts.begin(), m_starts.end(), [&](const auto& row) {
        const Start& start = row.second;
        return start.unanswered || now - *start.waiting > m_answerTimeout;
    });
}

std::optional<Common::MonotonicTime> CallsUnderWay::lastStart(const Jobs::TaskName& task) const
{
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? std::nullopt : std::optional(found->second.lastSentAt());
}

} // namespace Cells
