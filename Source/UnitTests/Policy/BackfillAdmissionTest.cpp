// The pace that a waiting backfill task asks for falls with its wait, on free processor time only.
#include "Policy/BackfillAdmission.h"

#include "Policy/WorkerChoice.h"

#include <doctest/doctest.h>

using namespace Policy;
using namespace std::chrono_literals;

namespace {

constexpr int64_t wanted = 7000;

TaskRequirements waiting(Common::Duration waited, bool lightlyLoaded = false, bool jobIdle = false)
{
    TaskRequirements task;
    task.resources = { 0, wanted, 1000, 0 };
    task.backfill = true;
    task.admission = admitBackfill({ waited, 2s, lightlyLoaded, jobIdle });
    return task;
}

WorkerOffer pressed(int64_t freeMilliCores, double pace)
{
    WorkerOffer offer;
    offer.capacity = { 0, 64'000, 256'000, 0 };
    offer.free = { 0, freeMilliCores, 100'000, 0 };
    offer.unusedMilliCores = 40'000;
    offer.serves = true;
    offer.backfillPace = pace;
    return offer;
}

} // namespace

TEST_CASE("a backfill task that hasn't waited starts at the usual pace only")
{
    CHECK(obstacleToStart(waiting(0s), pressed(20'000, 0.79)) == StartObstacle::BackfillPace);
    CHECK(isAdmissible(waiting(0s), pressed(20'000, 0.8)));
}

TEST_CASE("a waiting backfill task takes a pace by which it loses no more time than it has waited")
{
    // 2 s of work take 2.5 s at the usual pace and 4 s at half of the speed.
    CHECK_FALSE(isAdmissible(waiting(1400ms), pressed(20'000, 0.5)));
    CHECK(isAdmissible(waiting(1500ms), pressed(20'000, 0.5)));
    CHECK(isAdmissible(waiting(longestBackfillWait), pressed(20'000, 0)));
}

TEST_CASE("a low pace is taken only where processor time is free")
{
    CHECK_FALSE(isAdmissible(waiting(1min), pressed(wanted - 1, 0)));
    WorkerOffer crowded = pressed(20'000, 0);
    crowded.backfillMilliCores = 20'000;
    CHECK_FALSE(isAdmissible(waiting(1min), crowded));
    CHECK(isAdmissible(waiting(1min, true), crowded));
    CHECK_FALSE(isAdmissible(waiting(7999ms, true), crowded));
}

TEST_CASE("a job of which nothing runs shares free room sooner while the workers are lightly loaded")
{
    WorkerOffer crowded = pressed(20'000, 0);
    crowded.backfillMilliCores = 20'000;
    CHECK_FALSE(isAdmissible(waiting(1999ms, true, true), crowded));
    CHECK(isAdmissible(waiting(2s, true, true), crowded));
    CHECK_FALSE(isAdmissible(waiting(2s, false, true), crowded));
    CHECK_FALSE(isAdmissible(waiting(2s, true, true), pressed(wanted - 1, 0)));
}

TEST_CASE("an admission covers another one if it allows the same workers and more")
{
    const BackfillAdmission first = admitBackfill({ 0s, 2s, true });
    const BackfillAdmission later = admitBackfill({ 4s, 2s, true });
    const BackfillAdmission last = admitBackfill({ longestBackfillWait, 2s, true });
    CHECK(later.covers(first));
    CHECK_FALSE(first.covers(later));
    CHECK(last.covers(later));
    CHECK_FALSE(admitBackfill({ longestBackfillWait, 2s, false }).covers(last));
}
