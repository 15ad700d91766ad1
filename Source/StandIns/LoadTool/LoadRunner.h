// Sends requests to daemons, or directly to workers, and counts their outcomes. The load tool runs it.
#pragma once

#include "Http/Client.h"
#include "StandIns/LoadTool/LoadStats.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Http {
class EventLoop;
}

namespace StandIns {

/// With a rate, requests arrive at random times independent of earlier outcomes (open loop, Poisson). Without, each
/// connection sends its next request when the previous one has ended (closed loop).
class LoadRunner {
public:
    struct Settings {
        /// "IP:port" of daemons, or of workers with `direct`.
        std::vector<std::string> targets;
        std::string service;
        int connections = 16;
        /// Requests per second; zero selects the closed loop.
        double rate = 0;
        Common::Duration duration = std::chrono::seconds(10);
        std::chrono::milliseconds requestTime { 20 };
        int64_t answerBytes = 0;
        std::chrono::milliseconds deadline { 1000 };
        /// Timeout of an attempt; zero waits for the deadline.
        std::chrono::milliseconds giveUpAfter {};
        /// Immediate retries after an attempt timed out or was refused.
        int retries = 0;
        uint64_t seed = 1;
        bool idempotent = true;
        bool direct = false;
    };

    LoadRunner(Http::EventLoop&, Settings);

    /// Calls `finished` when the duration has passed and every request has ended, at the latest 2.5 s after the last
    /// deadline.
    void start(std::function<void()> finished);
    LoadStats& stats() { return m_stats; }
    /// Time from the start of the load to its planned end.
    Common::Duration elapsed() const;

private:
    /// A worker's clock and boot id as last read, for direct load.
    struct WorkerClock {
        std::string boot;
        int64_t milliseconds = 0;
        Common::MonotonicTime readAt;
    };
    struct Caller {
        std::string id;
        Common::MonotonicTime due;
        int attemptsLeft = 0;
    };
    using CallerPtr = std::shared_ptr<Caller>;

    void begin();
    void readWorkerClocks();
    void readWorkerClock(const std::string& target);
    void scheduleArrival(Common::MonotonicTime previous);
    void arrive(Common::MonotonicTime due);
    void attempt(const CallerPtr&);
    void finishAttempt(const CallerPtr&, const Common::Result<Http::Response>&);
    void end(const CallerPtr&, LoadOutcome);
    void retryOrEnd(const CallerPtr&, LoadOutcome);
    bool isOver() const;
    void checkFinished();
    Common::Duration attemptTimeout() const;
    Http::Request request(const Caller&, const std::string& target) const;
    void addDirectHeaders(Http::Request&, const Caller&, const std::string& target) const;
    LoadOutcome classify(const Caller&, const Http::Response&) const;

    Http::EventLoop& m_loop;
    Settings m_settings;
    Http::Client m_client;
    std::mt19937_64 m_random;
    /// Differs between runs even with the same seed, so that request ids are never reused.
    std::string m_idPrefix;
    LoadStats m_stats;
    std::unordered_map<std::string, WorkerClock> m_clocks;
    std::function<void()> m_finished;
    Common::MonotonicTime m_startedAt;
    Common::MonotonicTime m_endedAt;
    uint64_t m_lastCaller = 0;
    bool m_begun = false;
};

} // namespace StandIns
