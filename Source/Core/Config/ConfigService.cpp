// Holds the revision in force, which the watcher of the store, the fetcher from peers and operators' changes update.
#include "Config/ConfigService.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Config/ClusterConfigParser.h"
#include "Config/ConfigChange.h"
#include "Config/ConfigFetcher.h"
#include "Config/ConfigHistory.h"
#include "Config/ConfigStore.h"
#include "Config/ConfigWatcher.h"
#include "Config/JsonDocument.h"
#include "Scheduler/ClusterConfig.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/StorePort.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace Config {

using Common::ConfigRevision;
using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using Scheduler::PeerInfo;

namespace {

    /// Where a document came from; part of metrics and timeline events.
    enum class Source {
        Store,
        Peer,
        Operator,
    };

    std::string sourceName(Source source)
    {
        switch (source) {
        case Source::Store:
            return "store";
        case Source::Peer:
            return "peer";
        case Source::Operator:
            return "operator";
        }
        return "store";
    }

    bool containsAddress(const std::vector<PeerInfo>& peers, const std::string& address)
    {
        return std::any_of(peers.begin(), peers.end(), [&](const PeerInfo& peer) { return peer.address == address; });
    }

    std::string outcomeName(const ApplyOutcome& outcome)
    {
        if (std::holds_alternative<ChangeAccepted>(outcome))
            return "accepted";
        if (std::holds_alternative<ChangeConflict>(outcome))
            return "conflict";
        if (std::holds_alternative<ChangeRejected>(outcome))
            return "rejected";
        return std::string(Common::errorName(std::get<Failure>(outcome).code));
    }

} // namespace

struct ConfigService::Impl final : std::enable_shared_from_this<Impl> {
    struct LastSeen {
        PeerInfo peer;
        Common::MonotonicTime at;
    };

    Impl(const Scheduler::ServiceContext& serviceContext, Scheduler::StorePort& storePort,
        Scheduler::PeerPort& peerPort, Scheduler::MembershipView& view, ConfigServiceOptions serviceOptions,
        RevisionHook revisionHook)
        : context(serviceContext)
        , peers(peerPort)
        , membership(view)
        , options(serviceOptions)
        , onRevision(std::move(revisionHook))
        , store(std::make_shared<ConfigStore>(context.runtime, storePort, options.storeTimeout))
        , revisionGauge(context.metrics.gauge("lavendercart_config_revision", "Revision in force"))
    {
    }

    void prepare()
    {
        const std::weak_ptr<Impl> weak = weak_from_this();
        watcher = std::make_shared<ConfigWatcher>(context.runtime, store, options, documentHandler(Source::Store));
        fetcher = std::make_shared<ConfigFetcher>(context.runtime, peers, options, documentHandler(Source::Peer));
        peers.serve("config.get", [weak](const nlohmann::json& params, const Scheduler::PeerPort::Reply& reply) {
            if (const auto self = weak.lock())
                self->answerPeer(params, reply);
            else
                reply(Failure { .code = ErrorCode::Draining, .detail = "the configuration service is stopping" });
        });
    }

    std::function<void(const ConfigDocument&)> documentHandler(Source source)
    {
        return [weak = weak_from_this(), source](const ConfigDocument& document) {
            if (const auto self = weak.lock())
                self->learn(document, source);
        };
    }

    void answerPeer(const nlohmann::json& params, const Scheduler::PeerPort::Reply& reply) const
    {
        const auto above = params.is_object() ? params.value("above", nlohmann::json()) : nlohmann::json();
        if (!above.is_number_unsigned()) {
            reply(Failure { .code = ErrorCode::MalformedRequest, .detail = "\"above\" is missing" });
            return;
        }
        if (document.revision.value <= above.get<uint64_t>()) {
            reply(Failure {
                .code = ErrorCode::NoConfiguration, .detail = "this daemon has no higher revision in force" });
            return;
        }
        reply(toJson(document));
    }

