// Scopes read the steady clock, which needs no system call.
#include "Common/WorkTimes.h"

namespace Common {

std::string_view workKindName(WorkKind kind)
{
    constexpr std::array<std::string_view, WorkTimes::kinds> names { "caller-calls", "peer-calls",
        "heartbeats-received", "heartbeats-sent", "owner-choice", "worker-list", "worker-reports", "placement",
        "commits" };
    return names.at(static_cast<size_t>(kind));
}

WorkTimes& WorkTimes::ofThisThread()
{
    static thread_local WorkTimes times;
    return times;
}

WorkTimes::Scope::Scope(WorkKind kind)
    : m_kind(kind)
    , m_outer(ofThisThread().m_innermost)
    , m_startedAt(std::chrono::steady_clock::now())
{
    ofThisThread().m_innermost = this;
}

WorkTimes::Scope::~Scope()
{
    WorkTimes& times = ofThisThread();
    const auto elapsed = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_startedAt);
    times.m_totals.at(static_cast<size_t>(m_kind)) += elapsed - m_nested;
    times.m_innermost = m_outer;
    if (m_outer)
        m_outer->m_nested += elapsed;
}

} // namespace Common
