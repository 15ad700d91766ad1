// Ring buffer of events.
#include "Common/Timeline.h"

#include <utility>

namespace Common {

namespace {

    bool idMatches(const std::string& wanted, const std::string& actual) { return wanted.empty() || wanted == actual; }

    bool matches(const Event& filter, const Event& event)
    {
        if (filter.configRevision && filter.configRevision != event.configRevision)
            return false;
        return idMatches(filter.request, event.request) && idMatches(filter.job, event.job)
            && idMatches(filter.worker, event.worker);
    }

} // namespace

Timeline::Timeline(std::string process, size_t capacity, WallClock wallClock)
    : m_process(std::move(process))
    , m_capacity(capacity)
    , m_wallClock(std::move(wallClock))
{
}

void Timeline::record(Event event)
{
    event.time = stampNow();
    event.process = m_process;
    if (m_events.size() >= m_capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
    m_events.push_back(std::move(event));
}

std::vector<Event> Timeline::select(const Event& filter, HybridTime after) const
{
    std::vector<Event> found;
    for (const Event& event : m_events) {
        if (event.time > after && matches(filter, event))
            found.push_back(event);
    }
    return found;
}

} // namespace Common