    void tick()
    {
        if (!running)
            return;
        context.runtime.schedule(options.pollInterval, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->tick();
        });
        const std::vector<PeerInfo> live = membership.livePeers();
        recordLivePeers(live);
        const bool isWatcher = isDomainWatcher(live);
        // A daemon without a revision reads the store itself, since its peers may have none either.
        watcher->setActive(isWatcher || document.revision.value == 0);
        fetcher->fetchIfNewer(membership.self(), live, std::max(document.revision, highestRefused), isWatcher);
    }

    bool isDomainWatcher(const std::vector<PeerInfo>& live) const
    {
        const PeerInfo& self = membership.self();
        return std::none_of(live.begin(), live.end(),
            [&](const PeerInfo& peer) { return peer.domain == self.domain && peer.id < self.id; });
    }

    void recordLivePeers(const std::vector<PeerInfo>& live)
    {
        const Common::MonotonicTime now = context.runtime.now();
        for (const PeerInfo& peer : live)
            lastSeen[peer.address] = LastSeen { peer, now };
        std::erase_if(lastSeen, [&](const auto& entry) { return now - entry.second.at > options.statusRetention; });
    }

    void learn(const ConfigDocument& learned, Source source)
    {
        if (learned.revision <= document.revision)
            return;
        Checked<Scheduler::ClusterConfig> parsed = parseClusterConfig(learned.text);
        if (!parsed) {
            refuse(learned, source, parsed.faults());
            return;
        }
        parsed->revision = learned.revision;
        config = std::make_shared<const Scheduler::ClusterConfig>(std::move(*parsed));
        document = learned;
        announce(source);
    }

    /// Rejects a document that fails the check here: it was written for another release, or is damaged.
    void refuse(const ConfigDocument& learned, Source source, const std::vector<SettingFault>& faults)
    {
        if (learned.revision <= highestRefused)
            return;
        highestRefused = learned.revision;
        context.metrics
            .counter("lavendercart_config_refused_total", "Learned documents that failed the check",
                { { "source", sourceName(source) } })
            .Increment();
        LC_WARN(Config,
            "refused revision " + std::to_string(learned.revision.value) + " from " + sourceName(source) + ": "
                + describe(faults));
    }

    void announce(Source source)
    {
        const uint64_t revision = document.revision.value;
        revisionGauge.Set(static_cast<double>(revision));
        context.metrics
            .counter("lavendercart_config_learned_total", "Revisions that came into force, by where they came from",
                { { "source", sourceName(source) } })
            .Increment();
        context.timeline.record(Common::Event { .kind = Common::EventKind::ConfigLearned,
            .configRevision = revision,
            .note = "from " + sourceName(source) + ", change " + document.change.value() });
        context.timeline.record(Common::Event { .kind = Common::EventKind::ConfigInForce, .configRevision = revision });
        LC_INFO(Config, "revision " + std::to_string(revision) + " is in force, from " + sourceName(source));
        if (onRevision)
            onRevision(document.revision);
        // A listener may add another listener.
        const std::vector<std::function<void()>> current = listeners;
        for (const std::function<void()>& listener : current)
            listener();
    }

    void apply(ConfigDocument change, ApplyCallback callback)
    {
        const ApplyCallback counted = [weak = weak_from_this(), callback = std::move(callback)](ApplyOutcome outcome) {
            if (const auto self = weak.lock())
                self->countOutcome(outcome);
            callback(std::move(outcome));
        };
        if (change.change.empty() || !isUtf8(change.author)) {
            counted(Failure {
                .code = ErrorCode::MalformedRequest, .detail = "the change id is empty or the author is not UTF-8" });
            return;
        }
        const Checked<Scheduler::ClusterConfig> parsed = parseClusterConfig(change.text);
        if (!parsed) {
            counted(ChangeRejected { parsed.faults() });
            return;
        }
        std::make_shared<ConfigChange>(
            context.runtime, store, options, std::move(change), documentHandler(Source::Operator), counted)
            ->start();
    }

    void countOutcome(const ApplyOutcome& outcome) const
    {
        context.metrics
            .counter("lavendercart_config_changes_total", "Operators' changes by outcome",
                { { "outcome", outcomeName(outcome) } })
            .Increment();
    }

    ConfigStatus status() const
    {
        ConfigStatus status { .latest = std::max(document.revision, highestRefused) };
        const std::vector<PeerInfo> live = membership.livePeers();
        for (const PeerInfo& peer : live)
            status.rows.push_back(ConfigStatus::Row { .daemon = peer });
        for (const auto& [address, entry] : lastSeen) {
            if (!containsAddress(live, address))
                status.rows.push_back(ConfigStatus::Row { .daemon = entry.peer, .live = false });
        }
        for (ConfigStatus::Row& row : status.rows) {
            if (row.daemon.id == membership.self().id)
                row.daemon.configRevision = document.revision;
            status.latest = std::max(status.latest, row.daemon.configRevision);
        }
        for (ConfigStatus::Row& row : status.rows)
            row.current = row.daemon.configRevision == status.latest && status.latest.value > 0;
        return status;
    }

    Scheduler::ServiceContext context;
    Scheduler::PeerPort& peers;
    Scheduler::MembershipView& membership;
    ConfigServiceOptions options;
    RevisionHook onRevision;
    std::shared_ptr<ConfigStore> store;
    std::shared_ptr<ConfigWatcher> watcher;
    std::shared_ptr<ConfigFetcher> fetcher;
    prometheus::Gauge& revisionGauge;
    bool running = false;
    /// The document in force; revision zero: none. Invariant: `config` is its parsed form.
    ConfigDocument document;
    std::shared_ptr<const Scheduler::ClusterConfig> config;
    /// The highest revision that failed the check here; it is not fetched again.
    ConfigRevision highestRefused;
    std::vector<std::function<void()>> listeners;
    /// Recently live daemons by address, so that a restarted daemon replaces its earlier entry.
    std::map<std::string, LastSeen> lastSeen;
};

