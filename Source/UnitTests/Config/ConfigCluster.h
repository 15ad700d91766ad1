// Simulates daemons with a configuration service each, on one virtual clock, with a store and peers that fail on
// request.
#pragma once

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Config/ConfigService.h"
#include "Fakes/VirtualRuntime.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/StorePort.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ConfigFakes {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;

/// A store's state and faults, shared by all daemons' ports.
struct Store {
    bool down = false;
    /// Percent of writes that take effect and lose their answer, that time out and take effect afterwards, and that
    /// time out without an effect.
    uint32_t lostAnswers = 0;
    uint32_t lateWrites = 0;
    uint32_t lostWrites = 0;
    /// Number of coming watches that never answer.
    uint32_t silentWatches = 0;
    /// Number of coming watches that answer without changes although there was one.
    uint32_t emptyWatches = 0;
    std::map<std::string, Scheduler::StoreValue> values;
    uint64_t revision = 0;
    uint64_t calls = 0;
    /// Every document that config/current has held, oldest first.
    std::vector<Config::ConfigDocument> accepted;

    Result<Common::StoreRevision> swap(const std::string& key, Common::StoreRevision expected, const std::string& value)
    {
        const auto found = values.find(key);
        const Common::StoreRevision held = found == values.end() ? Common::StoreRevision {} : found->second.revision;
        if (held != expected)
            return Failure { .code = ErrorCode::RevisionConflict };
        const Common::StoreRevision next { ++revision };
        values[key] = Scheduler::StoreValue { key, value, next };
        if (key == "config/current")
            accepted.push_back(*Config::documentFromText(value));
        return next;
    }
};

class Cluster {
public:
    static constexpr Common::Duration callTimeout = std::chrono::milliseconds(1500);
    static constexpr Common::Duration heartbeat = std::chrono::milliseconds(500);
    static constexpr Common::Duration peerTimeout = std::chrono::milliseconds(2500);

    class Node;

    explicit Cluster(uint64_t seed)
        : runtime(seed)
    {
    }

    size_t add(const std::string& host, const std::string& domain, const std::string& region)
    {
        m_hosts.push_back(Host { host, domain, region, {} });
        boot(m_hosts.size() - 1);
        return m_hosts.size() - 1;
    }
    void boot(size_t host);
    void kill(size_t host);
    Config::ConfigService& service(size_t host);
    bool isRunning(size_t host) const { return m_hosts[host].node != nullptr; }
    size_t size() const { return m_hosts.size(); }

    uint64_t revisionOf(size_t host)
    {
        const auto document = service(host).document();
        return document ? document->revision.value : 0;
    }
    bool allHave(uint64_t revision)
    {
        for (size_t host = 0; host < size(); ++host) {
            if (isRunning(host) && revisionOf(host) != revision)
                return false;
        }
        return true;
    }

    /// Whether every daemon, stopped ones included, only ever moved to higher revisions.
    bool revisionsOnlyGrew() const;
    bool isLinked(const std::string& from, const std::string& to) const
    {
        return from == to || (cutDomains.count(from) == 0 && cutDomains.count(to) == 0);
    }
    Common::Duration latency() { return std::chrono::milliseconds(1 + runtime.random()() % 5); }
    bool chance(uint32_t percent) { return runtime.random()() % 100 < percent; }
    Node* find(const std::string& address);

    Fakes::VirtualRuntime runtime;
    Store store;
    std::set<std::string> cutDomains;
    /// If set, replaces the answers to "config.get".
    std::optional<Config::ConfigDocument> forgedAnswer;

private:
    friend class Node;
    struct Host {
        std::string name;
        std::string domain;
        std::string region;
        Node* node;
    };

    std::vector<Host> m_hosts;
    /// Stopped nodes are kept, since callbacks of their calls may still arrive.
    std::deque<std::unique_ptr<Node>> m_nodes;
    uint64_t m_boots = 0;
};

/// One run of a daemon: its service, and the ports that the service uses.
class Cluster::Node final : public Scheduler::StorePort, public Scheduler::PeerPort, public Scheduler::MembershipView {
public:
    Node(Cluster& cluster, Scheduler::PeerInfo self)
        : m_cluster(cluster)
        , m_self(std::move(self))
        , m_timeline(m_self.id.value(), 1000, [&cluster] { return cluster.runtime.wallMilliseconds(); })
        , m_service(std::make_unique<Config::ConfigService>(
              Scheduler::ServiceContext { cluster.runtime, m_timeline, m_metrics }, *this, *this, *this,
              Config::ConfigServiceOptions {}, [this](Common::ConfigRevision revision) { publish(revision); }))
    {
        m_service->start();
    }

