// Scenario: a remote region is silent, then slow, then recovers, while the home region spills requests into it, with
// decisions under a virtual clock. Baselines: the most free slots in the last load summary, and a cost of smoothed
// latency and decaying failures after J. Newell and I. Gupta, "The P2P MultiRouter: a Black Box Approach to Run-time
// Adaptivity for P2P DHTs".
#include "Policy/LinkBudget.h"
#include "Policy/Router.h"

#include "Fakes/VirtualRuntime.h"
#include "Verdict.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>

using namespace Policy;
using namespace std::chrono_literals;
using Benchmarks::ratios;
using Benchmarks::Verdict;
using Common::DaemonId;
using Common::Duration;
using Common::MonotonicTime;

namespace {

constexpr int slotsPerDaemon = 40;
constexpr int homeDaemons = 4;
constexpr int farDaemons = 4;
constexpr double serviceSeconds = 0.1;
/// Loads relative to the capacity of the home region: one that fits if it is spread evenly, and one that does not.
constexpr double fittingLoad = 0.9;
constexpr double spillingLoad = 1.15;
/// Share of the requests that the first half of the home region's daemons receives.
constexpr double unevenShare = 0.7;
constexpr Duration deadline = 1s;
constexpr Duration domainOneWay = 1ms;
constexpr Duration regionOneWay = 30ms;
constexpr Duration summaryInterval = 1s;
constexpr Duration silentFrom = 10s;
constexpr Duration slowFrom = 20s;
constexpr Duration recoveredFrom = 30s;
constexpr Duration length = 45s;
constexpr Duration slowBy = 3s;
/// Work of one daemon for a fifth of a second.
constexpr size_t maximumWaiting = 80;
constexpr int64_t requestBytes = 4000;
/// As in the paper's prototype, failures decay by a quarter per second. One failure costs as much as a second of
/// latency.
constexpr double failureKept = 0.75;
constexpr double failureSeconds = 1;
constexpr double latencyShare = 0.2;

enum class Rule {
    Router,
    MostFreeSlots,
    AgedCost,
};

struct Request {
    MonotonicTime since;
    size_t entry = 0;
    double work = 0;
    std::vector<DaemonId> tried;
    bool done = false;
};

struct Daemon {
    Scheduler::PeerInfo info;
    int busy = 0;
    std::unique_ptr<Policy::Router> router;
    /// The state of the other daemons from their last load summaries.
    std::vector<Scheduler::PeerInfo> peers;
    std::deque<std::shared_ptr<Request>> waiting;
    std::map<DaemonId, double> latency;
    std::map<DaemonId, double> failures;
};

class Simulation {
public:
    Simulation(uint64_t seed, Rule rule, double load)
        : m_runtime(seed)
        , m_rule(rule)
        , m_load(load)
    {
        for (int i = 0; i < homeDaemons + farDaemons; ++i) {
            const bool home = i < homeDaemons;
            Daemon daemon;
            daemon.info.id = DaemonId("d" + std::to_string(i));
            daemon.info.domain = Common::DomainId(home ? (i < homeDaemons / 2 ? "levis" : "charlevoix") : "magog");
            daemon.info.region = Common::RegionId(home ? "quebec-est" : "quebec-sud");
            daemon.info.totalSlots = slotsPerDaemon;
            daemon.router = std::make_unique<Policy::Router>(Policy::Router::Settings {}, m_link);
            m_daemons.push_back(std::move(daemon));
        }
    }

    /// Returns answers within the deadline / requests: first while the remote region is silent or slow, then after it.
    std::pair<double, double> run()
    {
        exchangeLoadSummaries();
        arrive();
        m_runtime.advance(length + deadline);
        return { m_good[1] / m_wanted[1], m_good[2] / m_wanted[2] };
    }

private:
    Duration age() const { return m_runtime.now().time_since_epoch(); }
    bool silent() const { return age() >= silentFrom && age() < slowFrom; }
    bool slow() const { return age() >= slowFrom && age() < recoveredFrom; }
    static int phase(MonotonicTime time)
    {
        if (time.time_since_epoch() < silentFrom)
            return 0;
        return time.time_since_epoch() < recoveredFrom ? 1 : 2;
    }
    bool isFar(size_t daemon) const { return daemon >= homeDaemons; }

