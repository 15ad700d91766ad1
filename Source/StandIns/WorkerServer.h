// The worker stand-in's HTTP side: routes, faults, journal and counts round a WorkerState.
#pragma once

#include "Http/Server.h"
#include "StandIns/WorkerState.h"

#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <string>

namespace Http {
class EventLoop;
struct Target;
}

namespace StandIns {

class WorkerServer {
public:
    struct Settings {
        WorkerState::Settings worker;
        /// One JSON line for each entry; empty: kept in memory only.
        std::string journalFile;
        /// Run time of requests that don't say.
        std::chrono::milliseconds requestTime { 20 };
    };
    struct Faults {
        WorkerState::Faults state;
        /// Calls are accepted, take no effect and are never answered.
        bool silent = false;
        /// Added to each answer.
        Common::Duration slow {};
    };

    WorkerServer(Http::EventLoop&, Settings);
    WorkerServer(const WorkerServer&) = delete;
    WorkerServer& operator=(const WorkerServer&) = delete;
    ~WorkerServer();

    Common::Result<uint16_t> listen(const std::string& address) { return m_server.listen(address); }
    WorkerState& state() { return m_state; }
    void setFaults(const Faults&);
    uint64_t calls(const std::string& kind) const;

private:
    void handle(const Http::Request&, const Http::Server::Responder&);
    bool handleOwnCall(const Http::Request&, const Http::Target&, const Http::Server::Responder&);
    void handleWorkerCall(const Http::Request&, const Http::Target&, const Http::Server::Responder&);
    Http::Server::Responder delayed(Http::Server::Responder);
    void sync(const std::string& body, const Http::Server::Responder&);
    void start(const std::string& body, const Http::Server::Responder&);
    void run(const Http::Request&, const Http::Server::Responder&);
    void control(const std::string& body, const Http::Server::Responder&);
    void refuse(const Common::Failure&, const std::string& task, const Http::Server::Responder&);
    void readFaults(const std::string& body, const Http::Server::Responder&);
    void writeJournal(const JournalEntry&);
    std::string journalText() const;
    std::string stats();
    /// Wakes up when the state has something to do.
    void scheduleNextEvent();

    Http::EventLoop& m_loop;
    Settings m_settings;
    Faults m_faults;
    std::ofstream m_journalFile;
    /// The newest entries.
    std::deque<std::string> m_journal;
    std::map<std::string, uint64_t> m_journalCounts;
    std::map<std::string, uint64_t> m_calls;
    std::map<std::string, uint64_t> m_refusals;
    WorkerState m_state;
    uint64_t m_timer = 0;
    /// When the timer is due; nothing while none is set.
    std::optional<Common::MonotonicTime> m_timerDue;
    Http::Server m_server;
};

} // namespace StandIns