    Config::ConfigService& service() { return *m_service; }
    const Scheduler::PeerInfo& info() const { return m_self; }
    bool isAlive() const { return m_service != nullptr; }
    void kill() { m_service.reset(); }
    bool revisionsOnlyGrew() const { return m_revisionsOnlyGrew; }

    // Membership
    const Scheduler::PeerInfo& self() const override { return m_self; }
    std::vector<Scheduler::PeerInfo> livePeers() const override
    {
        std::vector<Scheduler::PeerInfo> live;
        for (const Host& host : m_cluster.m_hosts) {
            if (host.node && m_cluster.isLinked(m_self.domain.value(), host.domain))
                live.push_back(host.node->m_self);
        }
        std::sort(live.begin(), live.end(), [](const auto& left, const auto& right) { return left.id < right.id; });
        return live;
    }
    std::optional<Scheduler::PeerInfo> find(const Common::DaemonId&) const override { return std::nullopt; }
    void onChange(std::function<void()>) override { }

    // Peers
    void call(const std::string& address, const std::string& method, const nlohmann::json& params,
        Common::Duration timeout, Reply reply) override
    {
        Node* const peer = m_cluster.find(address);
        if (!peer || !m_cluster.isLinked(m_self.domain.value(), peer->m_self.domain.value())) {
            m_cluster.runtime.schedule(timeout, [reply] { reply(Failure { .code = ErrorCode::Timeout }); });
            return;
        }
        const Reply later = [this, reply](const Result<nlohmann::json>& result) {
            m_cluster.runtime.schedule(m_cluster.latency(), [reply, result] { reply(result); });
        };
        if (m_cluster.forgedAnswer)
            later(Config::toJson(*m_cluster.forgedAnswer));
        else
            peer->m_handlers.at(method)(params, later);
    }
    void serve(const std::string& method, Handler handler) override { m_handlers[method] = std::move(handler); }

    // Store
    void get(const std::string& key, Common::Callback<std::optional<Scheduler::StoreValue>> callback) override
    {
        using Value = std::optional<Scheduler::StoreValue>;
        if (failIfUnreachable<Value>(callback))
            return;
        m_cluster.runtime.schedule(m_cluster.latency(), [this, key, callback] {
            const auto found = values().find(key);
            const Value value = found == values().end() ? Value() : Value(found->second);
            m_cluster.runtime.schedule(m_cluster.latency(), [callback, value] { callback(value); });
        });
    }
    void list(const std::string&, Common::Callback<std::vector<Scheduler::StoreValue>>) override { }
    void compareAndSwap(const std::string& key, Common::StoreRevision expected, std::string value,
        const Common::LeaseId&, Common::Callback<Common::StoreRevision> callback) override
    {
        Store& store = m_cluster.store;
        if (failIfUnreachable<Common::StoreRevision>(callback))
            return;
        const auto timeout = [callback] { callback(Failure { .code = ErrorCode::Timeout }); };
        if (m_cluster.chance(store.lostWrites)) {
            m_cluster.runtime.schedule(callTimeout, timeout);
            return;
        }
        if (m_cluster.chance(store.lateWrites)) {
            m_cluster.runtime.schedule(callTimeout, timeout);
            m_cluster.runtime.schedule(callTimeout + 3 * m_cluster.latency() * 100,
                [&store, key, expected, value] { store.swap(key, expected, value); });
            return;
        }
        const bool lost = m_cluster.chance(store.lostAnswers);
        m_cluster.runtime.schedule(m_cluster.latency(), [this, &store, key, expected, value, callback, lost] {
            Result<Common::StoreRevision> result = store.swap(key, expected, value);
            if (lost)
                result = Failure { .code = ErrorCode::ConnectionLost };
            m_cluster.runtime.schedule(m_cluster.latency(), [callback, result] { callback(result); });
        });
    }
    void remove(
        const std::string& key, Common::StoreRevision expected, Common::Callback<Common::Done> callback) override
    {
        const auto found = values().find(key);
        if (found != values().end() && found->second.revision == expected)
            values().erase(found);
        callback(Common::Done {});
    }
    void watch(const std::string& prefix, Common::StoreRevision since, Common::Duration wait,
        Common::Callback<Scheduler::StoreChanges> callback) override
    {
        if (failIfUnreachable<Scheduler::StoreChanges>(callback))
            return;
        Store& store = m_cluster.store;
        if (store.silentWatches > 0) {
            --store.silentWatches;
            return;
        }
        const bool answersEmpty = store.emptyWatches > 0;
        if (answersEmpty)
            --store.emptyWatches;
        poll(prefix, since, m_cluster.runtime.now() + wait, answersEmpty, callback);
    }
    void grantLease(Common::Duration, Common::Callback<Common::LeaseId>) override { }
    void renewLease(const Common::LeaseId&, Common::Callback<Common::Done>) override { }
    void listHosts(const Common::DomainId&, Common::Callback<std::vector<Scheduler::HostEntry>>) override { }

private:
    std::map<std::string, Scheduler::StoreValue>& values() { return m_cluster.store.values; }

