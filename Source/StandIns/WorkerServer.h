// Serves a WorkerState over HTTP, with injected faults, a journal and counts of calls. The worker stand-in runs it.
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
        /// File for one JSON line per entry; empty keeps the journal in memory only.
        std::string journalFile;
        /// Run time of requests that don't set one.
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
    /// Calls so far by kind: sync, start, run, control.
    uint64_t calls(const std::string& kind) const;

private:
    void handle(const Http::Request&, const Http::Server::Responder&);
    bool handleStandInCall(const Http::Request&, const Http::Target&, const Http::Server::Responder&);
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
    /// Sets the timer for the state's next event.
    void scheduleNextEvent();

    Http::EventLoop& m_loop;
    Settings m_settings;
    Faults m_faults;
    std::ofstream m_journalFile;
    /// The newest entries, one JSON text each.
    std::deque<std::string> m_journal;
    std::map<std::string, uint64_t> m_journalCounts;
    std::map<std::string, uint64_t> m_calls;
    std::map<std::string, uint64_t> m_refusals;
    WorkerState m_state;
    uint64_t m_timer = 0;
    /// When the timer is due; empty while none is set.
    std::optional<Common::MonotonicTime> m_timerDue;
    Http::Server m_server;
};

} // namespace StandIns
