// Which of the waiting steps gets room first. The load it answers: bursts in which more work is wanted than fits.
#pragma once

#include "Common/Units.h"

#include <compare>
#include <cstdint>

namespace Policy {

/// What is known of a step that could start.
struct StartCandidate {
    /// 0 comes first.
    uint32_t priority = 0;
    bool longRunning = false;
    /// Since the job was handed in or was due.
    Common::Duration age {};
    /// Age at which the job should have ended.
    Common::Duration objective {};
    /// The longest chain of work that is still before the job.
    Common::Duration remaining {};
};

/// Orders steps; the smaller one goes first.
struct StartRank {
    enum class Band {
        OnTime,
        /// It can still end before it is worth nothing.
        Late,
        Overdue,
    };

    Band band = Band::OnTime;
    uint32_t priority = 0;
    /// Until the latest start that keeps the band's limit.
    Common::Duration slack {};

    auto operator<=>(const StartRank&) const = default;
};

/// A job that ends later than this many times its objective is worth nothing any more (the users' accounting).
constexpr int overdueFactor = 3;

/// Work that can be on time goes before work that can't, so that a backlog doesn't make everything late.
StartRank rankStart(const StartCandidate&);

} // namespace Policy
