// Tests of how a job takes in transfers of its tasks.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

using namespace CellTests;

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
    const Cells::TaskTransfer first = sender.transferTasks(0, 0, { 0 }, yard, shed);
    const Cells::TaskTransfer second = sender.transferTasks(0, 0, { 1, 2 }, yard, shed);
    Cells::LiveJob part = openJob(second.part);
    const auto waiting = [&part] { return part.occurrences().at(0).steps[0].waitingCount; };
    CHECK(waiting() == 2);
    part.receiveTransfer(first);
    CHECK(waiting() == 3);
    for (const Cells::TaskTransfer& again : { first, second })
        part.receiveTransfer(again);
    CHECK(waiting() == 3);
}
