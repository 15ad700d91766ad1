// A TCP proxy that simulates a network link: with a delay, a byte rate, cuts and silent loss.
#pragma once

#include "Common/Result.h"
#include "StandIns/LinkShaper.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace Http {
class EventLoop;
}

namespace StandIns {

class LinkConnection;

/// All routes share the byte rate of the link, one rate for each direction.
class LinkProxy {
public:
    struct Behaviour {
        /// One-way delay, applied to each direction.
        Common::Duration delay {};
        /// Limit of each direction over all connections; zero means no limit.
        int64_t bytesPerSecond = 0;
        /// New connections are refused and open ones reset.
        bool cut = false;
        /// Open and new connections stay open but deliver no more bytes, permanently.
        bool silent = false;
    };

    explicit LinkProxy(Http::EventLoop&);
    ~LinkProxy();

    /// Forwards connections at `listen` to `target`, both "IP:port". Returns the bound port.
    Common::Result<uint16_t> addRoute(const std::string& listen, const std::string& target);
    void setBehaviour(const Behaviour&);
    /// Open connections deliver no more bytes, permanently; new ones work.
    void silenceExisting();
    size_t openConnections() const;
    uint64_t bytesForward() const { return m_forward.bytes(); }
    uint64_t bytesBack() const { return m_back.bytes(); }

private:
    struct Route;

    Common::Result<uint16_t> open(const std::shared_ptr<Route>&);
    void accept(const std::shared_ptr<Route>&);
    void forEachConnection(void (LinkConnection::*action)());

    Http::EventLoop& m_loop;
    Behaviour m_behaviour;
    LinkShaper m_forward;
    LinkShaper m_back;
    std::vector<std::shared_ptr<Route>> m_routes;
    /// May hold expired connections; they are removed at each accept.
    std::list<std::weak_ptr<LinkConnection>> m_connections;
};

} // namespace StandIns
