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

bool CallsUnderWay::Start::isOverdue(Common::MonotonicTime now, Common::Duration answerTimeout) const
{
    return unanswered || now - *waiting > answerTimeout;
}

void CallsUnderWay::startSent(const Jobs::TaskName& task, Common::MonotonicTime time)
{
    Start& start = m_starts[task];
    if (start.waiting)
        start.unanswered = start.lastSentAt();
    start.waiting = time;
}

void CallsUnderWay::startUnanswered(const Jobs::TaskName& task, Common::MonotonicTime time)
{
    Start& start = m_starts[task];
    start.unanswered = std::max(start.unanswered.value_or(time), time);
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

std::vector<std::pair<Jobs::TaskName, Common::MonotonicTime>> CallsUnderWay::overdueStarts(
    Common::MonotonicTime now) const
{
    std::vector<std::pair<Jobs::TaskName, Common::MonotonicTime>> overdue;
    for (const auto& [task, start] : m_starts) {
        if (start.isOverdue(now, m_answerTimeout))
            overdue.emplace_back(task, start.lastSentAt());
    }
    return overdue;
}

Common::MonotonicTime CallsUnderWay::lastStart() const
{
    Common::MonotonicTime last;
    for (const auto& [task, start] : m_starts)
        last = std::max(last, start.lastSentAt());
    return last;
}

std::optional<Common::MonotonicTime> CallsUnderWay::lastStart(const Jobs::TaskName& task) const
{
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? std::nullopt : std::optional(found->second.lastSentAt());
}

} // namespace Cells
