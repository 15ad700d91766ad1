// How fast backfill may work beside services. The load it answers: batch work that disturbs tail latency.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Policy {

/// One per worker. Slows backfill down at once when a service nears its target, and lets it on step by step.
class BackfillPacer {
public:
    struct Settings {
        /// Above this ratio of tail latency to target backfill is slowed down.
        double slowAbove = 0.85;
        /// Above this one it is paused: the target is missed.
        double pauseAbove = 1.0;
        /// Below this one it may work faster.
        double easeBelow = 0.7;
        uint32_t easeStep = 20;
        Common::Duration easeInterval = std::chrono::milliseconds(900);
    };

    BackfillPacer();
    explicit BackfillPacer(Settings);

    /// `tailRatio`: the worst of the worker's services; 0 when none serves there.
    void observe(double tailRatio, Common::MonoTime now);
    /// Percent of their speed at which backfill runs may work.
    uint32_t pace() const { return m_pace; }

private:
    Settings m_settings;
    uint32_t m_pace = 100;
    Common::MonoTime m_changedAt;
};

} // namespace Policy
