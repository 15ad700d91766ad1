// Sends requests to daemons, or straight to workers, and counts how they end.
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

/// With a rate, requests are due at random times whatever becomes of earlier ones (open loop, Poisson); without, each
/// connection sends its next request when the last one has ended (closed loop).
class LoadRunner {
public:
    struct Settings {
        /// "IP:port" of daemons, or of workers with `direct`.
        std::vector<std::string> targets;
        std::string service;
        int connections = 16;
        /// Requests a second; zero: closed loop.
        double rate = 0;
        Common::Duration duration = std::chrono::seconds(10);
        std::chrono::milliseconds requestTime { 20 };
        int64_t answerBytes = 0;
        std::chrono::milliseconds deadline { 1000 };
        /// Zero: the caller waits for the deadline.
        std::chrono::milliseconds giveUpAfter {};
        /// Further attempts, made at once, after giving up or after a refusal.
        int retries = 0;
        uint64_t seed = 1;
        bool idempotent = true;
        bool direct = false;
    };

    LoadRunner(Http::EventLoop&, Settings);

    /// Calls `finished` when the time is over and every request has ended, or a little after the last deadline.
    void start(std::function<void()> finished);
    LoadStats& stats() { return m_stats; }
    /// From the start to the last arrival, or to the end of a closed loop.
    Common::Duration elapsed() const;

private:
    /// A worker's clock and boot as last read, for direct load.
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
    void readClocks();
    void readClock(const std::string& target);
    void scheduleArrival(Common::MonotonicTime previous);
    void arrive(Common::MonotonicTime due);
    void attempt(const CallerPtr&);
    void finishAttempt(const CallerPtr&, const Common::Result<Http::Response>&);
    void end(const CallerPtr&, LoadOutcome);
    void retryOrEnd(const CallerPtr&, LoadOutcome);
    bool over() const;
    void checkFinished();
    Common::Duration patience() const;
    Http::Request request(const Caller&, const std::string& target) const;
    void addDirectHeaders(Http::Request&, const Caller&, const std::string& target) const;
    LoadOutcome judge(const Caller&, const Http::Response&) const;

    Http::EventLoop& m_loop;
    Settings m_settings;
    Http::Client m_client;
    std::mt19937_64 m_random;
    /// Differs between runs, also with the same seed, so that ids are never used twice.
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
