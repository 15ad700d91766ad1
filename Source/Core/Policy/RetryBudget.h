// Bounds the system's own retries by a share of its successes.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Policy {

/// A token bucket: each success adds a share of a token, each retry takes one. A trickle keeps quiet services able to
/// retry now and then. One per profile.
class RetryBudget {
public:
    struct Settings {
        double tricklePerSecond = 0.2;
        double capacity = 50;
        double initialTokens = 3;
    };

    RetryBudget(uint32_t percent, Settings);
    explicit RetryBudget(uint32_t percent);

    void setPercent(uint32_t percent) { m_percent = percent; }
    void onSuccess();
    /// True when a retry may be sent; takes its token.
    bool take(Common::MonotonicTime now);

private:
    uint32_t m_percent;
    Settings m_settings;
    double m_tokens;
    bool m_started = false;
    Common::MonotonicTime m_trickledTo;
};

} // namespace Policy
