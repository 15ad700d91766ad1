// Serves a StoreState over HTTP, with injected faults and counts of calls. The store stand-in runs it.
#pragma once

#include "Http/Server.h"
#include "StandIns/StoreState.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace Http {
class EventLoop;
struct Target;
}

namespace StandIns {

class StoreServer {
public:
    struct Settings {
        /// Added to each answer.
        Common::Duration latency {};
        /// Delay until readers see a change of the host list.
        Common::Duration hostListLag {};
    };
    struct Faults {
        /// The connection of every store call is dropped, and so are those of waiting watches.
        bool down = false;
        /// Calls are accepted and never answered, and take no effect.
        bool hang = false;
        /// Added to each answer, besides the latency.
        Common::Duration slow {};
        /// Number of the next writes that take effect without an answer.
        int64_t forgetAnswers = 0;
    };

    StoreServer(Http::EventLoop&, Settings);
    StoreServer(const StoreServer&) = delete;
    StoreServer& operator=(const StoreServer&) = delete;
    ~StoreServer();

    Common::Result<uint16_t> listen(const std::string& address) { return m_server.listen(address); }
    StoreState& state() { return m_state; }
    void setFaults(const Faults&);
    /// Calls so far by kind: get, list, put, remove, watch, lease-grant, lease-renew, hosts.
    uint64_t calls(const std::string& kind) const;

private:
    struct PendingWatch {
        Http::Server::Responder respond;
        uint64_t timer = 0;
    };

    void handle(const Http::Request&, const Http::Server::Responder&);
    /// Handles calls that control the stand-in; returns false for calls of the store's own interface.
    bool handleStandInCall(const Http::Request&, const Http::Target&, const Http::Server::Responder&);
    void handleStoreCall(const Http::Request&, const Http::Target&, const Http::Server::Responder&);
    Http::Server::Responder delayed(Http::Server::Responder);
    void count(const std::string& kind);
    void answerWrite(const Http::Server::Responder&, Http::Response);

    void get(const std::string& key, const Http::Server::Responder&);
    void list(const Http::Target&, const Http::Server::Responder&);
    void put(const std::string& key, const Http::Target&, const std::string& value, const Http::Server::Responder&);
    void remove(const std::string& key, const Http::Target&, const Http::Server::Responder&);
    void watch(const Http::Target&, const Http::Server::Responder&);
    void endWatch(uint64_t, Http::Response);
    void grantLease(const std::string& body, const Http::Server::Responder&);
    void renewLease(const std::string& lease, const Http::Server::Responder&);
    void updateHosts(const std::string& body, const Http::Server::Responder&);
    void readFaults(const std::string& body, const Http::Server::Responder&);
    std::string stats() const;
    void scheduleLeaseExpiry();

    Http::EventLoop& m_loop;
    Settings m_settings;
    StoreState m_state;
    Faults m_faults;
    std::map<std::string, uint64_t> m_calls;
    uint64_t m_bytesIn = 0;
    uint64_t m_bytesOut = 0;
    uint64_t m_lastWatch = 0;
    uint64_t m_leaseTimer = 0;
    /// Watches that wait for a change, keyed by an id of this class.
    std::unordered_map<uint64_t, PendingWatch> m_watches;
    Http::Server m_server;
};

} // namespace StandIns
