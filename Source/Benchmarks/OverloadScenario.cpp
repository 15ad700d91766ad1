// Scenario: a load of twice the capacity from callers that give up early and retry immediately, with decisions under a
// virtual clock. Baseline: a FIFO queue without deadlines, cancellation or joining of repeated requests.
#include "Policy/AdmissionQueue.h"

#include "Fakes/VirtualRuntime.h"
#include "Verdict.h"

#include <deque>
#include <functional>
#include <unordered_map>

using namespace Policy;
using namespace std::chrono_literals;
using Common::Duration;
using Common::MonotonicTime;
using Common::RequestId;
using Fakes::VirtualRuntime;
using Scheduler::Priority;

namespace {

constexpr int slots = 100;
constexpr double meanServiceSeconds = 0.1;
constexpr double capacityPerSecond = slots / meanServiceSeconds;
constexpr double loadFactor = 2;
constexpr Duration arrivalPeriod = 15s;
constexpr Duration warmUp = 4s;
constexpr Duration deadline = 2s;
constexpr Duration oneWay = 1ms;
/// One caller in two ignores the advised retry time and retries as soon as it has a new connection.
constexpr int ignoringRetryAfterShare = 2;
constexpr Duration reconnect = 20ms;
constexpr int urgentShare = 50; // One request in fifty is urgent.

const Common::ProfileName profile("preview");
const Common::TeamName team("counter");

struct Figures {
    double goodput = 0;
    double workPerAnswer = 0;
    double urgentWaitP99 = 0;
    double answerP99 = 0;
};

/// The request of one caller, over all its attempts.
struct CallerRequest {
    RequestId id;
    MonotonicTime since;
    bool urgent = false;
    Duration service {};
    bool obeysRetryAfter = false;
    /// Number of the attempt that is waiting for an answer; zero when there is none.
    int attempt = 0;
    int attempts = 0;
    bool answered = false;
};

class Simulation {
public:
    Simulation(uint64_t seed, bool baseline, uint32_t standingWaitPercent)
        : m_runtime(seed)
        , m_baseline(baseline)
        , m_queue(AdmissionQueue::Settings { .standingWaitPercent = standingWaitPercent })
    {
        Scheduler::ClusterConfig config;
        config.profiles[profile] = Scheduler::Profile { .name = profile, .deadline = deadline };
        m_queue.setConfig(std::make_shared<Scheduler::ClusterConfig>(config));
    }

