// Tests of the accounting of a thread's time by kind of work.
#include "Common/WorkTimes.h"

#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <thread>

using Common::WorkKind;
using Common::WorkTimes;

namespace {

void spend(std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) { }
}

} // namespace

TEST_CASE("time in a nested scope counts for the inner kind only")
{
    const WorkTimes& times = WorkTimes::ofThisThread();
    const Common::Duration placementBefore = times.total(WorkKind::Placement);
    const Common::Duration reportsBefore = times.total(WorkKind::WorkerReports);
    const auto startedAt = std::chrono::steady_clock::now();
    {
        const WorkTimes::Scope outer(WorkKind::WorkerReports);
        spend(std::chrono::milliseconds(2));
        const WorkTimes::Scope inner(WorkKind::Placement);
        spend(std::chrono::milliseconds(3));
    }
    const auto whole = std::chrono::steady_clock::now() - startedAt;
    const Common::Duration placement = times.total(WorkKind::Placement) - placementBefore;
    const Common::Duration reports = times.total(WorkKind::WorkerReports) - reportsBefore;
    CHECK(placement >= std::chrono::milliseconds(3));
    CHECK(reports >= std::chrono::milliseconds(2));
    CHECK(placement + reports <= whole);
}

TEST_CASE("each thread has totals of its own")
{
    const Common::Duration before = WorkTimes::ofThisThread().total(WorkKind::Commits);
    std::thread([] {
        const WorkTimes::Scope scope(WorkKind::Commits);
        spend(std::chrono::milliseconds(1));
    }).join();
    CHECK(WorkTimes::ofThisThread().total(WorkKind::Commits) == before);
}

TEST_CASE("each kind of work has a name of its own")
{
    std::set<std::string_view> names;
    for (size_t kind = 0; kind < WorkTimes::kinds; ++kind)
        names.insert(Common::workKindName(static_cast<WorkKind>(kind)));
    CHECK(names.size() == WorkTimes::kinds);
}
