// Limits the system's own retries to a share of its successes.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Policy {

/// A token bucket, one per profile: each success adds a share of a token, each retry takes one token. A slow refill
/// over time lets services with little traffic retry occasionally.
class RetryBudget {
public:
    struct Settings {
        double tricklePerSecond = 0.2;
        double capacity = 50;
        double initialTokens = 3;
    };

    /// `percent`: retries allowed per hundred successes; 0 allows none at all.
    RetryBudget(uint32_t percent, Settings);
    explicit RetryBudget(uint32_t percent);

    void setPercent(uint32_t percent) { m_percent = percent; }
    void onSuccess();
    /// Takes a token and returns true when a retry may be sent.
    bool take(Common::MonotonicTime now);

private:
    uint32_t m_percent;
    Settings m_settings;
    double m_tokens;
    bool m_started = false;
    Common::MonotonicTime m_trickledTo;
};

} // namespace Policy
