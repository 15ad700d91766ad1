// Construction, start and planned stop of the daemon process.
#include "Daemon/DaemonProcess.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Daemon/ConfigApi.h"
#include "Daemon/HttpForward.h"
#include "Daemon/JobApi.h"
#include "Daemon/Node.h"
#include "Daemon/OperatorApi.h"
#include "Daemon/RequestApi.h"
#include "Daemon/RouteTable.h"
#include "Http/Client.h"
#include "Http/EventLoop.h"
#include "Http/Server.h"
#include "Peer/JsonRpcPeer.h"
#include "Store/HttpStore.h"
#include "Worker/HttpWorker.h"

#include <csignal>
#include <random>

namespace Daemon {

namespace {

    /// After the hand-over the port stays open this long, so that last answers reach their callers.
    constexpr Common::Duration lingerTime = std::chrono::milliseconds(200);
    constexpr size_t bootDigits = 8;

    std::string makeBootId()
    {
        std::random_device source;
        std::string id;
        while (id.size() < bootDigits)
            id.push_back("0123456789abcdef"[source() % 16]);
        return id;
    }

    std::string withPort(const std::string& address, uint16_t port)
    {
        return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
    }

    bool endsWithPortZero(const std::string& address) { return address.ends_with(":0"); }

    Http::Client::Limits clientLimits(const Config::DaemonSettings& settings)
    {
        Http::Client::Limits limits;
        limits.maximumConnectionsPerAddress = settings.connectionsPerWorker;
        return limits;
    }

    Http::Server::Limits serverLimits(const Config::DaemonSettings& settings)
    {
        Http::Server::Limits limits;
        limits.maximumBodyBytes = static_cast<size_t>(settings.maximumBodyBytes);
        limits.maximumConnections = static_cast<size_t>(settings.maximumConnections);
        return limits;
    }

} // namespace

struct DaemonProcess::Components {
    explicit Components(const Config::DaemonSettings& settings)
        : server(loop, serverLimits(settings),
            [this](
                Http::Request request, const Http::Server::Responder& respond) { serve(std::move(request), respond); })
        , workerClient(loop, clientLimits(settings))
        , syncClient(loop, clientLimits(settings))
        , peerClient(loop, clientLimits(settings))
        , storeClient(loop, clientLimits(settings))
        , store(storeClient, { .address = settings.storeAddress, .timeout = settings.storeTimeout })
        , workers(workerClient, syncClient)
        , peers(peerClient)
        , forward(peerClient)
    {
    }

    void serve(Http::Request request, const Http::Server::Responder& respond) const
    {
        routes.serve(std::move(request), respond);
    }

    Http::EventLoop loop;
    Common::Metrics metrics;
    Http::Server server;
    Http::Client workerClient;
    Http::Client syncClient;
    Http::Client peerClient;
    Http::Client storeClient;
    Store::HttpStore store;
    Worker::HttpWorker workers;
    Peer::JsonRpcPeer peers;
    HttpForward forward;
    RouteTable routes;
    std::unique_ptr<Common::Timeline> timeline;
    std::unique_ptr<Node> node;
    std::unique_ptr<RequestApi> requestApi;
    std::unique_ptr<JobApi> jobApi;
    std::unique_ptr<ConfigApi> configApi;
    std::unique_ptr<OperatorApi> operatorApi;

    void addRoutes();
    void drain();
};

void DaemonProcess::Components::addRoutes()
{
    requestApi = std::make_unique<RequestApi>(*node);
    jobApi = std::make_unique<JobApi>(*node);
    configApi = std::make_unique<ConfigApi>(*node);
    operatorApi = std::make_unique<OperatorApi>(*node, metrics, [this] { drain(); });
    requestApi->addRoutes(routes);
    jobApi->addRoutes(routes);
    configApi->addRoutes(routes);
    operatorApi->addRoutes(routes);
    routes.add("POST", "/peer/rpc", [this](const ApiCall& call, const ApiReply& reply) {
        peers.handle(call.request.body, [reply](std::string body) {
            Http::Response response;
            response.headers.set("Content-Type", "application/json");
            response.body = std::move(body);
            reply(response);
        });
    });
}

void DaemonProcess::Components::drain()
{
    if (node->draining())
        return;
    LC_INFO(Core, "event=draining");
    node->drain([this] {
        LC_INFO(Core, "event=stopped");
        loop.schedule(lingerTime, [this] { loop.stop(); });
    });
}

DaemonProcess::DaemonProcess(Config::DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_components(std::make_unique<Components>(m_settings))
{
}

DaemonProcess::~DaemonProcess() = default;

Common::Result<uint16_t> DaemonProcess::start()
{
    Components& components = *m_components;
    Common::Result<uint16_t> port = components.server.listen(m_settings.listenAddress);
    if (!port)
        return port;
    std::string address
        = m_settings.advertisedAddress.empty() ? m_settings.listenAddress : m_settings.advertisedAddress;
    if (endsWithPortZero(address))
        address = withPort(address, *port);
    const NodeSettings settings = toNodeSettings(m_settings, makeBootId(), address);
    components.timeline
        = std::make_unique<Common::Timeline>(settings.self.id.value(), static_cast<size_t>(m_settings.timelineCapacity),
            [&loop = components.loop] { return loop.wallMilliseconds(); });
    components.node
        = std::make_unique<Node>(NodePorts { components.loop, *components.timeline, components.metrics,
                                     components.store, components.workers, components.peers, components.forward },
            settings);
    components.addRoutes();
    components.loop.onSignals({ SIGTERM, SIGINT }, [&components](int) { components.drain(); });
    components.node->start();
    LC_INFO(Core, "event=started daemon=" << settings.self.id.value() << " address=" << address);
    return port;
}

void DaemonProcess::run() { m_components->loop.run(); }

} // namespace Daemon
