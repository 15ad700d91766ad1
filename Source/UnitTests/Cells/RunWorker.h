// A fake worker that enforces fencing tokens, attempt numbers and leases as the platform's workers do.
#pragma once

#include "Cells/Interference.h"
#include "Cells/RunJudge.h"
#include "Cells/WorkerEntry.h"
#include "Cells/WorkerOrders.h"
#include "Fakes/VirtualRuntime.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace CellTests {

/// The payload determines what a task does: "run:MS", "fail:MS", "last" (until it is stopped), "hang", or
/// "crash:MS" (crashes the worker, which starts again).
class RunWorker {
public:
    using Answer = Common::Callback<Cells::OrderAnswer>;
    using ReportAnswer = Common::Callback<Cells::RunReport>;

    RunWorker(Fakes::VirtualRuntime& world, RunJudge& judge, Cells::WorkerEntry entry)
        : m_world(world)
        , m_judge(judge)
        , m_entry(std::move(entry))
        , m_capacity(m_entry.capacity)
    {
        begin();
    }

    const Cells::WorkerEntry& entry() const { return m_entry; }
    bool up() const { return m_up; }
    /// Tail latency in milliseconds that its serving tasks report.
    double tail = 4;
    /// Determines the tail latency instead of `tail`; then paced runs also work and use the processor at their pace.
    /// Set before the first run.
    std::optional<Interference> interference;
    uint64_t polls = 0;
    uint64_t starts = 0;
    /// Runs that ended by a stop order, and the work that they had done.
    uint64_t stoppedRuns = 0;
    double stoppedCoreSeconds = 0;
    /// Time until it starts again after a task has crashed it.
    Common::Duration restartPause = std::chrono::milliseconds(700);
    /// Every run fails.
    bool failsAll = false;
    /// Every start is refused with NoRoom.
    bool refusesStarts = false;
    /// Start orders have no effect and get no answer.
    bool ignoresStarts = false;
    /// The next start order gets no answer and is carried out this much later, by whichever life is up then.
    std::optional<Common::Duration> nextStartDelay;
    /// The same for the next poll that acknowledges ends.
    std::optional<Common::Duration> nextAcknowledgementDelay;
    /// The next start order is carried out, but its answer gets lost.
    bool losesNextStartAnswer = false;
    /// The next copy of an order whose run is there is refused as expired.
    bool nextCopyExpired = false;
    /// The platform lists it while it is up.
    bool listed = true;
    /// The platform lists this instead, whether the worker is up or not.
    std::optional<Cells::WorkerEntry> outdatedEntry;
    /// Rows of runs can't be read in its reports.
    bool unreadableRows = false;
    /// The most ends that a report lists: those with the lowest numbers.
    size_t listsAtMost = std::numeric_limits<size_t>::max();
    /// Ends that aren't acknowledged.
    size_t listedEnds() const { return m_ended.size(); }
    std::vector<std::pair<Jobs::TaskName, uint32_t>> paces;
    enum class CapacitySource {
        List,
        Reports,
    };
    /// Changes the capacity while it runs; only the source shows it.
    void setCapacity(int64_t milliCores, CapacitySource source)
    {
        m_capacity.milliCores = milliCores;
        if (source == CapacitySource::List)
            m_entry.capacity = m_capacity;
        else
            m_reportsCapacity = true;
    }

