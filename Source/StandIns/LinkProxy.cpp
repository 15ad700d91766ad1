// Accepts connections of the link stand-in and applies its behaviour to them.
#include "StandIns/LinkProxy.h"

#include "Http/Address.h"
#include "Http/EventLoop.h"
#include "StandIns/LinkConnection.h"

#include <asio/ip/tcp.hpp>

#include <utility>

namespace StandIns {

struct LinkProxy::Route {
    Route(asio::io_context& context, asio::ip::tcp::endpoint listenOn, asio::ip::tcp::endpoint passTo)
        : acceptor(context)
        , listen(std::move(listenOn))
        , target(std::move(passTo))
    {
    }

    asio::ip::tcp::acceptor acceptor;
    /// Includes the bound port, so that a link listens on the same port again after a cut.
    asio::ip::tcp::endpoint listen;
    asio::ip::tcp::endpoint target;
};

namespace {

    asio::ip::tcp::endpoint endpointOf(const Http::Address& address)
    {
        return { asio::ip::make_address(address.host), address.port };
    }

} // namespace

LinkProxy::LinkProxy(Http::EventLoop& loop)
    : m_loop(loop)
{
}

LinkProxy::~LinkProxy()
{
    for (const auto& route : m_routes)
        route->acceptor.close();
    forEachConnection(&LinkConnection::reset);
}

Common::Result<uint16_t> LinkProxy::addRoute(const std::string& listen, const std::string& target)
{
    const auto from = Http::parseAddress(listen);
    if (!from)
        return from.reason();
    const auto to = Http::parseAddress(target);
    if (!to)
        return to.reason();
    auto route = std::make_shared<Route>(m_loop.context(), endpointOf(*from), endpointOf(*to));
    auto port = open(route);
    if (port)
        m_routes.push_back(std::move(route));
    return port;
}

Common::Result<uint16_t> LinkProxy::open(const std::shared_ptr<Route>& route)
{
    try {
        route->acceptor.open(route->listen.protocol());
        route->acceptor.set_option(asio::socket_base::reuse_address(true));
        route->acceptor.bind(route->listen);
        route->acceptor.listen();
        route->listen = route->acceptor.local_endpoint();
    } catch (const std::exception& error) {
        return Common::Failure { Common::ErrorCode::InvalidSetting, error.what(), std::nullopt };
    }
    accept(route);
    return route->listen.port();
}

void LinkProxy::accept(const std::shared_ptr<Route>& route)
{
    route->acceptor.async_accept([this, route](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        m_connections.remove_if([](const auto& connection) { return connection.expired(); });
        auto connection = std::make_shared<LinkConnection>(m_loop, std::move(socket), m_forward, m_back);
        m_connections.push_back(connection);
        if (m_behaviour.silent)
            connection->silence();
        connection->start(route->target);
        accept(route);
    });
}

void LinkProxy::setBehaviour(const Behaviour& behaviour)
{
    const bool wasCut = std::exchange(m_behaviour, behaviour).cut;
    m_forward.configure(behaviour.delay, behaviour.bytesPerSecond);
    m_back.configure(behaviour.delay, behaviour.bytesPerSecond);
    if (behaviour.silent)
        silenceExisting();
    for (const auto& route : m_routes) {
        if (behaviour.cut && !wasCut)
            route->acceptor.close();
        if (!behaviour.cut && wasCut)
            open(route);
    }
    if (behaviour.cut)
        forEachConnection(&LinkConnection::reset);
}

void LinkProxy::silenceExisting() { forEachConnection(&LinkConnection::silence); }

size_t LinkProxy::openConnections() const
{
    size_t open = 0;
    for (const auto& weak : m_connections) {
        const auto connection = weak.lock();
        open += connection && connection->isOpen() ? 1 : 0;
    }
    return open;
}

void LinkProxy::forEachConnection(void (LinkConnection::*action)())
{
    for (const auto& weak : m_connections) {
        if (const auto connection = weak.lock())
            (connection.get()->*action)();
    }
}

} // namespace StandIns
