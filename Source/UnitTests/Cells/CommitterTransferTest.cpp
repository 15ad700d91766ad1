// Tests of how a cell's committer writes transfers of tasks.
#include "Cells/CellCommitter.h"
#include "Cells/CellWorld.h"
#include "Cells/StoreKeys.h"

#include <doctest/doctest.h>

#include <optional>
#include <set>

using namespace CellTests;
using namespace std::chrono_literals;

namespace {

/// A committer of the cell "yard-0" with jobs of which it knows only the ids.
struct CommitterWorld {
    const Cells::CellId cell { "yard-0" };
    const Cells::CellId peer { "shed-0" };
    Fakes::VirtualRuntime clock { 1 };
    Fakes::FakeNetwork network { clock, 1 };
    Fakes::FakeRecordStore store { clock, network, 1 };
    Fakes::FakeProcess process { clock, 1 };
    std::set<Common::JobId> known;
    std::map<Common::JobId, bool> transferred;
    std::optional<Cells::CellCommitter> committer;

    CommitterWorld()
    {
        const std::string key = Cells::StoreKeys::cell(cell);
        Cells::CellRecord record { Common::DaemonId("a@1"), "a:1", Cells::FencingToken { 1 } };
        store.put(key, record.encode());
        Cells::RecordStore& client = store.client("a:1", process);
        Common::StoreRevision fence;
        client.get(key, Cells::Freshness::Linearizable,
            [&fence](
                const Common::Result<std::optional<Scheduler::StoreValue>>& found) { fence = (*found)->revision; });
        clock.advance(1s);
        committer.emplace(process, client, cell, record, fence, clock.now(), Cells::CommitterSettings {},
            Cells::CellCommitter::Hooks {
                .snapshot = [this](const Common::JobId& job) -> std::optional<Cells::CellCommitter::Snapshot> {
                    if (!known.contains(job))
                        return std::nullopt;
                    return Cells::CellCommitter::Snapshot { "record", 1 };
                },
                .committed = [](const Common::JobId&, uint64_t) {},
                .acceptedLate = [](const Common::JobId&) {},
                .lost = [] {},
            });
    }
    std::string transferKey(const Common::JobId& job) const { return Cells::StoreKeys::transfer(peer, job, cell, 1); }
    void transfer(const Common::JobId& job)
    {
        committer->transferTasks(job, transferKey(job), "transfer",
            [this, job](const Common::Result<bool>& done) { transferred[job] = done && *done; });
    }
    bool hasRecord(const Common::JobId& job) const { return store.value(Cells::StoreKeys::job(cell, job)).has_value(); }
    bool hasTransfer(const Common::JobId& job) const { return store.value(transferKey(job)).has_value(); }
};

} // namespace

TEST_CASE("a transfer of a job that is no longer known doesn't hold up other transfers and the release")
{
    CommitterWorld world;
    const Common::JobId unknown = CellWorld::jobId(1);
    const Common::JobId other = CellWorld::jobId(2);
    world.known.insert(other);
    world.transfer(unknown);
    world.transfer(other);
    world.clock.advance(2s);
    CHECK(world.transferred == std::map<Common::JobId, bool> { { unknown, false }, { other, true } });
    CHECK(world.hasTransfer(other));
    CHECK_FALSE(world.hasTransfer(unknown));
    bool released = false;
    world.committer->release([&released] { released = true; });
    world.clock.advance(2s);
    CHECK(released);
}

TEST_CASE("a job isn't written without the transfer of its tasks when the transaction has no room for the transfer")
{
    for (const size_t submissions : { 0, 8, 9, 10, 30 }) {
        CAPTURE(submissions);
        CommitterWorld world;
        const Common::JobId job = CellWorld::jobId(1);
        world.known.insert(job);
        for (size_t index = 0; index < submissions; ++index)
            world.committer->accept(
                CellWorld::jobId(100 + index), "submitted", [](const Common::Result<Cells::AcceptOutcome>&) {});
        world.transfer(job);
        world.committer->markChanged(job);
        const Common::MonotonicTime end = world.clock.now() + 2s;
        bool lost = false;
        while (world.clock.now() < end && world.clock.step())
            lost = lost || (world.hasRecord(job) && !world.hasTransfer(job));
        CHECK_FALSE(lost);
        CHECK(world.hasRecord(job));
        CHECK(world.transferred == std::map<Common::JobId, bool> { { job, true } });
    }
}

TEST_CASE("other changes are written while a transfer waits for room")
{
    CommitterWorld world;
    std::vector<Common::JobId> jobs;
    for (uint64_t number = 1; number <= 40; ++number) {
        jobs.push_back(CellWorld::jobId(number));
        world.known.insert(jobs.back());
        world.transfer(jobs.back());
    }
    const Common::JobId changed = CellWorld::jobId(50);
    world.known.insert(changed);
    size_t transfersBefore = 0;
    world.committer->markChangedUrgently(changed, [&](const Common::Result<Common::Done>& done) {
        CHECK(done.hasValue());
        transfersBefore = world.transferred.size();
    });
    for (const Common::JobId& job : jobs)
        world.committer->markChanged(job);
    world.clock.advance(2s);
    CHECK(world.hasRecord(changed));
    CHECK(transfersBefore < jobs.size());
    CHECK(world.transferred.size() == jobs.size());
}

TEST_CASE("a job that has received more transfers than a transaction can remove doesn't stop the cell's writes")
{
    constexpr uint32_t transfers = 100;
    CommitterWorld world;
    const Common::JobId job = CellWorld::jobId(1);
    const Common::JobId other = CellWorld::jobId(2);
    world.known = { job, other };
    const std::string received = Cells::StoreKeys::job(world.cell, job) + Cells::StoreKeys::transferMarker;
    for (uint32_t number = 1; number <= transfers; ++number) {
        const std::string key = Cells::StoreKeys::transfer(world.cell, job, world.peer, number);
        world.store.put(key, "transfer");
        world.committer->recordReceivedTransfer(job, key);
    }
    std::vector<Common::JobId> durable;
    for (const Common::JobId& changed : { job, other }) {
        world.committer->markChangedUrgently(changed, [&durable, changed](const Common::Result<Common::Done>& done) {
            if (done)
                durable.push_back(changed);
        });
    }
    const Common::MonotonicTime end = world.clock.now() + 2s;
    bool removedFirst = false;
    while (world.clock.now() < end && world.clock.step())
        removedFirst = removedFirst || (!world.hasRecord(job) && world.store.countWithPrefix(received) < transfers);
    CHECK_FALSE(removedFirst);
    CHECK(durable == std::vector<Common::JobId> { job, other });
    CHECK(world.hasRecord(other));
    CHECK(world.store.countWithPrefix(received) == 0);
    bool released = false;
    world.committer->release([&released] { released = true; });
    world.clock.advance(2s);
    CHECK(released);
}
