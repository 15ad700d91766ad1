// Lets a test answer the calls to the workers of one cell.
#pragma once

#include "Cells/CellWorkers.h"
#include "Fakes/VirtualRuntime.h"

#include <deque>
#include <string>
#include <utility>

namespace CellTests {

/// Keeps each call until the test answers it.
class ScriptedOrders final : public Cells::WorkerOrders {
public:
    struct Start {
        Cells::RunOrder order;
        Common::WorkerTime leaseUntil;
        Common::Callback<Cells::OrderAnswer> answer;
    };
    struct Poll {
        PollRequest request;
        Common::Callback<Cells::RunReport> answer;
    };
    std::deque<Start> starts;
    std::deque<Common::Callback<Cells::OrderAnswer>> stops;
    std::deque<Poll> polls;

    void start(const Cells::WorkerTarget&, Cells::FencingToken, const Cells::RunOrder& order,
        Common::WorkerTime leaseUntil, Common::Callback<Cells::OrderAnswer> answer) override
    {
        starts.push_back({ order, leaseUntil, std::move(answer) });
    }
    void stop(const Cells::WorkerTarget&, Cells::FencingToken, const Jobs::TaskName&, Common::AttemptNumber,
        Common::Callback<Cells::OrderAnswer> answer) override
    {
        stops.push_back(std::move(answer));
    }
    void pace(const Cells::WorkerTarget&, Cells::FencingToken, const Jobs::TaskName&, Common::AttemptNumber, uint32_t,
        Common::Callback<Cells::OrderAnswer>) override
    {
    }
    void pollRuns(
        const Cells::WorkerTarget&, const PollRequest& request, Common::Callback<Cells::RunReport> answer) override
    {
        polls.push_back({ request, std::move(answer) });
    }
};

/// One worker of a cell whose only owner is confirmed whenever it asks.
struct ScriptedCell {
    Fakes::VirtualRuntime clock { 1 };
    ScriptedOrders orders;
    Cells::CellSettings settings = withoutProbes();
    Common::MonotonicTime ownedAt = clock.now();
    bool storeAnswers = true;
    Common::Duration authorityLeft = settings.authority;
    /// The next questions for the authority are answered before suspensions of these lengths, and read after them.
    std::deque<Common::Duration> suspensions;
    size_t rebirths = 0;
    /// The runs of a former life are kept, as if their orders had no known outcome.
    bool keepsRuns = false;
    Cells::CellWorkers workers { clock, orders, Cells::TokenRange::lastAfter({}), settings,
        Cells::InheritedLeases::ofStoppedOwners(clock.now(), settings),
        Cells::CellWorkers::Hooks {
            .report = [](Cells::CellWorker&, const Cells::RunReport&, Common::MonotonicTime) {},
            .runsCleared =
                [this](Cells::CellWorker& worker, bool rebooted) {
                    rebirths += rebooted ? 1 : 0;
                    if (!keepsRuns)
                        worker.clearAllocations();
                },
            .startUnanswered = [] {},
            .fenced = [] {},
            .acknowledge = [](Cells::CellWorker&) {},
            .dropped = [] {},
            .authorityLeft =
                [this] {
                    const Common::Duration left = authorityLeft;
                    if (!suspensions.empty()) {
                        authorityLeft -= suspensions.front();
                        clock.advance(suspensions.front());
                        suspensions.pop_front();
                    }
                    return left;
                },
            .ownedAt = [this] { return ownedAt; },
            .confirmOwnership =
                [this](std::function<void()> confirmed) {
                    if (!storeAnswers)
                        return;
                    ownedAt = clock.now();
                    clock.schedule(std::chrono::milliseconds(2), std::move(confirmed));
                },
            .shouldPollFrequently = [](const Cells::CellWorker&) { return false; },
        } };

    /// Each poll is answered by the test; LostBeforeStartTest plays probes.
    static Cells::CellSettings withoutProbes()
    {
        Cells::CellSettings settings;
        settings.answerAgeAtStart = settings.answerAgeAtLongRunningStart = std::chrono::hours(1);
        return settings;
    }
    ScriptedCell()
    {
        Cells::WorkerEntry entry;
        entry.id = Common::WorkerId("w0");
        entry.address = "w0:1";
        entry.startedAtMilliseconds = 1000;
        workers.add(entry);
        clock.advance(std::chrono::milliseconds(1));
    }
    Cells::CellWorker& worker() { return *workers.find(Common::WorkerId("w0")); }
    /// Answers the open poll and waits for the next one.
    void answerPoll(int64_t born, int64_t workerClock)
    {
        const ScriptedOrders::Poll poll = std::move(orders.polls.front());
        orders.polls.pop_front();
        Cells::RunReport report;
        report.startedAtMilliseconds = born;
        report.clock = Common::WorkerTime { workerClock };
        poll.answer(report);
        for (size_t steps = 0; steps < 10'000 && orders.polls.empty(); ++steps)
            clock.advance(std::chrono::milliseconds(1));
    }
    Cells::RunKey orderRun(uint32_t index)
    {
        Cells::RunKey run { { Common::JobId("0000000000000001"), 0, 0, index }, Common::AttemptNumber { 1 } };
        worker().addAllocation(run, {});
        workers.start(worker(), Cells::RunOrder { run.task, run.attempt, "last", {}, {} }, [](Cells::OrderAnswer) {});
        return run;
    }
};

} // namespace CellTests