    /// Its entry says from now on that it is about to leave.
    void drain()
    {
        m_entry.draining = true;
        m_entry.remaining = std::chrono::seconds(60);
    }
    /// Its entry names that rack from now on, as another writer may leave it.
    void setRack(const Common::RackId& rack) { m_entry.rack = rack; }
    /// Its entry no longer says that it is about to leave.
    void stay() { m_entry.draining = false; }
    void crash()
    {
        m_up = false;
        killAll();
    }
    /// Crashes and reboots under the same id after a pause, without its former state.
    void restart(Common::Duration pause = std::chrono::milliseconds(700))
    {
        crash();
        m_world.schedule(pause, [this, boot = m_boot] {
            if (boot == m_boot)
                begin();
        });
    }
    /// Crashes; its next life under the same id is of another kind.
    void restartAs(const std::vector<std::string>& labels, int64_t milliCores,
        Common::Duration pause = std::chrono::milliseconds(250))
    {
        restart(pause);
        m_entry.labels = labels;
        setCapacity(milliCores, CapacitySource::List);
    }
    size_t running() const { return m_runs.size(); }
    /// Ends the task's run by itself, if it has one.
    void endRun(const Jobs::TaskName& task, Cells::RunEnd how)
    {
        if (const auto run = m_runs.find(task); run != m_runs.end())
            end(task, run->second.attempt, how);
    }
    /// Differs from one life to the next.
    uint64_t life() const { return m_boot; }
    Common::WorkerTime leaseUntil() const { return m_leaseUntil; }
    /// Tail latency in milliseconds of its serving tasks; see `interference`.
    double currentTail() const { return interference->tail(smoothedPressure()); }
    /// Whether a backfill run works at a pace above 0.
    bool hasBackfillAtWork() const
    {
        return std::any_of(m_runs.begin(), m_runs.end(),
            [this](const auto& row) { return row.second.pace > 0 && stepOf(row.first).backfill; });
    }
    bool hasLeaseLapsed() const { return clock() >= m_leaseUntil; }

