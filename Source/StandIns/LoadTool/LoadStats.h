// Counts outcomes, errors and latencies of a load run.
#pragma once

#include "Common/Units.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace StandIns {

/// How one request ended, after all its attempts.
enum class LoadOutcome {
    Answer,
    /// The daemon or worker reports that it did not run.
    NotRun,
    Unknown,
    /// The last attempt timed out at the caller and no retries were left.
    GaveUp,
    /// The answer belongs to another request or is incomplete.
    WrongAnswer,
};

class LoadStats {
public:
    void countSent() { ++m_sent; }
    void countAttempt() { ++m_attempts; }
    /// Counts a failed attempt under its public error name.
    void countError(const std::string& name) { ++m_errors[name]; }
    /// `latency` runs from the due time of the request to its end; it is kept for answers only.
    void countOutcome(LoadOutcome, Common::Duration latency);
    uint64_t sent() const { return m_sent; }
    uint64_t ended() const;
    /// The smallest latency that `percent` of the answers do not exceed; zero without answers.
    Common::Duration percentile(double percent);
    nlohmann::json summary(Common::Duration elapsed);

private:
    uint64_t m_sent = 0;
    uint64_t m_attempts = 0;
    std::map<std::string, uint64_t> m_errors;
    std::map<LoadOutcome, uint64_t> m_outcomes;
    std::vector<int64_t> m_latencyMicroseconds;
    bool m_sorted = true;
};

} // namespace StandIns
