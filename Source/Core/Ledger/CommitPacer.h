// How often a shard may write to the store.
#pragma once

#include "Common/Units.h"
#include "Ledger/LedgerSettings.h"

#include <algorithm>

namespace Ledger {

/// A bucket of tokens with a least gap between commits. Fills slower after a failed or slow call.
class CommitPacer {
public:
    explicit CommitPacer(const LedgerSettings& settings)
        : m_settings(settings)
        , m_tokens(settings.commitBurst)
    {
    }

    /// How long to wait before the next commit; zero: go.
    Common::Duration wait(Common::MonotonicTime now)
    {
        refill(now);
        const Common::Duration gap = m_lastCommit + m_settings.commitGap - now;
        const double missing = std::max(0.0, 1.0 - m_tokens);
        const Common::Duration token(static_cast<int64_t>(missing / rate() * microsecondsPerSecond));
        return std::max({ gap, token, Common::Duration(0) });
    }
    void committed(Common::MonotonicTime now)
    {
        refill(now);
        m_tokens = std::max(0.0, m_tokens - 1);
        m_lastCommit = now;
    }
    void answered(bool succeeded, Common::Duration latency)
    {
        m_pressed = !succeeded || latency >= m_settings.slowStoreLatency;
    }

private:
    static constexpr double microsecondsPerSecond = 1e6;
    static constexpr double tokenTolerance = 1e-6;

    double rate() const { return m_pressed ? m_settings.commitsPerSecondUnderPressure : m_settings.commitsPerSecond; }
    void refill(Common::MonotonicTime now)
    {
        const double gained = rate() * static_cast<double>((now - m_filled).count()) / microsecondsPerSecond;
        m_tokens = std::min<double>(m_settings.commitBurst, m_tokens + gained);
        if (m_tokens > 1 - tokenTolerance)
            m_tokens = std::max(m_tokens, 1.0);
        m_filled = now;
    }

    const LedgerSettings& m_settings;
    double m_tokens;
    bool m_pressed = false;
    Common::MonotonicTime m_filled {};
    Common::MonotonicTime m_lastCommit { std::chrono::hours(-1) };
};

} // namespace Ledger