    void exchangeLoadSummaries()
    {
        for (Daemon& daemon : m_daemons) {
            daemon.peers.resize(m_daemons.size());
            for (size_t from = 0; from < m_daemons.size(); ++from) {
                // Load summaries of a silent or slow region still arrive: only the path of requests is affected.
                daemon.peers[from] = m_daemons[from].info;
                daemon.peers[from].freeSlots = slotsPerDaemon - m_daemons[from].busy;
                daemon.router->onLoadSummary(daemon.peers[from].id, m_runtime.now());
            }
            for (auto& [id, failures] : daemon.failures)
                failures *= failureKept;
        }
        m_runtime.schedule(summaryInterval, [this] { exchangeLoadSummaries(); });
    }
    void arrive()
    {
        if (age() >= length)
            return;
        auto request = std::make_shared<Request>();
        request->since = m_runtime.now();
        const bool first = std::uniform_real_distribution<double>(0, 1)(m_runtime.random()) < unevenShare;
        request->entry = m_runtime.random()() % (homeDaemons / 2) + (first ? 0 : homeDaemons / 2);
        request->work = std::lognormal_distribution<double>(std::log(serviceSeconds) - 0.045, 0.3)(m_runtime.random());
        m_wanted[phase(request->since)] += 1;
        route(request);
        const double rate = homeDaemons * slotsPerDaemon / serviceSeconds * m_load;
        m_runtime.schedule(
            seconds(std::exponential_distribution<double>(rate)(m_runtime.random())), [this] { arrive(); });
    }
    static Duration seconds(double value) { return Duration(static_cast<Duration::rep>(value * 1e6)); }

    std::vector<DaemonId> order(const Request& request)
    {
        Daemon& entry = m_daemons[request.entry];
        Scheduler::PeerInfo self = entry.info;
        self.freeSlots = slotsPerDaemon - entry.busy;
        std::vector<DaemonId> ids;
        if (m_rule == Rule::Router) {
            const RouteQuery query { self, entry.peers, Scheduler::SpillScope::Everywhere, requestBytes,
                request.since + deadline - m_runtime.now() };
            for (const auto& candidate : entry.router->choose(query, m_runtime.now(), m_runtime.random()))
                ids.push_back(candidate.daemon);
            return ids;
        }
        if (self.freeSlots > 0)
            return { self.id };
        std::vector<Scheduler::PeerInfo> peers = entry.peers;
        std::shuffle(peers.begin(), peers.end(), m_runtime.random());
        std::erase_if(peers, [&](const auto& peer) { return peer.id == self.id || peer.freeSlots <= 0; });
        std::stable_sort(peers.begin(), peers.end(), [&](const auto& a, const auto& b) {
            if (m_rule == Rule::MostFreeSlots)
                return a.freeSlots > b.freeSlots;
            return entry.latency[a.id] + failureSeconds * entry.failures[a.id]
                < entry.latency[b.id] + failureSeconds * entry.failures[b.id];
        });
        for (const auto& peer : peers)
            ids.push_back(peer.id);
        return ids;
    }
    void route(const std::shared_ptr<Request>& request)
    {
        if (m_runtime.now() >= request->since + deadline)
            return;
        for (const DaemonId& id : order(*request)) {
            if (std::find(request->tried.begin(), request->tried.end(), id) != request->tried.end())
                continue;
            request->tried.push_back(id);
            return send(request, static_cast<size_t>(std::stoi(id.value().substr(1))));
        }
        // Without free slots anywhere the request waits for a slot here, or is refused as admission would do.
        std::deque<std::shared_ptr<Request>>& waiting = m_daemons[request->entry].waiting;
        if (waiting.size() < maximumWaiting)
            waiting.push_back(request);
    }
    void send(const std::shared_ptr<Request>& request, size_t to)
    {
        if (to == request->entry)
            return execute(request, to, [=, this](bool ran) { ran ? finish(request) : route(request); });
        Daemon& entry = m_daemons[request->entry];
        const DaemonId id = m_daemons[to].info.id;
        if (isFar(to) && !m_link.take(requestBytes, m_runtime.now()))
            return route(request);
        const MonotonicTime sent = m_runtime.now();
        entry.router->onSent(id, sent);
        auto answered = std::make_shared<bool>(false);
        // A call gets half of the remaining time, so that another peer can be tried after it.
        const Duration timeout = (request->since + deadline - sent) / 2;
        m_runtime.schedule(timeout, [=, this] {
            if (*answered)
                return;
            *answered = true;
            m_daemons[request->entry].router->onNoAnswer(id, m_runtime.now());
            m_daemons[request->entry].failures[id] += 1;
            route(request);
        });
        if (isFar(to) && silent())
            return;
        const Duration oneWay = (isFar(to) ? regionOneWay : domainOneWay) + (isFar(to) && slow() ? slowBy / 2 : 0s);
        m_runtime.schedule(oneWay, [=, this] {
            execute(request, to, [=, this](bool ran) {
                m_runtime.schedule(oneWay, [=, this] {
                    if (*answered)
                        return;
                    *answered = true;
                    answer(request, id, m_runtime.now() - sent, ran);
                });
            });
        });
    }
    void answer(const std::shared_ptr<Request>& request, const DaemonId& id, Duration took, bool ran)
    {
        Daemon& entry = m_daemons[request->entry];
        entry.router->onAnswered(id, took, !ran, m_runtime.now());
        if (!ran)
            return route(request);
        double& latency = entry.latency[id];
        latency += latencyShare * (std::chrono::duration<double>(took).count() - latency);
        finish(request);
    }
    void execute(const std::shared_ptr<Request>& request, size_t at, const std::function<void(bool)>& reply)
    {
        if (m_daemons[at].busy >= slotsPerDaemon)
            return reply(false);
        ++m_daemons[at].busy;
        m_runtime.schedule(seconds(request->work), [=, this] {
            --m_daemons[at].busy;
            startWaiting(at);
            reply(true);
        });
    }
    void startWaiting(size_t at)
    {
        std::deque<std::shared_ptr<Request>>& waiting = m_daemons[at].waiting;
        while (!waiting.empty() && m_daemons[at].busy < slotsPerDaemon) {
            const std::shared_ptr<Request> first = waiting.front();
            waiting.pop_front();
            if (m_runtime.now() < first->since + deadline)
                execute(first, at, [=, this](bool) { finish(first); });
        }
    }
    void finish(const std::shared_ptr<Request>& request)
    {
        if (request->done)
            return;
        request->done = true;
        if (m_runtime.now() <= request->since + deadline)
            m_good[phase(request->since)] += 1;
    }

