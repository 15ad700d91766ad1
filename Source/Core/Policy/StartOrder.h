// Decides which of the waiting steps gets room first when a burst brings more work than fits.
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
    /// Time since the job was submitted or due.
    Common::Duration age {};
    /// Age at which the job should have ended.
    Common::Duration objective {};
    /// Length of the longest chain of work that the job still has to run.
    Common::Duration remaining {};
};

/// Orders steps; the smaller one goes first.
struct StartRank {
    enum class Band {
        OnTime,
        /// It can still end before `overdueFactor` times its objective.
        Late,
        Overdue,
    };

    Band band = Band::OnTime;
    uint32_t priority = 0;
    /// Time until the latest start that meets the band's limit. In other cases it only orders steps within the band:
    /// long- running steps have their negated age, overdue ones their age.
    Common::Duration slack {};

    auto operator<=>(const StartRank&) const = default;
};

/// A job that ends later than this many times its objective has no value any more, by the users' accounting.
constexpr int overdueFactor = 3;

/// Work that can still be on time goes before work that can't, so that a backlog doesn't make all work late.
StartRank rankStart(const StartCandidate&);

} // namespace Policy
