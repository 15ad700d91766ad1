// Waiting tasks that circulate between cells which can't run them while another cell can.
#include "Cells/CellWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t spreadJob = 1;
constexpr uint64_t fillingJob = 2;
constexpr size_t workersOfLargeCell = 3;

/// Cells of three workers each but for one, which has one worker and is full at first. A service, at most one task of
/// which runs on each worker, has one on each worker of the others.
struct SpreadService : CellWorld {
    std::string small;
    uint32_t tasks = 0;

    SpreadService(const std::vector<std::string>& domains, std::string smallDomain, int64_t memoryOfTask)
        : CellWorld(1)
        , small(std::move(smallDomain))
    {
        for (const std::string& domain : domains)
            addWorkers(domain, domain == small ? 1 : workersOfLargeCell, 8000);
        for (const std::string& domain : domains)
            addHost(domain, domain + ":1");
        clock.advance(8s);
        submitTo(small, service(fillingJob, 8));
        clock.advance(1s);
        tasks = static_cast<uint32_t>(workersOfLargeCell * (domains.size() - 1));
        Jobs::JobRecord record = service(spreadJob, tasks);
        Jobs::StepSpec& step = record.spec.steps[0];
        if (memoryOfTask > 0)
            step.resources.memoryMegabytes = memoryOfTask;
        else
            step.maximumPerWorker = 1;
        submitTo(domains.front() == small ? domains.back() : domains.front(), record);
        clock.advance(30s);
        REQUIRE(runningTasks() == tasks);
        REQUIRE(cancel(fillingJob));
    }
    size_t runningTasks() const { return judge.running(jobId(spreadJob)); }
    void submitTo(const std::string& domain, Jobs::JobRecord record)
    {
        judge.submitted[record.id] = record.spec;
        record.acceptedMilliseconds = clock.wallMilliseconds();
        for (WorldHost* const host : live()) {
            if (Cells::CellEngine* const engine = host->cellOwnership.engine(Cells::CellId(domain + "-0"))) {
                engine->submit(record, Cells::CellEngine::Fit::Any, [](const Common::Result<Cells::AcceptOutcome>&) {});
                return;
            }
        }
        FAIL("no owner");
    }
    /// The domain's first worker leaves for good.
    void loseWorker(const std::string& domain)
    {
        const auto worker = std::find_if(workers.begin(), workers.end(),
            [&](const auto& row) { return row->entry().domain == Common::DomainId(domain); });
        (*worker)->crash();
    }
};

/// Loses a worker of each of the large cells in turn; the small one has room for the task.
void checkLosses(int64_t memoryOfTask)
{
    const std::vector<std::string> domains { "barn", "loft", "shed", "yard" };
    for (const std::string& small : domains) {
        for (const std::string& lost : domains) {
            if (lost == small)
                continue;
            CAPTURE(small);
            CAPTURE(lost);
            SpreadService world(domains, small, memoryOfTask);
            world.loseWorker(lost);
            world.clock.advance(45s);
            CHECK(world.runningTasks() == world.tasks);
            CHECK(world.judge.summary() == "");
        }
    }
}

} // namespace

// Guards against a task that moves to and fro for good between cells whose workers all have one of its step.
TEST_CASE("a task of a service that is spread over workers runs in the only cell that can run it") { checkLosses(0); }

// Guards against the same between cells that have processor time and no memory for it.
TEST_CASE("a task of a service that fills the memory of workers runs in the only cell that can run it")
{
    checkLosses(60'000);
}
