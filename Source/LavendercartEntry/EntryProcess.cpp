// Start, reload and stop of an entry host's process.
#include "LavendercartEntry/EntryProcess.h"

#include "Cells/CellOwnership.h"
#include "Cells/ConfigFollower.h"
#include "Cells/JobGateway.h"
#include "Cells/RelayedStore.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Http/Address.h"
#include "Http/Client.h"
#include "Http/ErrorBody.h"
#include "Http/EventLoop.h"
#include "Http/Server.h"
#include "LavendercartEntry/JobApi.h"
#include "Peer/JsonRpcPeer.h"
#include "Peer/UdpHeartbeatPort.h"
#include "platform/KeyValueStore.h"
#include "platform/OperatorConfig.h"
#include "platform/WorkerCalls.h"
#include "platform/WorkerRegistry.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <random>

namespace Entry {

namespace {

    constexpr size_t bootDigits = 8;
    constexpr int64_t milliPerCore = 1000;
    /// Callers' bodies: the platform's limit on a submission is a quarter of this.
    constexpr size_t maximumBodyBytes = size_t { 1 } << 20;
    constexpr size_t maximumPeerBodyBytes = size_t { 4 } << 20;
    constexpr long connectionsPerWorker = 3;
    constexpr long looksPerWorker = 2;
    constexpr long connectionsPerPeer = 8;
    constexpr long connectionsToStore = 8;
    /// Other hosts and the store are a round trip of 60 ms away at most.
    constexpr Common::Duration connectTimeout = std::chrono::milliseconds(400);
    /// Before the process is killed it has this much left for its last answers.
    constexpr Common::Duration stopMargin = std::chrono::milliseconds(900);
    /// The balancer needs two misses, a second apart, to send no more connections; until then they are served.
    constexpr Common::Duration balancerNotice = std::chrono::milliseconds(3000);
    constexpr Common::Duration stopPoll = std::chrono::milliseconds(50);
    constexpr Common::Duration metricsInterval = std::chrono::seconds(1);
    /// Log lines are written at the latest after this long.
    constexpr Common::Duration logInterval = std::chrono::milliseconds(250);
    constexpr const char* readinessPath = "/v1/ready";
    constexpr const char* metricsPath = "/metrics";

    std::string makeBootId()
    {
        std::random_device source;
        std::string id;
        while (id.size() < bootDigits)
            id.push_back("0123456789abcdef"[source() % 16]);
        return id;
    }

    Http::Client::Limits clientLimits(long connections)
    {
        Http::Client::Limits limits;
        limits.maximumConnectionsPerAddress = connections;
        limits.connectTimeout = connectTimeout;
        return limits;
    }

    Http::Server::Limits serverLimits(size_t bodyBytes)
    {
        Http::Server::Limits limits;
        limits.maximumBodyBytes = bodyBytes;
        return limits;
    }

    /// Beats go to the same host as peers' calls, but to their own port.
    std::string heartbeatAddress(const std::string& peersAddress, int64_t heartbeatPort)
    {
        return peersAddress.substr(0, peersAddress.rfind(':') + 1) + std::to_string(heartbeatPort);
    }

    Cells::HostSettings hostSettings(const Config::EntrySettings& settings)
    {
        Cells::HostSettings host;
        host.id = Common::DaemonId(settings.hostName + "@" + makeBootId());
        host.address = settings.peersAddress;
        host.heartbeatAddress = heartbeatAddress(settings.peersAddress, settings.heartbeatPort);
        host.domain = settings.domain;
        host.region = settings.region;
        for (const std::string& seed : settings.seeds)
            host.seeds.push_back(heartbeatAddress(seed, settings.heartbeatPort));
        host.weight = static_cast<int64_t>(settings.processorShare * settings.processorSpeed * milliPerCore);
        return host;
    }

