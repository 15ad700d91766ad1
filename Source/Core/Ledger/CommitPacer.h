// Limits the rate at which one shard commits to the store. LedgerLog asks it before each commit.
#pragma once

#include "Common/Units.h"
#include "Ledger/LedgerSettings.h"

#include <algorithm>

namespace Ledger {

/// A token bucket with a minimum gap between commits. It refills more slowly after a failed or slow call to the store.
class CommitPacer {
public:
    explicit CommitPacer(const LedgerSettings& settings)
        : m_settings(settings)
        , m_tokens(settings.commitBurst)
    {
    }

    /// Returns the time until the next commit is allowed; zero means now.
    Common::Duration timeToNextCommit(Common::MonotonicTime now)
    {
        refill(now);
        const Common::Duration gap = m_lastCommit + m_settings.commitGap - now;
        const double missingTokens = std::max(0.0, 1.0 - m_tokens);
        const Common::Duration tokenWait(static_cast<int64_t>(missingTokens / rate() * microsecondsPerSecond));
        return std::max({ gap, tokenWait, Common::Duration(0) });
    }
    void recordCommit(Common::MonotonicTime now)
    {
        refill(now);
        m_tokens = std::max(0.0, m_tokens - 1);
        m_lastCommit = now;
    }
    void recordAnswer(bool succeeded, Common::Duration latency)
    {
        m_underPressure = !succeeded || latency >= m_settings.slowStoreLatency;
    }

private:
    static constexpr double microsecondsPerSecond = 1e6;
    static constexpr double tokenTolerance = 1e-6;

    double rate() const
    {
        return m_underPressure ? m_settings.commitsPerSecondUnderPressure : m_settings.commitsPerSecond;
    }
    void refill(Common::MonotonicTime now)
    {
        const double gained = rate() * static_cast<double>((now - m_refilledAt).count()) / microsecondsPerSecond;
        m_tokens = std::min<double>(m_settings.commitBurst, m_tokens + gained);
        if (m_tokens > 1 - tokenTolerance)
            m_tokens = std::max(m_tokens, 1.0);
        m_refilledAt = now;
    }

    const LedgerSettings& m_settings;
    double m_tokens;
    bool m_underPressure = false;
    Common::MonotonicTime m_refilledAt {};
    Common::MonotonicTime m_lastCommit { std::chrono::hours(-1) };
};

} // namespace Ledger
