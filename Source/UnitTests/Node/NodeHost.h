// One run of a daemon process: a complete node over fakes, which forwards requests to other nodes.
#pragma once

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Daemon/Node.h"
#include "Daemon/OutcomeCodec.h"
#include "Dispatch/ForwardPort.h"
#include "Dispatch/IncomingRequest.h"
#include "Fakes/FakePeer.h"
#include "Fakes/FakeStore.h"
#include "Node/CheckedWorkerPort.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace NodeTests {

/// Keep the hosts of killed daemons until the end of the test: events of theirs may still be pending.
class NodeHost final : public Dispatch::ForwardPort {
public:
    /// The peer, node or worker that isResponsive at an address now.
    struct Directories {
        Fakes::FakePeer::Directory peers;
        std::map<std::string, NodeHost*> nodes;
        CheckedWorkerPort::Directory workers;
    };

    NodeHost(Fakes::VirtualRuntime& runtime, Fakes::FakeNetwork& network, Fakes::FakeStore& store,
        Directories& directories, const Daemon::NodeSettings& settings, uint64_t seed)
        : m_network(network)
        , m_directories(directories)
        , m_address(settings.self.address)
        , m_process(runtime, seed)
        , m_timeline(settings.self.id.value(), timelineCapacity, [&runtime] { return runtime.wallMilliseconds(); })
        , m_peer(network, m_process, directories.peers, m_address)
        , m_workers(network, m_process, directories.workers, m_address)
        , m_node({ m_process, m_timeline, m_metrics, store.client(m_address, m_process), m_workers, m_peer, *this },
              settings)
    {
        directories.nodes[m_address] = this;
        m_node.start();
    }

    const std::string& address() const { return m_address; }
    Fakes::FakeProcess& process() { return m_process; }
    Daemon::Node& node() { return m_node; }
    bool isResponsive() const { return !m_process.isKilled() && !m_process.isPaused(); }

    void forward(const std::string& address, const Dispatch::IncomingRequest& request, Common::Duration timeout,
        Dispatch::OutcomeCallback done) override
    {
        using Outcome = Dispatch::RequestOutcome;
        const auto serve = [this, address, request](const Common::Callback<Outcome>& answer) {
            NodeHost* const host = find(address);
            if (!host) {
                answer(Common::Failure { Common::ErrorCode::ConnectFailed, address, std::nullopt });
                return;
            }
            host->m_process.post([host, request, answer] {
                host->m_node.requests().submit(request, [answer](const Outcome& outcome) { answer(outcome); });
            });
        };
        Fakes::callOver<Outcome>(
            m_network, m_process, m_address, address, timeout, serve,
            [done](const Common::Result<Outcome>& result) {
                done(result ? *result : Daemon::outcomeOfFailedCall(result.reason()));
            },
            Fakes::Delivery::AtMostOnce);
    }
    void cancel(const std::string& address, const std::string& requestId) override
    {
        m_network.send(m_address, address, [this, address, requestId] {
            NodeHost* const host = find(address);
            if (host)
                host->m_process.post(
                    [host, requestId] { host->m_node.requests().cancel(Common::RequestId(requestId)); });
        });
    }

private:
    static constexpr size_t timelineCapacity = 1000;

    NodeHost* find(const std::string& address) const
    {
        const auto found = m_directories.nodes.find(address);
        const bool isRunning = found != m_directories.nodes.end() && !found->second->m_process.isKilled();
        return isRunning ? found->second : nullptr;
    }

    Fakes::FakeNetwork& m_network;
    Directories& m_directories;
    std::string m_address;
    Fakes::FakeProcess m_process;
    Common::Timeline m_timeline;
    Common::Metrics m_metrics;
    Fakes::FakePeer m_peer;
    CheckedWorkerPort m_workers;
    Daemon::Node m_node;
};

} // namespace NodeTests