    void start(Cells::FencingToken token, const Cells::RunOrder& order, Common::WorkerTime until, const Answer& answer)
    {
        if (!m_up || ignoresStarts)
            return;
        if (nextStartDelay) {
            const Common::Duration delay = *std::exchange(nextStartDelay, std::nullopt);
            m_world.schedule(delay, [this, token, order, until] {
                start(token, order, until, [](const Common::Result<Cells::OrderAnswer>&) {});
            });
            return;
        }
        if (token < m_token) {
            reply(answer, Cells::OrderVerdict::Fenced);
            return;
        }
        m_token = token;
        if (until <= clock()) {
            reply(answer, Cells::OrderVerdict::OrderExpired);
            return;
        }
        extend(until);
        const auto run = m_runs.find(order.task);
        if (run != m_runs.end() && run->second.attempt == order.attempt && std::exchange(nextCopyExpired, false)) {
            reply(answer, Cells::OrderVerdict::OrderExpired);
            return;
        }
        if (run != m_runs.end() && run->second.attempt == order.attempt) {
            reply(answer, Cells::OrderVerdict::Accepted);
            return;
        }
        if (run != m_runs.end() || order.attempt <= m_highestEnded[order.task]) {
            reply(answer, Cells::OrderVerdict::StaleAttempt);
            return;
        }
        if (refusesStarts) {
            reply(answer, Cells::OrderVerdict::NoRoom);
            return;
        }
        ++starts;
        m_judge.started(m_entry.id.value(), order.task, m_capacity);
        forEachTwiceJudge(
            [&](TwiceJudge& twice) { twice.started(m_entry.id.value(), order.task, order.attempt, m_world.now()); });
        updatePressure();
        m_runs[order.task] = Run { order.attempt, order.payload, m_world.now(), {}, m_world.now() };
        arm(order);
        if (!std::exchange(losesNextStartAnswer, false))
            reply(answer, Cells::OrderVerdict::Accepted);
    }
    void stop(
        Cells::FencingToken token, const Jobs::TaskName& task, Common::AttemptNumber attempt, const Answer& answer)
    {
        if (!m_up)
            return;
        if (token < m_token) {
            reply(answer, Cells::OrderVerdict::Fenced);
            return;
        }
        m_token = token;
        m_highestEnded[task] = std::max(m_highestEnded[task], attempt);
        const auto run = m_runs.find(task);
        if (run != m_runs.end() && run->second.attempt == attempt) {
            m_world.schedule(std::chrono::milliseconds(100), [this, task, attempt, boot = m_boot] {
                if (boot == m_boot)
                    end(task, attempt, Cells::RunEnd::Stopped);
            });
        }
        reply(answer, Cells::OrderVerdict::Accepted);
    }
    void pace(const Jobs::TaskName& task, uint32_t percent, const Answer& answer)
    {
        if (!m_up)
            return;
        paces.emplace_back(task, percent);
        const auto run = m_runs.find(task);
        if (interference && run != m_runs.end()) {
            updatePressure();
            run->second.worked = workedTime(run->second);
            run->second.workedAt = m_world.now();
            run->second.pace = percent;
            scheduleEnd(task);
        }
        reply(answer, Cells::OrderVerdict::Accepted);
    }
    void pollRuns(const Cells::WorkerOrders::PollRequest& request, const ReportAnswer& answer)
    {
        if (!m_up)
            return;
        ++polls;
        if (request.acknowledgedThrough > 0 && nextAcknowledgementDelay) {
            const Common::Duration delay = *std::exchange(nextAcknowledgementDelay, std::nullopt);
            m_world.schedule(
                delay, [this, request] { pollRuns(request, [](const Common::Result<Cells::RunReport>&) {}); });
            return;
        }
        if (request.token < m_token) {
            answer(Common::Failure { Common::ErrorCode::NotOwner, "", {} });
            return;
        }
        m_token = request.token;
        if (request.leaseUntil && *request.leaseUntil > clock())
            extend(*request.leaseUntil);
        std::erase_if(m_ended, [&](const Cells::EndedTask& end) {
            const bool forgotten = end.number <= request.acknowledgedThrough;
            if (forgotten && completes(end.task, end.end))
                m_judge.acknowledged(end.task);
            if (forgotten && completes(end.task, end.end))
                forEachTwiceJudge(
                    [&](TwiceJudge& twice) { twice.acknowledged(m_entry.id.value(), end.task, end.attempt); });
            return forgotten;
        });
        if (request.wait <= Common::Duration::zero() || !m_ended.empty()) {
            answer(report());
            return;
        }
        m_waiting.push_back(answer);
        m_world.schedule(request.wait, [this, boot = m_boot] {
            if (boot == m_boot)
                answerPolls();
        });
    }

private:
    /// The platform's `max_hold_ms`; longer leases are shortened to it.
    static constexpr std::chrono::milliseconds longestLease { 10'000 };
    /// How long a member of a gang waits for the others.
    static constexpr Common::Duration gangTimeout = std::chrono::seconds(3);
    /// Time in which the effect of backfill on the tail latency decays to about a third.
    static constexpr double fadingSeconds = 1;
    static constexpr uint32_t fullPace = 100;

    struct Run {
        Common::AttemptNumber attempt;
        std::string payload;
        Common::MonotonicTime startedAt;
        /// Time at full pace that it had worked for at `workedAt`.
        Common::Duration worked {};
        Common::MonotonicTime workedAt;
        uint32_t pace = fullPace;
        /// Counts the timers of its end; only the last one counts.
        uint64_t endTimers = 0;
    };

    template <typename Tell> void forEachTwiceJudge(const Tell& tell)
    {
        tell(m_judge.twice);
        tell(m_judge.twiceDespiteIdleLapses);
    }
    void begin()
    {
        m_up = true;
        ++m_boot;
        m_startedAt = m_world.now();
        m_entry.startedAtMilliseconds = m_world.wallMilliseconds() + static_cast<int64_t>(m_boot);
        m_token = {};
        m_highestEnded.clear();
        m_ended.clear();
        m_lastEnd = 0;
        m_leaseUntil = {};
    }
    Common::WorkerTime clock() const
    {
        return Common::WorkerTime {
            std::chrono::duration_cast<std::chrono::milliseconds>(m_world.now() - m_startedAt).count()
        };
    }
    void extend(Common::WorkerTime until)
    {
        const Common::WorkerTime shortened = std::min(until, clock() + longestLease);
        m_leaseUntil = std::max(m_leaseUntil, shortened);
        const std::chrono::milliseconds left(shortened.milliseconds - clock().milliseconds);
        m_world.schedule(left, [this, boot = m_boot] {
            if (boot != m_boot || clock() < m_leaseUntil)
                return;
            m_judge.twice.endsExempt(m_entry.id.value());
            if (!m_runs.empty())
                m_judge.twiceDespiteIdleLapses.endsExempt(m_entry.id.value());
            const auto runs = m_runs;
            for (const auto& [task, run] : runs)
                end(task, run.attempt, Cells::RunEnd::LeaseExpired);
        });
    }
    /// Reports to the judge a member that waited too long for the others.
    void awaitGang(const Cells::RunOrder& order)
    {
        m_world.schedule(gangTimeout, [this, task = order.task, attempt = order.attempt, boot = m_boot] {
            const auto run = m_runs.find(task);
            if (boot != m_boot || run == m_runs.end() || run->second.attempt != attempt)
                return;
            m_judge.waitedForGang(task, attempt);
        });
    }
    void arm(const Cells::RunOrder& order)
    {
        if (m_judge.isGang(order.task))
            awaitGang(order);
        const size_t colon = order.payload.find(':');
        if (colon == std::string::npos)
            return;
        if (order.payload.starts_with("crash")) {
            m_world.schedule(std::chrono::milliseconds(std::stoi(order.payload.substr(colon + 1))),
                [this, task = order.task, boot = m_boot] {
                    if (boot != m_boot || !m_runs.contains(task))
                        return;
                    m_judge.crashed(task);
                    restart(restartPause);
                });
            return;
        }
        if (interference) {
            scheduleEnd(order.task);
            return;
        }
        const bool fails = failsAll || order.payload.starts_with("fail");
        const auto span = std::chrono::milliseconds(std::stoi(order.payload.substr(colon + 1)));
        m_world.schedule(span, [this, task = order.task, attempt = order.attempt, fails, boot = m_boot] {
            if (boot == m_boot)
                end(task, attempt, fails ? Cells::RunEnd::Failed : Cells::RunEnd::Done);
        });
    }
    void end(const Jobs::TaskName& task, Common::AttemptNumber attempt, Cells::RunEnd how)
    {
        const auto run = m_runs.find(task);
        if (run == m_runs.end() || run->second.attempt != attempt)
            return;
        updatePressure();
        if (how == Cells::RunEnd::Stopped) {
            constexpr double milliCoresPerCore = 1000;
            const std::chrono::duration<double> ran = m_world.now() - run->second.startedAt;
            ++stoppedRuns;
            stoppedCoreSeconds
                += ran.count() * static_cast<double>(stepOf(task).resources.milliCores) / milliCoresPerCore;
        }
        m_runs.erase(run);
        m_highestEnded[task] = std::max(m_highestEnded[task], attempt);
        m_judge.gone(m_entry.id.value(), task);
        forEachTwiceJudge([&](TwiceJudge& twice) { twice.gone(m_entry.id.value(), task); });
        if (completes(task, how)) {
            m_judge.done(m_entry.id.value(), task);
            forEachTwiceJudge([&](TwiceJudge& twice) { twice.done(m_entry.id.value(), task, attempt); });
        }
        m_ended.push_back({ ++m_lastEnd, task, attempt, how, {} });
        answerPolls();
    }
    void killAll()
    {
        ++m_boot;
        for (const auto& [task, run] : m_runs) {
            m_judge.gone(m_entry.id.value(), task);
            forEachTwiceJudge([&, &name = task](TwiceJudge& twice) { twice.gone(m_entry.id.value(), name); });
        }
        m_runs.clear();
        m_pressure = 0;
        m_waiting.clear();
        m_judge.endsLost(m_entry.id.value());
        forEachTwiceJudge([&](TwiceJudge& twice) { twice.endsExempt(m_entry.id.value()); });
    }
    Cells::RunReport report() const
    {
        Cells::RunReport report;
        report.clock = clock();
        report.startedAtMilliseconds = m_entry.startedAtMilliseconds;
        report.ended = m_ended;
        report.ended.erase(report.ended.begin() + static_cast<std::ptrdiff_t>(std::min(m_ended.size(), listsAtMost)),
            report.ended.end());
        if (m_reportsCapacity)
            report.capacity = m_capacity;
        report.unreadable = unreadableRows ? static_cast<uint32_t>(m_runs.size()) : 0;
        if (unreadableRows)
            return report;
        for (const auto& [task, run] : m_runs) {
            Cells::RunningTask row { task, run.attempt, {}, percentOf(run), -1 };
            if (run.payload == "last")
                row.load = interference ? currentTail() : tail;
            else
                row.load = interference ? usedMilliCores(task, run) : 1000;
            report.running.push_back(row);
        }
        return report;
    }
    uint32_t percentOf(const Run& run) const
    {
        if (run.payload == "last")
            return 100;
        if (run.payload == "hang")
            return 10;
        const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(
            interference ? workedTime(run) : m_world.now() - run.startedAt);
        const auto whole = std::stoi(run.payload.substr(run.payload.find(':') + 1));
        return static_cast<uint32_t>(std::min<int64_t>(99, 100 * ran.count() / std::max(whole, 1)));
    }
    const Jobs::StepSpec& stepOf(const Jobs::TaskName& task) const
    {
        return m_judge.submitted.at(task.job).steps.at(task.step);
    }
    /// Long-running tasks must be started again however they end.
    bool completes(const Jobs::TaskName& task, Cells::RunEnd how) const
    {
        return how == Cells::RunEnd::Done && !stepOf(task).longRunning;
    }
    double usedMilliCores(const Jobs::TaskName& task, const Run& run) const
    {
        return static_cast<double>(stepOf(task).resources.milliCores) * run.pace / fullPace;
    }
    /// Time at full pace that the run has worked for.
    Common::Duration workedTime(const Run& run) const
    {
        return run.worked + (m_world.now() - run.workedAt) * run.pace / fullPace;
    }
    /// What the backfill adds to the utilization of the services at the present paces.
    double targetPressure() const
    {
        double sum = 0;
        for (const auto& [task, run] : m_runs) {
            const Jobs::StepSpec& step = stepOf(task);
            if (step.backfill)
                sum += interference->pressureOf(step.image) * usedMilliCores(task, run)
                    / static_cast<double>(m_capacity.milliCores);
        }
        return sum;
    }
    double smoothedPressure() const
    {
        const double passed = std::chrono::duration<double>(m_world.now() - m_pressureAt).count();
        return m_pressure + (1 - std::exp(-passed / fadingSeconds)) * (targetPressure() - m_pressure);
    }
    /// Called before the runs or their paces change.
    void updatePressure()
    {
        if (!interference)
            return;
        m_pressure = smoothedPressure();
        m_pressureAt = m_world.now();
    }
    /// Ends a paced run after the rest of its work.
    void scheduleEnd(const Jobs::TaskName& task)
    {
        Run& run = m_runs.at(task);
        const size_t colon = run.payload.find(':');
        const uint64_t timer = ++run.endTimers;
        if (run.pace == 0 || colon == std::string::npos)
            return;
        const Common::Duration whole = std::chrono::milliseconds(std::stoi(run.payload.substr(colon + 1)));
        const Common::Duration rest = std::max(whole - workedTime(run), Common::Duration::zero());
        const bool fails = failsAll || run.payload.starts_with("fail");
        m_world.schedule(rest * fullPace / run.pace, [this, task, attempt = run.attempt, timer, fails, boot = m_boot] {
            const auto found = m_runs.find(task);
            if (boot == m_boot && found != m_runs.end() && found->second.endTimers == timer)
                end(task, attempt, fails ? Cells::RunEnd::Failed : Cells::RunEnd::Done);
        });
    }
    void answerPolls()
    {
        const auto waiting = std::exchange(m_waiting, {});
        for (const ReportAnswer& answer : waiting)
            answer(report());
    }
    void reply(const Answer& answer, Cells::OrderVerdict verdict) const
    {
        answer(Cells::OrderAnswer { verdict, clock() });
    }

    Fakes::VirtualRuntime& m_world;
    RunJudge& m_judge;
    Cells::WorkerEntry m_entry;
    Common::Resources m_capacity;
    bool m_reportsCapacity = false;
    bool m_up = true;
    uint64_t m_boot = 0;
    Common::MonotonicTime m_startedAt;
    Cells::FencingToken m_token;
    Common::WorkerTime m_leaseUntil;
    std::map<Jobs::TaskName, Run> m_runs;
    std::map<Jobs::TaskName, Common::AttemptNumber> m_highestEnded;
    std::vector<Cells::EndedTask> m_ended;
    uint64_t m_lastEnd = 0;
    std::vector<ReportAnswer> m_waiting;
    /// What the backfill added to the utilization of the services at `m_pressureAt`, averaged over `fadingSeconds`.
    double m_pressure = 0;
    Common::MonotonicTime m_pressureAt;
};

} // namespace CellTests
