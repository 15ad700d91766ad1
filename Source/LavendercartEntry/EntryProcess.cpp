// Construction, reload and stop of an entry host's process.
#include "LavendercartEntry/EntryProcess.h"

#include "Cells/CellOwnership.h"
#include "Cells/ConfigFollower.h"
#include "Cells/JobGateway.h"
#include "Cells/RelayedStore.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/WorkTimes.h"
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

#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <random>
#include <utility>
#include <vector>

namespace Entry {

namespace {

    constexpr size_t bootDigits = 8;
    constexpr int64_t milliPerCore = 1000;
    /// For callers' bodies; four times the platform's limit on a submission.
    constexpr size_t maximumBodyBytes = size_t { 1 } << 20;
    constexpr size_t maximumPeerBodyBytes = size_t { 4 } << 20;
    constexpr long connectionsPerWorker = 3;
    constexpr long pollsPerWorker = 2;
    constexpr long connectionsPerPeer = 8;
    constexpr long connectionsToStore = 8;
    /// Round trips to other hosts and to the store take 60 ms at most.
    constexpr Common::Duration connectTimeout = std::chrono::milliseconds(400);
    /// Part of the stop's grace period that is left when the last calls get their final answers.
    constexpr Common::Duration stopMargin = std::chrono::milliseconds(900);
    /// Part that is left when the process ends at the latest, before it is killed.
    constexpr Common::Duration latestEndMargin = std::chrono::milliseconds(300);
    /// Time in which an answer is written to its connection.
    constexpr Common::Duration sendTime = std::chrono::milliseconds(100);
    /// The load balancer stops sending connections after two failed readiness checks, a second apart. Until then the
    /// process serves them.
    constexpr Common::Duration balancerDelay = std::chrono::milliseconds(3000);
    constexpr Common::Duration stopPoll = std::chrono::milliseconds(50);
    constexpr Common::Duration metricsInterval = std::chrono::seconds(1);
    /// Timers that fire later than this are logged: calls to workers and hosts time out after some hundred
    /// milliseconds, also if their answers have arrived meanwhile.
    constexpr Common::Duration reportedLag = std::chrono::milliseconds(150);
    /// Time between log lines about where the loop's time goes.
    constexpr Common::Duration workLogInterval = std::chrono::seconds(5);
    /// Longest time that a log line stays buffered.
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

    /// Heartbeats go to the same host as peers' calls, but to a port of their own.
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
        host.workersPerCell = static_cast<uint32_t>(settings.workersPerCell);
        host.weight = static_cast<int64_t>(settings.processorShare * settings.processorSpeed * milliPerCore);
        return host;
    }

    Cells::CellSettings cellSettings(const Config::EntrySettings& settings)
    {
        Cells::CellSettings cells;
        cells.longestLease = settings.longestRunLease;
        cells.spreadSlowdown = settings.spreadSlowdown;
        cells.statusRetention = settings.statusRetention;
        return cells;
    }

} // namespace

struct EntryProcess::Components {
    explicit Components(const Config::EntrySettings& settings)
        : host(hostSettings(settings))
        , cells(cellSettings(settings))
        , workerClient(loop, clientLimits(connectionsPerWorker))
        , pollClient(loop, clientLimits(pollsPerWorker))
        , peerClient(loop, clientLimits(connectionsPerPeer))
        , storeClient(loop, clientLimits(connectionsToStore))
        , directStore(storeClient, { .address = settings.storeAddress })
        , registry(directStore)
        , operatorConfig(directStore)
        , orders(workerClient, pollClient, {})
        , peers(peerClient)
        , store(loop, directStore, peers)
        , heartbeats(loop)
        , cellOwnership({ loop, store, registry, orders, heartbeats }, host, cells)
        , config(loop, operatorConfig, peers)
        , jobGateway(loop, store, peers, cellOwnership, host)
        , api(loop, jobGateway, config, metrics)
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
        , loopLag(metrics.latencyHistogram("lavendercart_loop_lag_seconds", "Longest delay of a timer in each second"))
    {
        for (size_t kind = 0; kind < Common::WorkTimes::kinds; ++kind) {
            const std::string name(Common::workKindName(static_cast<Common::WorkKind>(kind)));
            workSeconds.push_back(&metrics.counter(
                "lavendercart_work_seconds_total", "Time of the event loop by kind of work", { { "work", name } }));
        }
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
        const Common::WorkTimes::Scope work(Common::WorkKind::PeerCalls);
        peers.handle(request.body, [respond](std::string body) { respond(Http::jsonResponse(200, std::move(body))); });
    }

    void updateMetrics();
    void updateWorkMetrics();
    void updateGossipMetrics();
    void flushLog();
    /// When a stopping process may end, on the loop's clock, in ascending order.
    struct EndTimes {
        /// From then on it ends as soon as nothing is left to do.
        Common::MonotonicTime earliest;
        /// From then on it ends as soon as its answers are sent.
        Common::MonotonicTime answersEnd;
        /// It ends then in any case.
        Common::MonotonicTime latest;
    };
    void stop(Common::Duration grace);
    bool mayEnd(const EndTimes&) const;
    void finish(const EndTimes&);