    Fakes::VirtualRuntime m_runtime;
    Rule m_rule;
    double m_load;
    /// Bytes per second: half of a 30 Mbit/s link.
    LinkBudget m_link { 15e6 / 8, 5e5 };
    std::vector<Daemon> m_daemons;
    double m_good[3] = {};
    double m_wanted[3] = {};
};

} // namespace

int main()
{
    Verdict verdict("slow-region: decisions under a virtual clock, other region 10 s silent, 10 s slow, 15 s back");
    std::vector<double> away, awayRoom, awayAged, back, backRoom, backAged;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        away.push_back(Simulation(seed, Rule::Router, fittingLoad).run().first);
        awayRoom.push_back(Simulation(seed, Rule::MostFreeSlots, fittingLoad).run().first);
        awayAged.push_back(Simulation(seed, Rule::AgedCost, fittingLoad).run().first);
        back.push_back(Simulation(seed, Rule::Router, spillingLoad).run().second);
        backRoom.push_back(Simulation(seed, Rule::MostFreeSlots, spillingLoad).run().second);
        backAged.push_back(Simulation(seed, Rule::AgedCost, spillingLoad).run().second);
    }
    Verdict::note("load 0.9, region away: most room, answers in time / wanted", awayRoom);
    Verdict::note("load 0.9, region away: aged cost, answers in time / wanted", awayAged);
    Verdict::note("load 1.15, region back: most room, answers in time / wanted", backRoom);
    Verdict::note("load 1.15, region back: aged cost, answers in time / wanted", backAged);
    Verdict::note("load 0.9, region away: aged cost / most room", ratios(awayAged, awayRoom));
    verdict.atLeast("load 0.9, region away: answers in time / wanted", away, 0.99);
    verdict.atLeast("load 0.9, region away: against most room", ratios(away, awayRoom), 1);
    verdict.atLeast("load 1.15, region back: answers in time / wanted", back, 0.95);
    verdict.atLeast("load 1.15, region back: against most room", ratios(back, backRoom), 0.98);
    return verdict.exitCode();
}
