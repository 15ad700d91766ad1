// Scenario: a flood of requests that are cancelled right away, beside normal ones. Measures decisions under a virtual
// clock, and the processor time of a cancellation. Baseline: a FIFO queue that runs cancelled requests too.
#include "Policy/AdmissionQueue.h"

#include "Fakes/VirtualRuntime.h"
#include "Verdict.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>

using namespace Policy;
using namespace std::chrono_literals;
using Benchmarks::ratios;
using Benchmarks::Verdict;
using Common::Duration;
using Common::MonotonicTime;
using Common::RequestId;
using Scheduler::Priority;

namespace {

constexpr int slots = 100;
constexpr double serviceSeconds = 0.1;
constexpr double load = 0.8;
/// Flood requests per normal request, and the mean time until they are cancelled.
constexpr int floodFactor = 10;
constexpr double cancelledAfterSeconds = 0.02;
constexpr Duration length = 10s;

const Common::ProfileName profile("preview");
const Common::TeamName team("counter");

std::shared_ptr<const Scheduler::ClusterConfig> config()
{
    Scheduler::ClusterConfig config;
    config.profiles[profile] = Scheduler::Profile { .name = profile, .maximumQueued = 100000 };
    return std::make_shared<Scheduler::ClusterConfig>(config);
}

struct Figures {
    double p99 = 0;
    double answered = 0;
};

class Simulation {
public:
    Simulation(uint64_t seed, bool flood, bool baseline)
        : m_runtime(seed)
        , m_flood(flood)
        , m_baseline(baseline)
    {
        m_queue.setConfig(config());
    }

    Figures run()
    {
        arrive();
        m_runtime.advance(length + 2s);
        return { Benchmarks::quantile(m_answerSeconds, 0.99),
            static_cast<double>(m_answerSeconds.size()) / m_normalRequests };
    }

private:
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_runtime.random()); }
    static Duration seconds(double value) { return Duration(static_cast<Duration::rep>(value * 1e6)); }

    void arrive()
    {
        if (m_runtime.now().time_since_epoch() >= length)
            return;
        m_normalRequests += 1;
        submit(false);
        for (int i = 0; m_flood && i < floodFactor; ++i)
            submit(true);
        m_runtime.schedule(seconds(exponential(serviceSeconds / (slots * load))), [this] { arrive(); });
    }
    void submit(bool flood)
    {
        const RequestId id((flood ? "f" : "r") + std::to_string(++m_lastId));
        const MonotonicTime now = m_runtime.now();
        const QueuedRequest request { id, profile, team, Priority::Normal, now, now + 2s };
        if (m_baseline) {
            m_fifo.push_back(request);
        } else {
            m_queue.offer(request, now);
            if (flood)
                m_runtime.schedule(seconds(exponential(cancelledAfterSeconds)), [=, this] { cancelRequest(id); });
        }
        dispatch();
    }
    void cancelRequest(const RequestId& id) { m_queue.cancel(id, m_runtime.now()); }
    std::optional<QueuedRequest> next()
    {
        if (!m_baseline) {
            m_queue.dropExpired(m_runtime.now());
            return m_queue.takeNext(m_runtime.now());
        }
        if (m_fifo.empty())
            return std::nullopt;
        const QueuedRequest first = m_fifo.front();
        m_fifo.pop_front();
        return first;
    }
    void dispatch()
    {
        while (m_busy < slots) {
            const std::optional<QueuedRequest> request = next();
            if (!request)
                return;
            ++m_busy;
            const Duration service = seconds(exponential(serviceSeconds));
            m_runtime.schedule(service, [=, this] { onServiceEnd(*request, service); });
        }
    }
    void onServiceEnd(const QueuedRequest& request, Duration service)
    {
        --m_busy;
        if (!m_baseline)
            m_queue.onCompleted(profile, team, service, true, m_runtime.now());
        const Duration took = m_runtime.now() - request.arrival;
        if (request.id.value()[0] == 'r' && took <= 2s)
            m_answerSeconds.push_back(std::chrono::duration<double>(took).count());
        dispatch();
    }

    Fakes::VirtualRuntime m_runtime;
    bool m_flood;
    bool m_baseline;
    AdmissionQueue m_queue { AdmissionQueue::Settings {} };
    std::deque<QueuedRequest> m_fifo;
    int m_busy = 0;
    uint64_t m_lastId = 0;
    double m_normalRequests = 0;
    std::vector<double> m_answerSeconds;
};

/// Mean nanoseconds per cancellation for `count` queued requests, cancelled in random order.
double cancelNanoseconds(size_t count, uint64_t seed)
{
    AdmissionQueue queue({ .maximumQueued = count });
    queue.setConfig(config());
    const MonotonicTime now { 1h };
    std::vector<RequestId> ids;
    for (size_t i = 0; i < count; ++i) {
        ids.emplace_back("request-" + std::to_string(i));
        queue.offer(QueuedRequest { ids.back(), profile, team, Priority::Normal, now, now + 2s }, now);
    }
    std::mt19937_64 random(seed);
    std::shuffle(ids.begin(), ids.end(), random);
    const auto start = std::chrono::steady_clock::now();
    for (const RequestId& id : ids)
        queue.cancel(id, now);
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return took.count() / static_cast<double>(count);
}

} // namespace

int main()
{
    Verdict verdict("cancel-flood: decisions under a virtual clock, load 0.8 and ten times that given up after 20 ms");
    std::vector<double> answered, answeredBaseline, p99, p99Quiet, cancelFewQueued, cancelManyQueued;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const Figures ours = Simulation(seed, true, false).run();
        answered.push_back(ours.answered);
        p99.push_back(ours.p99);
        p99Quiet.push_back(Simulation(seed, false, false).run().p99);
        answeredBaseline.push_back(Simulation(seed, true, true).run().answered);
        cancelFewQueued.push_back(cancelNanoseconds(1000, seed));
        cancelManyQueued.push_back(cancelNanoseconds(100000, seed));
    }
    Verdict::note("baseline: normal requests answered in time / wanted", answeredBaseline);
    Verdict::note("p99 of normal requests, s", p99);
    Verdict::note("p99 of normal requests without the flood, s", p99Quiet);
    Verdict::note("a cancellation with 1,000 waiting, ns", cancelFewQueued);
    verdict.atMost("a cancellation with 100,000 waiting, ns", cancelManyQueued, 5000);
    verdict.atMost("cancellation, 100,000 against 1,000 waiting", ratios(cancelManyQueued, cancelFewQueued), 10);
    verdict.atLeast("normal requests answered in time / wanted", answered, 0.95);
    verdict.atMost("p99 of normal requests / without the flood", ratios(p99, p99Quiet), 1.5);
    return verdict.exitCode();
}