    Cells::CellSettings cellSettings(const Config::EntrySettings& settings)
    {
        Cells::CellSettings cells;
        cells.longestLease = settings.longestRunLease;
        cells.spreadSlowdown = settings.spreadSlowdown;
        return cells;
    }

} // namespace

struct EntryProcess::Parts {
    explicit Parts(const Config::EntrySettings& settings)
        : host(hostSettings(settings))
        , cells(cellSettings(settings))
        , workerClient(loop, clientLimits(connectionsPerWorker))
        , lookClient(loop, clientLimits(looksPerWorker))
        , peerClient(loop, clientLimits(connectionsPerPeer))
        , storeClient(loop, clientLimits(connectionsToStore))
        , directStore(storeClient, { .address = settings.storeAddress })
        , registry(directStore)
        , operatorConfig(directStore)
        , orders(workerClient, lookClient, {})
        , peers(peerClient)
        , store(loop, directStore, peers)
        , heartbeats(loop)
        , cellOwnership({ loop, store, registry, orders, heartbeats }, host, cells)
        , config(loop, operatorConfig, peers)
        , front(loop, store, peers, cellOwnership, host)
        , api(loop, front, config, metrics)
        , callServer(loop, serverLimits(maximumBodyBytes),
              [this](const Http::Request& request, const Http::Server::Responder& respond) {
                  api.serve(request, respond);
              })
        , readinessServer(loop, serverLimits(maximumBodyBytes),
              [this](const Http::Request& request, const Http::Server::Responder& respond) {
                  respond(readiness(request));
              })
        , peerServer(loop, serverLimits(maximumPeerBodyBytes),
              [this](const Http::Request& request, const Http::Server::Responder& respond) {
                  servePeer(request, respond);
              })
        , metricsServer(loop, serverLimits(maximumBodyBytes),
              [this](const Http::Request& request, const Http::Server::Responder& respond) {
                  respond(metricsAnswer(request));
              })
    {
    }

    bool ready() const { return !stopping && config.current() && cellOwnership.servedCells() > 0; }

    Http::Response readiness(const Http::Request& request) const
    {
        if (request.target != readinessPath)
            return Http::errorResponse(Common::ErrorCode::UnknownRoute, "no such path");
        if (ready())
            return Http::jsonResponse(200, "{}");
        return Http::errorResponse(
            stopping ? Common::ErrorCode::Draining : Common::ErrorCode::NoConfiguration, "not ready");
    }

    Http::Response metricsAnswer(const Http::Request& request) const
    {
        if (request.target != metricsPath)
            return Http::errorResponse(Common::ErrorCode::UnknownRoute, "no such path");
        Http::Response response;
        response.headers.set("Content-Type", "text/plain; version=0.0.4");
        response.body = metrics.toPrometheusText();
        return response;
    }

    void servePeer(const Http::Request& request, const Http::Server::Responder& respond)
    {
        if (request.target != Peer::JsonRpcPeer::path) {
            respond(metricsAnswer(request));
            return;
        }
        peers.handle(request.body, [respond](std::string body) { respond(Http::jsonResponse(200, std::move(body))); });
    }

    void updateMetrics();
    void flushLog();
    void stop(Common::Duration grace);
    void finish(Common::MonotonicTime notBefore, Common::MonotonicTime deadline);

