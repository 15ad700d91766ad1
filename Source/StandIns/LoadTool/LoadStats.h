// What a load run counted.
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
    /// The system says that it did not run.
    NotRun,
    Unknown,
    /// The caller's patience and retries were spent.
    GaveUp,
    /// An answer that is not this request's, or not whole.
    WrongAnswer,
};

class LoadStats {
public:
    void countSent() { ++m_sent; }
    void countAttempt() { ++m_attempts; }
    /// A failed attempt by its public error name.
    void countError(const std::string& name) { ++m_errors[name]; }
    /// Latency counts from when the request was due to when it ended; kept for answers only.
    void countOutcome(LoadOutcome, Common::Duration latency);
    uint64_t sent() const { return m_sent; }
    uint64_t ended() const;
    /// The smallest latency that `percent` of the answers don't exceed; zero without answers.
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