ConfigService::ConfigService(const Scheduler::ServiceContext& context, Scheduler::StorePort& store,
    Scheduler::PeerPort& peers, Scheduler::MembershipView& membership, ConfigServiceOptions options,
    RevisionHook onRevision)
    : m_impl(std::make_shared<Impl>(context, store, peers, membership, options, std::move(onRevision)))
{
    m_impl->prepare();
}

ConfigService::~ConfigService() { stop(); }

void ConfigService::start()
{
    if (m_impl->running)
        return;
    m_impl->running = true;
    m_impl->tick();
}

void ConfigService::stop()
{
    m_impl->running = false;
    m_impl->watcher->setActive(false);
}

std::shared_ptr<const Scheduler::ClusterConfig> ConfigService::current() const { return m_impl->config; }

void ConfigService::onChange(std::function<void()> listener) { m_impl->listeners.push_back(std::move(listener)); }

std::optional<ConfigDocument> ConfigService::document() const
{
    if (m_impl->document.revision.value == 0)
        return std::nullopt;
    return m_impl->document;
}

void ConfigService::apply(
    ConfigRevision base, Common::ChangeId change, std::string author, std::string text, ApplyCallback callback)
{
    ConfigDocument document {
        .revision = ConfigRevision { base.value + 1 },
        .change = std::move(change),
        .author = std::move(author),
        .acceptedAtMilliseconds = m_impl->context.runtime.wallMilliseconds(),
        .text = std::move(text),
    };
    m_impl->apply(std::move(document), std::move(callback));
}

void ConfigService::history(size_t limit, Common::Callback<std::vector<ConfigDocument>> callback)
{
    std::make_shared<ConfigHistory>(m_impl->store, limit, std::move(callback))->start();
}

ConfigStatus ConfigService::status() const { return m_impl->status(); }

} // namespace Config