    Http::EventLoop loop;
    Common::Metrics metrics;
    Cells::HostSettings host;
    Cells::CellSettings cells;
    Http::Client workerClient;
    Http::Client lookClient;
    Http::Client peerClient;
    Http::Client storeClient;
    Platform::KeyValueStore directStore;
    Platform::WorkerRegistry registry;
    Platform::OperatorConfig operatorConfig;
    Platform::WorkerCalls orders;
    Peer::JsonRpcPeer peers;
    Cells::RelayedStore store;
    Peer::UdpHeartbeatPort heartbeats;
    Cells::CellOwnership cellOwnership;
    Cells::ConfigFollower config;
    Cells::JobGateway front;
    JobApi api;
    Http::Server callServer;
    Http::Server readinessServer;
    Http::Server peerServer;
    Http::Server metricsServer;
    bool stopping = false;
    bool handedOver = false;
    bool saidReady = false;
};

void EntryProcess::Parts::updateMetrics()
{
    loop.schedule(metricsInterval, [this] { updateMetrics(); });
    cellOwnership.setStoreAvailable(store.isDirectStoreAvailable());
    if (ready() != saidReady) {
        saidReady = ready();
        LC_INFO(Core,
            "event=" << (saidReady ? "ready" : "not-ready") << " config=" << (config.current() != nullptr)
                     << " cells=" << cellOwnership.servedCells());
    }
    metrics.gauge("lavendercart_owned_cells", "Cells that this host owns")
        .Set(static_cast<double>(cellOwnership.engines().size()));
    metrics.gauge("lavendercart_ready", "Whether the host takes calls").Set(ready() ? 1 : 0);
}

void EntryProcess::Parts::flushLog()
{
    Common::flushLog();
    loop.schedule(logInterval, [this] { flushLog(); });
}

void EntryProcess::Parts::stop(Common::Duration grace)
{
    if (std::exchange(stopping, true))
        return;
    LC_INFO(Core, "event=stopping calls=" << api.underWay() << " cells=" << cellOwnership.engines().size());
    callServer.closeAfterAnswers();
    cellOwnership.drain([this] { handedOver = true; });
    const Common::MonotonicTime now = loop.now();
    const Common::Duration latest = std::max(grace - stopMargin, stopPoll);
    finish(now + std::min(balancerNotice, latest), now + latest);
}

void EntryProcess::Parts::finish(Common::MonotonicTime notBefore, Common::MonotonicTime deadline)
{
    const Common::MonotonicTime now = loop.now();
    if (now < deadline && (now < notBefore || !handedOver || api.underWay() > 0)) {
        loop.schedule(stopPoll, [this, notBefore, deadline] { finish(notBefore, deadline); });
        return;
    }
    LC_INFO(Core, "event=stopped calls=" << api.underWay() << " handed-over=" << handedOver);
    loop.stop();
}

EntryProcess::EntryProcess(Config::EntrySettings settings, std::string settingsPath)
    : m_settings(std::move(settings))
    , m_parts(std::make_unique<Parts>(m_settings))
{
    m_parts->loop.onSignals({ SIGHUP }, [this, path = std::move(settingsPath)](int) {
        std::ifstream file(path);
        const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        const auto changed = Config::EntrySettings::parse(text);
        if (!changed) {
            LC_ERROR(Core, "event=reload-refused reason=" << Config::describe(changed.faults()));
            return;
        }
        // Addresses are those that the process listens on; a change of them takes effect with the next start.
        m_settings = *changed;
        m_parts->host.seeds = hostSettings(m_settings).seeds;
        LC_INFO(Core, "event=reloaded seeds=" << m_settings.seeds.size());
    });
}

EntryProcess::~EntryProcess() = default;

Common::Result<Common::Done> EntryProcess::start()
{
    Parts& parts = *m_parts;
    const auto listen = [](Http::Server& server, const std::string& address) -> Common::Result<Common::Done> {
        const auto port = server.listen(address);
        if (!port)
            return port.reason();
        return Common::Done {};
    };
    for (const auto& outcome :
        { listen(parts.callServer, m_settings.callsAddress), listen(parts.readinessServer, m_settings.readinessAddress),
            listen(parts.peerServer, m_settings.peersAddress), parts.heartbeats.listen(parts.host.heartbeatAddress) }) {
        if (!outcome)
            return outcome.reason();
    }
    if (!m_settings.metricsAddress.empty()) {
        // Nothing depends on the second address; without it metrics are still served to peers.
        if (const auto outcome = listen(parts.metricsServer, m_settings.metricsAddress); !outcome)
            LC_WARN(Core, "event=no-metrics-address reason=" << outcome.reason().detail);
    }
    parts.loop.onSignals({ SIGTERM, SIGINT }, [this](int) { m_parts->stop(m_settings.stopGrace); });
    parts.store.start(parts.cellOwnership.hosts());
    parts.cellOwnership.onHostHeartbeat(
        [&parts](const Cells::HostHeartbeat& heartbeat) { parts.config.onHeartbeat(heartbeat); });
    parts.config.onChange(
        [&parts](const Cells::ServingConfig& config) { parts.cellOwnership.setConfigVersion(config.version); });
    parts.front.start();
    parts.config.start();
    parts.cellOwnership.setStoreAvailable(true);
    parts.cellOwnership.start();
    parts.updateMetrics();
    parts.flushLog();
    LC_INFO(Core,
        "event=started host=" << parts.host.id.value() << " domain=" << m_settings.domain.value()
                              << " weight=" << parts.host.weight);
    return Common::Done {};
}

void EntryProcess::run() { m_parts->loop.run(); }

} // namespace Entry
