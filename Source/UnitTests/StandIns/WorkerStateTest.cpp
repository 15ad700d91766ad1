// Tests the simulated worker: claims, starts, leases, interference, checkpoints and the journal.
#include "StandIns/WorkerState.h"

#include <doctest/doctest.h>

#include <algorithm>

using Common::ErrorCode;
using Common::TaskId;
using Scheduler::TaskControl;
using Scheduler::TaskState;
using StandIns::JournalEvent;
using StandIns::WorkerState;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds usageLag { 200 };

struct Fixture {
    explicit Fixture(bool refuseWhenFull = false)
        : state(
            { Common::WorkerId("w"), Common::WorkerBootId("b"), Common::RackId("r"), { 2, 2000, 1000, 0 }, usageLag,
                refuseWhenFull, 1 },
            [this] { return now; }, [this](const StandIns::JournalEntry& entry) { journal.push_back(entry); })
    {
    }

    Scheduler::StartCommand command(const std::string& task, const std::string& work) const
    {
        return { TaskId(task), Common::WorkerBootId("b"), { state.clock().milliseconds + 3000 }, seconds(10),
            { 1, 1000, 100, 0 }, "", work };
    }
    Scheduler::TaskReport report(const std::string& task)
    {
        const auto tasks = state.sync({}).tasks;
        const auto found
            = std::find_if(tasks.begin(), tasks.end(), [&](const auto& t) { return t.task == TaskId(task); });
        REQUIRE(found != tasks.end());
        return *found;
    }
    int64_t count(JournalEvent event) const
    {
        return std::count_if(journal.begin(), journal.end(), [&](const auto& entry) { return entry.event == event; });
    }

    Common::MonotonicTime now {};
    std::vector<StandIns::JournalEntry> journal;
    WorkerState state;
};

struct RefuseWhenFullFixture : public Fixture {
    RefuseWhenFullFixture()
        : Fixture(true)
    {
    }
};

Scheduler::SyncRequest claim(const std::string& daemon, int64_t term)
{
    Scheduler::SyncRequest request;
    request.daemon = Common::DaemonId(daemon);
    request.address = "127.0.0.1:1";
    request.claimTerm = Common::ClaimTerm { term };
    request.claimTimeToLive = seconds(5);
    return request;
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "several claims coexist, keep the time at which they were made, expire and can be withdrawn")
{
    state.sync(claim("a", 1));
    now += seconds(2);
    state.sync(claim("b", 2));
    auto claims = state.sync(claim("a", 1)).claims;
    REQUIRE(claims.size() == 2);
    CHECK(claims[0].madeAt.milliseconds == 0);
    CHECK(claims[0].expiresAt.milliseconds == 7000);
    CHECK(claims[1].madeAt.milliseconds == 2000);
    claims = state.sync(claim("a", 3)).claims;
    CHECK(claims[0].madeAt.milliseconds == 2000);
    Scheduler::SyncRequest withdrawal;
    withdrawal.daemon = Common::DaemonId("b");
    withdrawal.withdrawClaim = true;
    CHECK(state.sync(withdrawal).claims.size() == 1);
    now += seconds(5);
    CHECK(state.sync({}).claims.empty());
}

TEST_CASE_FIXTURE(Fixture, "late starts, starts for another boot and repeated ids are refused")
{
    auto late = command("late", "{}");
    now += milliseconds(3000);
    CHECK(state.start(late).reason().code == ErrorCode::StartTooLate);
    auto other = command("t", "{}");
    other.boot = Common::WorkerBootId("earlier");
    CHECK(state.start(other).reason().code == ErrorCode::WorkerRebooted);
    REQUIRE(state.start(command("t", R"({"runMs":100})")));
    CHECK(state.start(command("t", "{}")).reason().code == ErrorCode::DuplicateId);
    now += milliseconds(100);
    Scheduler::SyncRequest acknowledged;
    acknowledged.tasksToAcknowledge = { TaskId("t") };
    CHECK(state.sync(acknowledged).tasks.empty());
    CHECK(state.start(command("t", "{}")).reason().code == ErrorCode::DuplicateId);
    CHECK(count(JournalEvent::Start) == 1);
}

TEST_CASE_FIXTURE(Fixture, "by default an overload is recorded, not refused")
{
    for (const char* const task : { "a", "b", "c" })
        REQUIRE(state.start(command(task, R"({"runMs":1000})")));
    CHECK(state.declaredPeak().slots == 3);
    CHECK(journal.back().event == JournalEvent::Peak);
    CHECK(journal.back().declared.milliCores == 3000);
}

TEST_CASE_FIXTURE(RefuseWhenFullFixture, "a worker that refuses when full rejects starts beyond its capacity")
{
    REQUIRE(state.start(command("a", R"({"runMs":1000})")));
    REQUIRE(state.start(command("b", R"({"runMs":1000})")));
    CHECK(state.start(command("c", "{}")).reason().code == ErrorCode::WorkerFull);
    now += milliseconds(1000);
    CHECK(state.start(command("c", "{}")));
}

