// Accounts for where the time of an event loop's thread goes, by kind of work.
#pragma once

#include "Common/Units.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <string_view>

namespace Common {

enum class WorkKind {
    CallerCalls,
    PeerCalls,
    HeartbeatsReceived,
    HeartbeatsSent,
    OwnerChoice,
    WorkerList,
    WorkerReports,
    Placement,
    Commits,
};

/// Name of the kind in metrics and logs.
std::string_view workKindName(WorkKind);

/// Time that the calling thread has spent in scopes of each kind since it started.
/// Invariant: time in nested scopes counts for the innermost one only, so that the sum is at most the thread's time.
class WorkTimes {
public:
    static constexpr size_t kinds = static_cast<size_t>(WorkKind::Commits) + 1;

    static WorkTimes& ofThisThread();

    Duration total(WorkKind kind) const { return m_totals.at(static_cast<size_t>(kind)); }

    /// Counts the time from its construction to its destruction. Scopes must be nested.
    class Scope {
    public:
        explicit Scope(WorkKind);
        ~Scope();
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        WorkKind m_kind;
        Scope* m_outer;
        std::chrono::steady_clock::time_point m_startedAt;
        Duration m_nested {};
    };

private:
    std::array<Duration, kinds> m_totals {};
    Scope* m_innermost = nullptr;
};

} // namespace Common
