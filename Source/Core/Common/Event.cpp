// Public names of timeline events.
#include "Common/Event.h"

#include <algorithm>
#include <array>

namespace Common {

namespace {

    // In the order of EventKind.
    constexpr std::array<std::string_view, static_cast<size_t>(EventKind::ConfigInForce) + 1> eventNames {
        "daemon-started",
        "daemon-draining",
        "daemon-stopped",
        "peer-up",
        "peer-down",
        "store-up",
        "store-down",
        "worker-claimed",
        "worker-owned",
        "worker-lost",
        "worker-leaving",
        "worker-ejected",
        "worker-readmitted",
        "request-admitted",
        "request-refused",
        "request-forwarded",
        "request-dispatched",
        "request-answered",
        "request-not-run",
        "request-unknown",
        "shard-owned",
        "shard-lost",
        "job-accepted",
        "job-intended",
        "job-started",
        "job-evicting",
        "job-evicted",
        "job-finished",
        "job-failed",
        "job-cancelled",
        "job-attempt-lost",
        "config-learned",
        "config-in-force",
    };

} // namespace

std::string_view eventName(EventKind kind) { return eventNames.at(static_cast<size_t>(kind)); }

std::optional<EventKind> eventFromName(std::string_view name)
{
    const auto* const found = std::find(eventNames.begin(), eventNames.end(), name);
    if (found == eventNames.end())
        return std::nullopt;
    return static_cast<EventKind>(found - eventNames.begin());
}

} // namespace Common