TEST_CASE_FIXTURE(Fixture, "a task with an expired lease is stopped, a task with a renewed one runs on")
{
    REQUIRE(state.start(command("expires", R"({"runMs":60000})")));
    REQUIRE(state.start(command("renewed", R"({"runMs":60000})")));
    now += seconds(9);
    Scheduler::SyncRequest renewal;
    renewal.tasksToRenew = { TaskId("renewed") };
    renewal.taskLeaseTimeToLive = seconds(10);
    state.sync(renewal);
    now += seconds(1);
    CHECK(report("expires").state == TaskState::Stopped);
    CHECK(report("renewed").state == TaskState::Running);
    CHECK(journal.back().reason == "lease");
}

TEST_CASE_FIXTURE(Fixture, "noise and overloaded processors slow tasks down")
{
    REQUIRE(state.start(command("alone", R"({"runMs":1000})")));
    now += milliseconds(500);
    // The noise halves the speed, so the remaining 500 ms of work take one second.
    REQUIRE(state.start(command("noisy", R"({"runMs":9000,"noise":100})")));
    now += milliseconds(999);
    CHECK(report("alone").state == TaskState::Running);
    now += milliseconds(1);
    CHECK(report("alone").state == TaskState::Finished);
    REQUIRE(state.start(command("heavy", R"({"runMs":1000,"cpuMilli":3000,"sensitivity":0})")));
    now += milliseconds(1999);
    CHECK(report("heavy").state == TaskState::Running);
    now += milliseconds(1);
    CHECK(report("heavy").state == TaskState::Finished);
}

TEST_CASE_FIXTURE(Fixture, "reported use and speed lag behind")
{
    REQUIRE(state.start(command("t", R"({"runMs":9000,"cpuMilli":500})")));
    now += milliseconds(199);
    CHECK(report("t").sampledAt.milliseconds == 0);
    CHECK(report("t").used.milliCores == 0);
    now += milliseconds(1);
    CHECK(report("t").used.milliCores == 500);
    state.control(TaskControl::Throttle, { TaskId("t") });
    CHECK(report("t").throttled);
    CHECK(report("t").used.milliCores == 500);
    now += usageLag;
    CHECK(report("t").used.milliCores == 125);
    CHECK(report("t").speedPerMille == 250);
    CHECK(report("t").sampledAt.milliseconds == 200);
}

TEST_CASE_FIXTURE(Fixture, "a start from a checkpoint does only the remaining work")
{
    REQUIRE(state.start(command("j#1", R"({"runMs":1000})")));
    now += milliseconds(600);
    state.control(TaskControl::Checkpoint, { TaskId("j#1") });
    now += milliseconds(100);
    state.control(TaskControl::Stop, { TaskId("j#1"), TaskId("unknown") });
    const auto stopped = report("j#1");
    CHECK(stopped.state == TaskState::Stopped);
    auto resume = command("j#2", R"({"runMs":1000})");
    resume.checkpoint = stopped.checkpoint;
    REQUIRE(state.start(resume));
    CHECK(journal.back().doneMilliseconds == 600);
    now += milliseconds(400);
    CHECK(report("j#2").state == TaskState::Finished);
}

TEST_CASE_FIXTURE(Fixture, "ended tasks are reported until acknowledged or forgotten")
{
    REQUIRE(state.start(command("fails", R"({"runMs":10,"fail":true})")));
    now += milliseconds(10);
    CHECK(report("fails").state == TaskState::Failed);
    now += WorkerState::endedTaskRetention;
    CHECK(state.sync({}).tasks.empty());
}

TEST_CASE_FIXTURE(Fixture, "a worker with the failAll fault fails long tasks early")
{
    state.setFaults({ true, false, true });
    REQUIRE(state.start(command("t", R"({"runMs":60000})")));
    now += milliseconds(10);
    CHECK(report("t").state == TaskState::Failed);
    CHECK(state.sync({}).leaving);
}

TEST_CASE_FIXTURE(Fixture, "requests use resources while they run and report their end once")
{
    std::vector<bool> ends;
    StandIns::TaskWork work;
    work.runMilliseconds = 50;
    const WorkerState::RequestCommand request { TaskId("r#1"), Common::WorkerBootId("b"), { 3000 }, { 1, 500, 10, 0 } };
    REQUIRE(state.startRequest(request, work, [&](bool succeeded) { ends.push_back(succeeded); }));
    CHECK(state.declaredTotal().milliCores == 500);
    CHECK(report("r#1").kind == Scheduler::TaskKind::Request);
    REQUIRE(state.nextEvent());
    now = *state.nextEvent();
    state.advance();
    CHECK(ends == std::vector<bool> { true });
    CHECK(state.declaredTotal() == Common::Resources {});
    CHECK(state.sync({}).tasks.empty());
    CHECK_FALSE(state.nextEvent());
}
