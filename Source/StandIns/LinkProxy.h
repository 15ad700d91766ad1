// The link stand-in: passes TCP connections on, slowly, narrowly, silently or not at all.
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

/// All routes share the link's bytes a second, each way.
class LinkProxy {
public:
    struct Behaviour {
        /// Each way.
        Common::Duration delay {};
        /// Each way; zero means no limit.
        int64_t bytesPerSecond = 0;
        /// New connections are refused and open ones reset.
        bool cut = false;
        /// Open connections and new ones go silent.
        bool silent = false;
    };

    explicit LinkProxy(Http::EventLoop&);
    ~LinkProxy();

    /// Passes connections to `listen` on to `target`. Yields the bound port.
    Common::Result<uint16_t> addRoute(const std::string& listen, const std::string& target);
    void setBehaviour(const Behaviour&);
    /// Open connections go silent for good; new ones work.
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
    /// May hold connections that are gone; tidied at each accept.
    std::list<std::weak_ptr<LinkConnection>> m_connections;
};

} // namespace StandIns
