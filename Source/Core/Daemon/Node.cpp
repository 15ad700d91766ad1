// Construction, start and planned stop of a daemon's services.
#include "Daemon/Node.h"

#include "Common/Event.h"
#include "Common/Timeline.h"
#include "Scheduler/Runtime.h"

namespace Daemon {

namespace {

    /// Burst that the link budget admits, in seconds of its rate.
    constexpr double linkBurstSeconds = 1;
    constexpr Common::Duration drainPoll = std::chrono::milliseconds(50);

} // namespace

Node::Node(const NodePorts& ports, const NodeSettings& settings)
    : m_ports(ports)
    , m_settings(settings)
    , m_context { ports.runtime, ports.timeline, ports.metrics }
    , m_membership(m_context, ports.peers, ports.store, m_settings.self, m_settings.membership)
    , m_config(m_context, ports.store, ports.peers, m_membership, m_settings.config,
          [this](Common::ConfigRevision revision) { m_membership.setConfigRevision(revision); })
    , m_fleet(m_context, ports.workers, ports.store, ports.peers, m_membership, m_settings.fleet)
    , m_health(m_settings.health)
    , m_placement(m_settings.placement, m_interference, m_health)
    , m_queue(m_settings.queue)
    , m_link(m_settings.interRegionBytesPerSecond, m_settings.interRegionBytesPerSecond * linkBurstSeconds)
    , m_router(m_settings.router, m_link)
    , m_shards(m_context, ports.store, m_membership, m_settings.ledger)
    , m_intents(m_context, m_shards, m_settings.ledger)
    , m_pool(m_context, m_fleet, ports.workers, m_placement, m_health)
    , m_tasks(m_context,
          { m_config, m_membership, ports.peers, m_fleet, ports.workers, m_pool, m_shards, m_placement, m_health },
          m_settings.tasks)
    , m_jobs(m_context, m_shards, m_tasks, m_config, m_settings.ledger,
          [this](const Common::WorkerId& worker) { return m_tasks.isDomainReachable(worker); })
    , m_gateway(m_context, m_shards, m_jobs, m_membership, ports.peers, m_settings.ledger)
    , m_requests(m_context,
          { m_config, m_membership, ports.workers, m_pool, ports.forward, m_shards, m_intents, m_queue, m_placement,
              m_health, m_router, m_link },
          m_settings.requests)
    , m_evictor(m_context, m_config, m_fleet, ports.workers, m_tasks, m_placement, m_settings.evictions)
{
}

void Node::start()
{
    m_ports.timeline.record(Common::Event { .kind = Common::EventKind::DaemonStarted });
    m_tasks.onView([this](const Scheduler::WorkerView& view) { m_jobs.onView(view); });
    m_tasks.onEvict([this](const Common::TaskId& task) { return m_jobs.evict(task); });
    // The pool registers first, so that its capacity accounting is current before others act on a worker's report.
    m_pool.start();
    m_tasks.start();
    m_evictor.start();
    m_requests.start();
    m_membership.start();
    m_config.start();
    m_fleet.start();
    m_jobs.start();
    m_gateway.start();
    m_shards.start();
    updateLoad();
}

bool Node::ready() const { return !m_draining && m_config.current() != nullptr; }

Common::MonotonicTime Node::now() const { return m_ports.runtime.now(); }

void Node::updateLoad()
{
    m_membership.updateLoad(m_placement.freeSlots(), m_placement.totalSlots(), static_cast<int64_t>(m_queue.size()));
    std::set<Common::DaemonId> live;
    for (const Scheduler::PeerInfo& peer : m_membership.livePeers()) {
        m_router.onLoadSummary(peer.id, m_ports.runtime.now());
        live.insert(peer.id);
    }
    for (const Common::DaemonId& peer : m_routedPeers) {
        if (!live.contains(peer))
            m_router.forget(peer);
    }
    m_routedPeers = std::move(live);
    m_requests.tick();
    m_ports.runtime.schedule(m_settings.loadInterval, m_lifetime.guard([this] { updateLoad(); }));
}

void Node::drain(std::function<void()> done)
{
    if (m_draining)
        return;
    m_draining = true;
    m_onDrained = std::move(done);
    m_ports.timeline.record(Common::Event { .kind = Common::EventKind::DaemonDraining });
    m_membership.setDraining(true);
    m_requests.setDraining();
    awaitRequests(m_ports.runtime.now() + m_settings.drainTimeout);
}

void Node::awaitRequests(Common::MonotonicTime giveUpAt)
{
    if (m_requests.underWay() == 0 || m_ports.runtime.now() >= giveUpAt) {
        handOver();
        return;
    }
    m_ports.runtime.schedule(drainPoll, m_lifetime.guard([this, giveUpAt] { awaitRequests(giveUpAt); }));
}

void Node::handOver()
{
    // The ledger can't be released while the store is unavailable. The stop then goes on after the timeout; a successor
    // fences the ledger in any case.
    const auto release = std::make_shared<std::function<void()>>([this] { releaseWorkers(); });
    const auto releaseOnce = m_lifetime.guard([release] {
        if (const auto action = std::exchange(*release, nullptr))
            action();
    });
    m_shards.drain(releaseOnce);
    m_ports.runtime.schedule(m_settings.handOverTimeout, releaseOnce);
}

void Node::releaseWorkers()
{
    m_fleet.drain(m_lifetime.guard([this] {
        m_config.stop();
        m_membership.leave(m_lifetime.guard([this] {
            m_ports.timeline.record(Common::Event { .kind = Common::EventKind::DaemonStopped });
            m_onDrained();
        }));
    }));
}

} // namespace Daemon
