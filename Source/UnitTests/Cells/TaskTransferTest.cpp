// Tests of how a job takes in transfers of its tasks.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

const Cells::CellId yard { "yard-0" };
const Cells::CellId shed { "shed-0" };

Cells::LiveJob openJob(Jobs::JobRecord record)
{
    Cells::LiveJob job(std::move(record), false, Common::MonotonicTime {}, 0);
    job.openDueOccurrences(Common::MonotonicTime {}, 0);
    return job;
}

} // namespace

TEST_CASE("a transfer that arrives after a later one of the same cell isn't lost")
{
    Cells::LiveJob sender = openJob(CellWorld::service(1, 4));
    const auto task = [&sender](uint32_t index) { return Jobs::TaskName { sender.id(), 0, 0, index }; };
    const Cells::TaskTransfer first = sender.transferTasks({ task(0) }, yard, shed);
    const Cells::TaskTransfer second = sender.transferTasks({ task(1), task(2) }, yard, shed);
    Cells::LiveJob part = openJob(second.part);
    const auto waiting = [&part] { return part.occurrences().at(0).steps[0].waitingCount; };
    CHECK(waiting() == 2);
    part.receiveTransfer(first, {}, 0);
    CHECK(waiting() == 3);
    for (const Cells::TaskTransfer& again : { first, second })
        part.receiveTransfer(again, {}, 0);
    CHECK(waiting() == 3);
}

TEST_CASE("failures in several cells are added up when a task is returned")
{
    Jobs::JobRecord record = CellWorld::job(1, "run:100", 2);
    record.policy.maximumAttempts = 3;
    Cells::LiveJob home = openJob(record);
    const Jobs::TaskName task { home.id(), 0, 0, 1 };
    CHECK_FALSE(home.markFailed(task, Common::AttemptNumber { 1 }));
    Cells::LiveJob part = openJob(home.transferTasks({ task }, yard, shed).part);
    // Reported late, by a worker whose lease had expired.
    CHECK_FALSE(home.markFailed(task, Common::AttemptNumber { 2 }));
    CHECK_FALSE(part.markFailed(task, Common::AttemptNumber { 3 }));
    CHECK(part.markFailed(task, Common::AttemptNumber { 4 }));
    CHECK(part.occurrences().at(0).steps[0].waitingCount == 0);
    REQUIRE(part.endedTasks() == std::vector<Jobs::TaskName> { task });
    home.receiveTransfer(part.transferTasks(part.endedTasks(), shed, yard), {}, 0);
    CHECK(part.endedTasks().empty());
    CHECK(home.hasUsedUpTask());
    CHECK(home.find(task)->progress.failedAttempts == std::set<uint32_t> { 1, 2, 3, 4 });
    CHECK(home.occurrences().at(0).steps[0].waitingCount == 1);
}

TEST_CASE("a part that is read from the store knows which of its done tasks were returned")
{
    Cells::LiveJob home = openJob(CellWorld::job(1, "run:100", 2));
    const Jobs::TaskName returned { home.id(), 0, 0, 0 };
    const Jobs::TaskName done { home.id(), 0, 0, 1 };
    Cells::LiveJob part = openJob(home.transferTasks({ returned, done }, yard, shed).part);
    part.markDone(returned);
    home.receiveTransfer(part.transferTasks(part.endedTasks(), shed, yard), {}, 0);
    part.markDone(done);
    Cells::LiveJob recovered = openJob(*Jobs::JobRecord::decode(part.toRecord().encode()));
    REQUIRE(recovered.endedTasks() == std::vector<Jobs::TaskName> { done });
    home.receiveTransfer(recovered.transferTasks(recovered.endedTasks(), shed, yard), {}, 0);
    CHECK(home.isComplete());
}

TEST_CASE("transferred tasks go on waiting from the time at which their wait began")
{
    Cells::LiveJob home = openJob(CellWorld::job(1, "run:100", 2));
    Cells::TaskTransfer transfer = home.transferTasks({ { home.id(), 0, 0, 1 } }, yard, shed);
    transfer.waited = 7s;
    const auto decoded = Cells::TaskTransfer::decode(transfer.encode());
    REQUIRE(decoded);
    CHECK(decoded->waited == 7s);
    Cells::LiveJob part = openJob(decoded->part);
    const Common::MonotonicTime since { 20s };
    part.continueWait(0, 0, since);
    part.continueWait(0, 0, since + 1s);
    REQUIRE(part.occurrences().at(0).steps[0].blocked);
    CHECK(part.occurrences().at(0).steps[0].blocked->since == since);
    part.continueWait(0, 0, since - 1s);
    CHECK(part.occurrences().at(0).steps[0].blocked->since == since - 1s);
}

TEST_CASE("a part of a scheduled job has only the occurrences that were transferred, until their tasks are returned")
{
    Jobs::JobRecord record = CellWorld::job(1, "run:100", 2);
    record.spec.occurrences = 3;
    record.spec.firstDueMilliseconds = 1000;
    record.spec.interval = 1s;
    constexpr int64_t wall = 2500;
    Cells::LiveJob home(record, false, {}, wall);
    home.openDueOccurrences({}, wall);
    REQUIRE(home.occurrences().size() == 2);
    const auto tasks = [&home](uint32_t occurrence) {
        return std::vector<Jobs::TaskName> { { home.id(), occurrence, 0, 0 }, { home.id(), occurrence, 0, 1 } };
    };
    Cells::LiveJob part(home.transferTasks(tasks(0), yard, shed).part, false, {}, wall);
    CHECK_FALSE(part.openDueOccurrences({}, 9000));
    REQUIRE(part.occurrences().size() == 1);
    CHECK(part.occurrences().at(0).steps[0].waitingCount == 2);
    const Cells::TaskTransfer second = home.transferTasks({ tasks(1)[1] }, yard, shed);
    part.receiveTransfer(second, {}, wall);
    REQUIRE(part.occurrences().contains(1));
    CHECK(part.occurrences().at(1).steps[0].waitingCount == 1);
    for (const Jobs::TaskName& task : tasks(0))
        part.markDone(task);
    const Cells::TaskTransfer returned = part.transferTasks(part.endedTasks(), shed, yard);
    part.closeReturned();
    CHECK_FALSE(part.occurrences().contains(0));
    CHECK(part.occurrences().contains(1));
    home.receiveTransfer(returned, {}, wall);
    CHECK(home.occurrences().size() == 1);
    // Read again by a later owner.
    part.receiveTransfer(second, {}, wall);
    CHECK(part.occurrences().at(1).steps[0].waitingCount == 1);
    const Cells::LiveJob recovered(*Jobs::JobRecord::decode(part.toRecord().encode()), true, {}, wall);
    CHECK(recovered.occurrences().size() == 1);
}