    Http::EventLoop loop;
    Common::Metrics metrics;
    Cells::HostSettings host;
    Cells::CellSettings cells;
    Http::Client workerClient;
    Http::Client pollClient;
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
    Cells::JobGateway jobGateway;
    JobApi api;
    Http::Server callServer;
    Http::Server readinessServer;
    Http::Server peerServer;
    Http::Server metricsServer;
    bool stopping = false;
    bool handedOver = false;
    bool reportedReady = false;
    prometheus::Histogram& loopLag;
    /// By kind of work.
    std::vector<prometheus::Counter*> workSeconds;
    /// Totals of WorkTimes at the last update of the metrics and at the last log line.
    std::array<Common::Duration, Common::WorkTimes::kinds> countedWork {};
    std::array<Common::Duration, Common::WorkTimes::kinds> loggedWork {};
    Common::MonotonicTime workLoggedAt;
    /// Counters of the exchange with other hosts at the last update of the metrics.
    Cells::GossipCounters countedGossip;
    size_t loggedLiveHosts = 0;
};

void EntryProcess::Components::updateMetrics()
{
    loop.schedule(metricsInterval, [this] { updateMetrics(); });
    cellOwnership.setStoreAvailable(store.isDirectStoreAvailable());
    if (ready() != reportedReady) {
        reportedReady = ready();
        LC_INFO(Core,
            "event=" << (reportedReady ? "ready" : "not-ready") << " config=" << (config.current() != nullptr)
                     << " cells=" << cellOwnership.servedCells());
    }
    metrics.gauge("lavendercart_owned_cells", "Cells that this host owns")
        .Set(static_cast<double>(cellOwnership.engines().size()));
    metrics.gauge("lavendercart_ready", "Whether the host takes calls").Set(ready() ? 1 : 0);
    metrics.gauge("lavendercart_pending_cancellations", "Cancellations that the owners of cells haven't confirmed yet")
        .Set(static_cast<double>(jobGateway.pendingCancellations()));
    metrics
        .gauge("lavendercart_pending_part_messages",
            "Messages on transferred tasks that owners of other cells haven't handled")
        .Set(static_cast<double>(cellOwnership.pendingPartMessages()));
    metrics.gauge("lavendercart_unreadable_entries", "Entries of the list of workers that can't be read")
        .Set(static_cast<double>(registry.unreadableEntries()));
    updateWorkMetrics();
    updateGossipMetrics();
}

void EntryProcess::Components::updateGossipMetrics()
{
    const Cells::GossipCounters& now = cellOwnership.gossipCounters();
    const auto add = [this](const char* name, const char* help, uint64_t current, uint64_t& counted) {
        metrics.counter(name, help).Increment(static_cast<double>(current - std::exchange(counted, current)));
    };
    add("lavendercart_gossip_messages_sent_total", "Datagrams sent to other hosts", now.messagesSent,
        countedGossip.messagesSent);
    add("lavendercart_gossip_bytes_sent_total", "Bytes of these datagrams", now.bytesSent, countedGossip.bytesSent);
    add("lavendercart_gossip_messages_received_total", "Datagrams received from other hosts", now.messagesReceived,
        countedGossip.messagesReceived);
    add("lavendercart_gossip_bytes_received_total", "Bytes of these datagrams", now.bytesReceived,
        countedGossip.bytesReceived);
    add("lavendercart_gossip_states_decoded_total", "States of hosts that were news", now.statesDecoded,
        countedGossip.statesDecoded);
    add("lavendercart_gossip_unreadable_total", "Datagrams and frames that can't be read", now.unreadable,
        countedGossip.unreadable);
    add("lavendercart_silences_reported_total", "Hosts that this host reported as silent", now.silencesReported,
        countedGossip.silencesReported);
    add("lavendercart_silences_refuted_total", "Reports of this host's silence that it refuted", now.silencesRefuted,
        countedGossip.silencesRefuted);
    const size_t known = cellOwnership.hosts().rows().size();
    const size_t live = cellOwnership.hosts().liveHosts(loop.now()).size();
    metrics.gauge("lavendercart_hosts", "Other hosts by state", { { "state", "live" } }).Set(static_cast<double>(live));
    metrics.gauge("lavendercart_hosts", "Other hosts by state", { { "state", "silent" } })
        .Set(static_cast<double>(known - live));
    if (live == loggedLiveHosts)
        return;
    loggedLiveHosts = live;
    LC_INFO(Peer, "event=hosts-known live=" << live << " silent=" << known - live);
}

