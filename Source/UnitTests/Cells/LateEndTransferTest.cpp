// A run that was given up ends in the cell that has given its task back meanwhile.
#include "Cells/CellWorld.h"
#include "Cells/LiveJob.h"

#include <doctest/doctest.h>

using namespace CellTests;

namespace {

const Cells::CellId home("yard-0");
const Cells::CellId peer("yard-1");
const Cells::CellId third("yard-2");
const Jobs::TaskName task { CellWorld::jobId(1), 0, 0, 0 };

Cells::LiveJob open(Jobs::JobRecord record)
{
    Cells::LiveJob job(std::move(record), false, {}, 0);
    job.openDueOccurrences({}, 0);
    return job;
}

} // namespace

// Guards against a second run of a task whose end has been noted: the cell that has the task again, waiting, must take
// the end over (TWICE), and its job must end (LOST).
TEST_CASE("a task that was given back and whose end is read afterwards is done in the cell that has it again")
{
    Cells::LiveJob job = open(CellWorld::job(1, "run:100", 1));
    Cells::LiveJob part = open(job.transferTasks({ task }, home, peer).part);
    const Cells::TaskTransfer back = part.transferTasks({ task }, peer, home);
    REQUIRE(part.markDone(task));
    REQUIRE(part.endedTasks().size() == 1);
    const Cells::TaskTransfer end = part.transferTasks(part.endedTasks(), peer, home);
    job.receiveTransfer(back, {}, 0);
    REQUIRE(job.find(task)->waiting());
    job.receiveTransfer(end, {}, 0);
    CHECK(job.isComplete());
}

// Guards against a task that nobody returns: the cell that gets it knows already that it is done (LOST).
TEST_CASE("a task that comes back to a part which knows its end is returned to the job's cell")
{
    Cells::LiveJob job = open(CellWorld::job(1, "run:100", 1));
    Cells::LiveJob part = open(job.transferTasks({ task }, home, peer).part);
    const Cells::TaskTransfer given = part.transferTasks({ task }, peer, third);
    REQUIRE(part.markDone(task));
    const Cells::TaskTransfer end = part.transferTasks(part.endedTasks(), peer, home);
    REQUIRE(part.endedTasks().empty());
    Cells::LiveJob other = open(given.part);
    part.receiveTransfer(other.transferTasks({ task }, third, peer), {}, 0);
    CHECK(part.endedTasks().size() == 1);
    job.receiveTransfer(end, {}, 0);
    CHECK(job.isComplete());
}