    void publish(Common::ConfigRevision revision)
    {
        m_revisionsOnlyGrew = m_revisionsOnlyGrew && revision > m_inForce;
        m_inForce = revision;
        m_cluster.runtime.schedule(heartbeat, [this, revision] { m_self.configRevision = revision; });
    }

    template <typename T> bool failIfUnreachable(const Common::Callback<T>& callback)
    {
        ++m_cluster.store.calls;
        if (!m_cluster.store.down && m_cluster.cutDomains.count(m_self.domain.value()) == 0)
            return false;
        const bool silent = m_cluster.chance(50);
        m_cluster.runtime.schedule(silent ? callTimeout : m_cluster.latency(), [callback, silent] {
            callback(Failure { .code = silent ? ErrorCode::Timeout : ErrorCode::ConnectFailed });
        });
        return true;
    }

    void poll(const std::string& prefix, Common::StoreRevision since, Common::MonotonicTime end, bool answersEmpty,
        const Common::Callback<Scheduler::StoreChanges>& callback)
    {
        // A watch that was open when the domain was cut off never answers.
        if (m_cluster.store.down || m_cluster.cutDomains.count(m_self.domain.value()) > 0)
            return;
        Scheduler::StoreChanges changes { .upTo = Common::StoreRevision { m_cluster.store.revision } };
        for (const auto& [key, value] : values()) {
            if (!answersEmpty && key.compare(0, prefix.size(), prefix) == 0 && value.revision > since)
                changes.written.push_back(value);
        }
        if (!changes.written.empty() || m_cluster.runtime.now() >= end) {
            m_cluster.runtime.schedule(m_cluster.latency(), [callback, changes] { callback(changes); });
            return;
        }
        m_cluster.runtime.schedule(std::chrono::milliseconds(50),
            [this, prefix, since, end, answersEmpty, callback] { poll(prefix, since, end, answersEmpty, callback); });
    }

    Cluster& m_cluster;
    Scheduler::PeerInfo m_self;
    std::map<std::string, Handler> m_handlers;
    Common::Metrics m_metrics;
    Common::Timeline m_timeline;
    Common::ConfigRevision m_inForce;
    bool m_revisionsOnlyGrew = true;
    std::unique_ptr<Config::ConfigService> m_service;
};

inline void Cluster::boot(size_t host)
{
    Host& entry = m_hosts[host];
    Scheduler::PeerInfo info { .id = Common::DaemonId(entry.name + "@" + std::to_string(++m_boots)),
        .domain = Common::DomainId(entry.domain),
        .region = Common::RegionId(entry.region),
        .address = entry.name };
    m_nodes.push_back(std::make_unique<Node>(*this, std::move(info)));
    entry.node = m_nodes.back().get();
}

inline void Cluster::kill(size_t host)
{
    m_hosts[host].node->kill();
    m_hosts[host].node = nullptr;
}

inline bool Cluster::revisionsOnlyGrew() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto& node) { return node->revisionsOnlyGrew(); });
}

inline Config::ConfigService& Cluster::service(size_t host) { return m_hosts[host].node->service(); }

inline Cluster::Node* Cluster::find(const std::string& address)
{
    for (const Host& host : m_hosts) {
        if (host.node && host.name == address)
            return host.node;
    }
    return nullptr;
}

} // namespace ConfigFakes
