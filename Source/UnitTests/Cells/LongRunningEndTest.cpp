// Long-running tasks are started again however their runs end, until their job is cancelled.
#include "Cells/Fleet.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;
using Cells::RunEnd;
using Jobs::JobPhase;

namespace {

/// Longest time without a run that the users' rule allows a long-running task in calm.
constexpr Common::Duration longestAbsence = 9s;

struct ServiceFleet : Fleet {
    static constexpr uint32_t tasks = 3;

    explicit ServiceFleet(Jobs::JobRecord record = service(1, tasks))
    {
        submit(other(), std::move(record), m_outcome);
        clock.advance(2s);
    }
    static Jobs::TaskName task(uint32_t index) { return Jobs::TaskName { jobId(1), 0, 0, index }; }
    void endRun(uint32_t index, RunEnd how)
    {
        const std::string& worker = judge.startedOn.at(task(index));
        for (const auto& candidate : workers) {
            if (candidate->entry().id.value() == worker)
                candidate->endRun(task(index), how);
        }
    }

private:
    Outcome m_outcome;
};

/// A job of one long-running task whose runs end 20 ms after their start.
Jobs::JobRecord shortLived(const std::string& payload)
{
    Jobs::JobRecord record = CellWorld::service(1, 1);
    record.spec.payload = payload;
    return record;
}

} // namespace

// LOST: a long-running task whose run ended as done was never started again.
TEST_CASE("a long-running task is started again after its run has ended by itself")
{
    for (const RunEnd how : { RunEnd::Done, RunEnd::Failed }) {
        CAPTURE(static_cast<int>(how));
        ServiceFleet fleet;
        REQUIRE(fleet.running() == ServiceFleet::tasks);
        fleet.endRun(0, how);
        REQUIRE(fleet.running() == ServiceFleet::tasks - 1);
        fleet.clock.advance(1s);
        CHECK(fleet.running() == ServiceFleet::tasks);
        CHECK(fleet.judge.summary().empty());
    }
}

// LOST: a job of long-running tasks was shown as completed once all of them had ended as done.
TEST_CASE("a job of long-running tasks doesn't complete, and can be cancelled")
{
    ServiceFleet fleet;
    for (uint32_t index = 0; index < ServiceFleet::tasks; ++index)
        fleet.endRun(index, RunEnd::Done);
    fleet.clock.advance(2s);
    CHECK(fleet.running() == ServiceFleet::tasks);
    CHECK(fleet.phase(fleet.other(), 1) == JobPhase::Running);
    CHECK(fleet.cancel(1));
    fleet.clock.advance(1s);
    CHECK(fleet.running() == 0);
    CHECK(fleet.phase(fleet.other(), 1) == JobPhase::Cancelled);
    CHECK(fleet.judge.summary().empty());
}

// LOST: the end of one member as done ended a gang of long-running tasks for good.
TEST_CASE("a gang of long-running tasks is started again after it has ended")
{
    Jobs::JobRecord record = CellWorld::service(1, ServiceFleet::tasks);
    record.spec.steps[0].gang = true;
    ServiceFleet fleet(std::move(record));
    REQUIRE(fleet.running() == ServiceFleet::tasks);
    fleet.endRun(0, RunEnd::Done);
    for (uint32_t index = 1; index < ServiceFleet::tasks; ++index)
        fleet.endRun(index, RunEnd::GangMemberEnded);
    fleet.clock.advance(2s);
    CHECK(fleet.running() == ServiceFleet::tasks);
    CHECK(fleet.judge.summary().empty());
}

// LOST: the successor took a task that had ended as done for completed.
TEST_CASE("a successor starts a long-running task again whose run has ended as done")
{
    ServiceFleet fleet;
    fleet.endRun(0, RunEnd::Done);
    fleet.clock.advance(150ms);
    fleet.owner()->process.kill();
    fleet.endRun(1, RunEnd::Done);
    fleet.clock.advance(16s);
    REQUIRE(fleet.owners() == 1);
    CHECK(fleet.running() == ServiceFleet::tasks);
    CHECK(fleet.judge.summary().empty());
}

TEST_CASE("a long-running task that ends at once, again and again, is neither started without a pause nor given up")
{
    for (const char* const payload : { "run:20", "fail:20" }) {
        CAPTURE(payload);
        ServiceFleet fleet(shortLived(payload));
        uint64_t starts = fleet.judge.starts;
        CHECK(starts > 0);
        constexpr uint64_t mostStarts = longestAbsence / 1s;
        for (int stretch = 0; stretch < 5; ++stretch) {
            fleet.clock.advance(longestAbsence);
            const uint64_t started = fleet.judge.starts - std::exchange(starts, fleet.judge.starts);
            CHECK(started > 0);
            CHECK(started <= mostStarts);
        }
        CHECK(fleet.judge.summary().empty());
    }
}
