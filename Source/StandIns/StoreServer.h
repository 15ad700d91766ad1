// The store stand-in's HTTP side: routes, faults and counts round a StoreState.
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
        Common::Duration hostListLag {};
    };
    struct Faults {
        /// Every connection is dropped at once.
        bool down = false;
        /// Calls are accepted and never answered, and take no effect.
        bool hang = false;
        Common::Duration slow {};
        /// So many of the next writes take effect without an answer.
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
    /// The stand-in's own calls; false when the call is one of the store's.
    bool handleOwnCall(const Http::Request&, const Http::Target&, const Http::Server::Responder&);
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
    void expireLeasesLater();

    Http::EventLoop& m_loop;
    Settings m_settings;
    StoreState m_state;
    Faults m_faults;
    std::map<std::string, uint64_t> m_calls;
    uint64_t m_bytesIn = 0;
    uint64_t m_bytesOut = 0;
    uint64_t m_lastWatch = 0;
    uint64_t m_leaseTimer = 0;
    /// Watches that wait for a change, by an id of this class.
    std::unordered_map<uint64_t, PendingWatch> m_watches;
    Http::Server m_server;
};

} // namespace StandIns