    Figures run()
    {
        arrive();
        m_runtime.advance(arrivalPeriod + deadline);
        const double measured = std::chrono::duration<double>(arrivalPeriod - warmUp).count();
        Figures figures;
        figures.goodput = m_good / (capacityPerSecond * measured);
        figures.workPerAnswer = m_good > 0 ? m_sent / m_good : m_sent;
        figures.urgentWaitP99 = Benchmarks::quantile(m_urgentWaits, 0.99);
        figures.answerP99 = Benchmarks::quantile(m_answerTimes, 0.99);
        return figures;
    }

private:
    bool isMeasuring() const
    {
        const Duration age = m_runtime.now() - MonotonicTime {};
        return age >= warmUp && age < arrivalPeriod;
    }
    double drawUniform() { return std::uniform_real_distribution<double>(0, 1)(m_runtime.random()); }
    Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    void arrive()
    {
        if (m_runtime.now() - MonotonicTime {} >= arrivalPeriod)
            return;
        auto callerRequest = std::make_shared<CallerRequest>();
        callerRequest->id = RequestId("r" + std::to_string(++m_lastId));
        callerRequest->since = m_runtime.now();
        callerRequest->urgent = m_lastId % urgentShare == 0;
        callerRequest->service = seconds(
            std::lognormal_distribution<double>(std::log(meanServiceSeconds) - 0.125, 0.5)(m_runtime.random()));
        callerRequest->obeysRetryAfter = m_lastId % ignoringRetryAfterShare == 0;
        attempt(callerRequest);
        m_runtime.schedule(
            seconds(-std::log(1 - drawUniform()) / (capacityPerSecond * loadFactor)), [this] { arrive(); });
    }
    void attempt(const std::shared_ptr<CallerRequest>& callerRequest)
    {
        if (callerRequest->answered || m_runtime.now() >= callerRequest->since + deadline)
            return;
        const int number = ++callerRequest->attempts;
        callerRequest->attempt = number;
        m_runtime.schedule(oneWay, [=, this] { receive(callerRequest, number); });
        m_runtime.schedule(seconds(0.3 + 0.4 * drawUniform()), [=, this] {
            if (callerRequest->answered || callerRequest->attempt != number)
                return;
            callerRequest->attempt = 0;
            m_runtime.schedule(oneWay, [=, this] { giveUp(callerRequest); });
            attempt(callerRequest);
        });
    }
    void receive(const std::shared_ptr<CallerRequest>& callerRequest, int number)
    {
        if (m_baseline) {
            m_fifo.emplace_back(callerRequest, number);
            return dispatch();
        }
        // A repeated request joins the one that is queued or running.
        if (m_running.contains(callerRequest->id) || m_waiting.contains(callerRequest->id))
            return;
        const QueuedRequest request { callerRequest->id, profile, team,
            callerRequest->urgent ? Priority::Urgent : Priority::Normal, m_runtime.now(),
            callerRequest->since + deadline };
        const AdmissionQueue::Offer offer = m_queue.offer(request, m_runtime.now());
        if (std::holds_alternative<AdmissionQueue::Admitted>(offer)) {
            m_waiting[callerRequest->id] = callerRequest;
            return dispatch();
        }
        callerRequest->attempt = 0;
        const Duration advised = std::get<AdmissionQueue::Refused>(offer).failure.retryAfter.value_or(0ms);
        m_runtime.schedule(
            oneWay + (callerRequest->obeysRetryAfter ? advised : reconnect), [=, this] { attempt(callerRequest); });
    }
    void giveUp(const std::shared_ptr<CallerRequest>& callerRequest)
    {
        if (!m_baseline && m_queue.cancel(callerRequest->id, m_runtime.now()))
            m_waiting.erase(callerRequest->id);
    }
    void dispatch()
    {
        while (m_busy < slots) {
            if (m_baseline) {
                if (m_fifo.empty())
                    return;
                const auto [callerRequest, number] = m_fifo.front();
                m_fifo.pop_front();
                execute(callerRequest, number);
                continue;
            }
            for (const RequestId& id : m_queue.dropExpired(m_runtime.now()))
                m_waiting.erase(id);
            const std::optional<QueuedRequest> next = m_queue.takeNext(m_runtime.now());
            if (!next)
                return;
            const std::shared_ptr<CallerRequest> callerRequest = m_waiting.at(next->id);
            m_waiting.erase(next->id);
            m_running.insert({ next->id, callerRequest });
            execute(callerRequest, 0);
        }
    }
    void execute(const std::shared_ptr<CallerRequest>& callerRequest, int number)
    {
        ++m_busy;
        if (isMeasuring())
            m_sent += 1;
        if (callerRequest->urgent)
            m_urgentWaits.push_back(std::chrono::duration<double>(m_runtime.now() - callerRequest->since).count());
        m_runtime.schedule(callerRequest->service, [=, this] {
            --m_busy;
            if (!m_baseline) {
                m_running.erase(callerRequest->id);
                m_queue.onCompleted(profile, team, callerRequest->service, true, m_runtime.now());
            }
            m_runtime.schedule(oneWay, [=, this] { answer(callerRequest, number); });
            dispatch();
        });
    }
    /// In the baseline an answer reaches only the attempt that caused it.
    void answer(const std::shared_ptr<CallerRequest>& callerRequest, int number)
    {
        const bool connected = m_baseline ? callerRequest->attempt == number : callerRequest->attempt != 0;
        if (callerRequest->answered || !connected)
            return;
        callerRequest->answered = true;
        const Duration took = m_runtime.now() - callerRequest->since;
        if (!isMeasuring() || took > deadline)
            return;
        m_good += 1;
        m_answerTimes.push_back(std::chrono::duration<double>(took).count());
    }

    VirtualRuntime m_runtime;
    bool m_baseline;
    AdmissionQueue m_queue;
    std::deque<std::pair<std::shared_ptr<CallerRequest>, int>> m_fifo;
    std::unordered_map<RequestId, std::shared_ptr<CallerRequest>> m_waiting;
    std::unordered_map<RequestId, std::shared_ptr<CallerRequest>> m_running;
    int m_busy = 0;
    uint64_t m_lastId = 0;
    double m_good = 0;
    double m_sent = 0;
    std::vector<double> m_urgentWaits;
    std::vector<double> m_answerTimes;
};

} // namespace

int main()
{
    Benchmarks::Verdict verdict("overload: decisions under a virtual clock, 100 slots, 2 x capacity, 15 s");
    std::vector<double> goodput;
    std::vector<double> baseline;
    std::vector<double> work;
    std::vector<double> baselineWork;
    std::vector<double> urgent;
    std::vector<double> p99;
    std::vector<double> unbounded;
    const uint32_t defaultPercent = AdmissionQueue::Settings {}.standingWaitPercent;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const Figures ours = Simulation(seed, false, defaultPercent).run();
        const Figures fifo = Simulation(seed, true, defaultPercent).run();
        unbounded.push_back(Simulation(seed, false, 100).run().goodput);
        goodput.push_back(ours.goodput);
        baseline.push_back(fifo.goodput);
        work.push_back(ours.workPerAnswer);
        baselineWork.push_back(fifo.workPerAnswer);
        urgent.push_back(ours.urgentWaitP99);
        p99.push_back(ours.answerP99);
    }
    Benchmarks::Verdict::note("baseline: answers within the deadline / capacity", baseline);
    Benchmarks::Verdict::note("baseline: work sent per answer", baselineWork);
    Benchmarks::Verdict::note("without the bound on a standing wait: answers / capacity", unbounded);
    Benchmarks::Verdict::note("p99 of answers since first requested, s", p99);
    verdict.atLeast("answers within the deadline / capacity", goodput, 0.90);
    verdict.atMost("work sent to workers per answer within the deadline", work, 1.1);
    verdict.atMost("urgent: p99 from first requested to start, s", urgent, 2.5);
    return verdict.exitCode();
}