void EntryProcess::Components::updateWorkMetrics()
{
    const Common::Duration lag = loop.takeLongestLag();
    loopLag.Observe(std::chrono::duration<double>(lag).count());
    if (lag >= reportedLag)
        LC_WARN(Core, "event=loop-late longest-ms=" << lag / std::chrono::milliseconds(1));
    const Common::WorkTimes& times = Common::WorkTimes::ofThisThread();
    for (size_t index = 0; index < Common::WorkTimes::kinds; ++index) {
        const auto kind = static_cast<Common::WorkKind>(index);
        const Common::Duration total = times.total(kind);
        const Common::Duration added = total - std::exchange(countedWork.at(index), total);
        workSeconds.at(index)->Increment(std::chrono::duration<double>(added).count());
    }
    if (loop.now() - workLoggedAt < workLogInterval)
        return;
    workLoggedAt = loop.now();
    std::string fields;
    for (size_t index = 0; index < Common::WorkTimes::kinds; ++index) {
        const Common::Duration total = countedWork.at(index);
        const Common::Duration added = total - std::exchange(loggedWork.at(index), total);
        fields += " " + std::string(Common::workKindName(static_cast<Common::WorkKind>(index)))
            + "-us=" + std::to_string(added.count());
    }
    LC_INFO(Core, "event=work-times" << fields);
}

void EntryProcess::Components::flushLog()
{
    Common::flushLog();
    loop.schedule(logInterval, [this] { flushLog(); });
}

void EntryProcess::Components::stop(Common::Duration grace)
{
    if (std::exchange(stopping, true))
        return;
    LC_INFO(Core, "event=stopping calls=" << api.underWay() << " cells=" << cellOwnership.engines().size());
    callServer.closeAfterAnswers();
    cellOwnership.drain([this] { handedOver = true; });
    const Common::MonotonicTime now = loop.now();
    const Common::Duration answersEnd = std::max(grace - stopMargin, stopPoll);
    api.answerAllBy(now + answersEnd);
    finish({ now + std::min(balancerDelay, answersEnd), now + answersEnd,
        now + std::max(grace - latestEndMargin, answersEnd) });
}

bool EntryProcess::Components::mayEnd(const EndTimes& times) const
{
    const Common::MonotonicTime now = loop.now();
    const bool hasAnswered = api.underWay() == 0 && now - api.lastAnswerAt() >= sendTime;
    if (now >= times.answersEnd)
        return hasAnswered || now >= times.latest;
    return now >= times.earliest && hasAnswered && handedOver && jobGateway.pendingCancellations() == 0;
}

void EntryProcess::Components::finish(const EndTimes& times)
{
    if (!mayEnd(times)) {
        loop.schedule(stopPoll, [this, times] { finish(times); });
        return;
    }
    LC_INFO(Core,
        "event=stopped calls=" << api.underWay() << " cancellations=" << jobGateway.pendingCancellations()
                               << " handed-over=" << handedOver);
    loop.stop();
}

EntryProcess::EntryProcess(Config::EntrySettings settings, std::string settingsPath)
    : m_settings(std::move(settings))
    , m_components(std::make_unique<Components>(m_settings))
{
    m_components->loop.onSignals({ SIGHUP }, [this, path = std::move(settingsPath)](int) {
        std::ifstream file(path);
        const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        const auto changed = Config::EntrySettings::parse(text);
        if (!changed) {
            LC_ERROR(Core, "event=reload-refused reason=" << Config::describe(changed.faults()));
            return;
        }
        // The process keeps listening on its present addresses; changed ones take effect at the next start.
        m_settings = *changed;
        m_components->host.seeds = hostSettings(m_settings).seeds;
        LC_INFO(Core, "event=reloaded seeds=" << m_settings.seeds.size());
    });
}

EntryProcess::~EntryProcess() = default;

Common::Result<Common::Done> EntryProcess::start()
{
    Components& components = *m_components;
    const auto listen = [](Http::Server& server, const std::string& address) -> Common::Result<Common::Done> {
        const auto port = server.listen(address);
        if (!port)
            return port.reason();
        return Common::Done {};
    };
    for (const auto& outcome : { listen(components.callServer, m_settings.callsAddress),
             listen(components.readinessServer, m_settings.readinessAddress),
             listen(components.peerServer, m_settings.peersAddress),
             components.heartbeats.listen(components.host.heartbeatAddress) }) {
        if (!outcome)
            return outcome.reason();
    }
    if (!m_settings.metricsAddress.empty()) {
        // The metrics address is optional: the peers' address serves metrics too.
        if (const auto outcome = listen(components.metricsServer, m_settings.metricsAddress); !outcome)
            LC_WARN(Core, "event=no-metrics-address reason=" << outcome.reason().detail);
    }
    components.loop.onSignals({ SIGTERM, SIGINT }, [this](int) { m_components->stop(m_settings.stopGrace); });
    components.store.start(components.cellOwnership.hosts());
    components.cellOwnership.onConfigVersion([&components](const std::string& address, int64_t version) {
        components.config.onVersionOf(address, version);
    });
    components.config.onChange([&components](const Cells::ServingConfig& config) {
        components.cellOwnership.setConfigVersion(config.version);
    });
    components.jobGateway.start();
    components.config.start();
    components.cellOwnership.setStoreAvailable(true);
    components.cellOwnership.start();
    components.updateMetrics();
    components.flushLog();
    LC_INFO(Core,
        "event=started host=" << components.host.id.value() << " domain=" << m_settings.domain.value()
                              << " weight=" << components.host.weight);
    return Common::Done {};
}

void EntryProcess::run() { m_components->loop.run(); }

} // namespace Entry
