// Tasks never exceed a worker's capacity, backfill uses idle processor time, and services of one image stay together.
#include "Policy/WorkerChoice.h"

#include <doctest/doctest.h>

using namespace Policy;

namespace {

WorkerOffer offer(int64_t freeMilliCores)
{
    WorkerOffer offer;
    offer.capacity = { 0, 64'000, 256'000, 0 };
    offer.free = { 0, freeMilliCores, 100'000, 0 };
    offer.unusedMilliCores = 40'000;
    return offer;
}

TaskRequirements need(int64_t milliCores, bool backfill = false)
{
    TaskRequirements need;
    need.resources = { 0, milliCores, 1000, 0 };
    need.backfill = backfill;
    return need;
}

} // namespace

TEST_CASE("a task goes only where it fits")
{
    CHECK_FALSE(chooseWorker(need(5000), { offer(4999) }));
    CHECK(chooseWorker(need(5000), { offer(4999), offer(5000) }) == 1U);
    TaskRequirements large = need(10);
    large.resources.memoryMegabytes = 100'001;
    CHECK_FALSE(chooseWorker(large, { offer(64'000) }));
}

TEST_CASE("backfill needs unused processor time, not free capacity")
{
    CHECK(chooseWorker(need(7000, true), { offer(0) }) == 0U);
    WorkerOffer crowded = offer(64'000);
    crowded.backfillMilliCores = 38'000;
    CHECK_FALSE(chooseWorker(need(7000, true), { crowded }));
    CHECK(chooseWorker(need(7000, true), { crowded, offer(0) }) == 1U);
}

TEST_CASE("backfill isn't started where a service would exceed its limit")
{
    WorkerOffer pressed = offer(0);
    pressed.backfillPace = 0.2;
    CHECK_FALSE(chooseWorker(need(7000, true), { pressed }));
    pressed.backfillPace = 0.6;
    CHECK(chooseWorker(need(7000, true), { pressed, offer(0) }) == 1U);
}

TEST_CASE("a service goes to a worker of its own image, then to one without services, then to one of other images")
{
    TaskRequirements service = need(5000);
    service.serves = true;
    WorkerOffer foreign = offer(20'000);
    foreign.serves = true;
    WorkerOffer own = foreign;
    own.sameImage = 1;
    CHECK(chooseWorker(service, { offer(64'000), foreign, own }) == 2U);
    CHECK(chooseWorker(service, { foreign, offer(64'000) }) == 1U);
    CHECK(chooseWorker(service, { offer(4000), foreign }) == 1U);
    // Of two otherwise equal workers the fuller one is chosen, so that the other stays free.
    WorkerOffer fuller = own;
    fuller.free.milliCores = 6000;
    CHECK(chooseWorker(service, { own, fuller }) == 1U);
    service.maximumPerWorker = 1;
    own.sameStep = 1;
    CHECK(chooseWorker(service, { own, foreign, offer(64'000) }) == 2U);
}

TEST_CASE("harmless backfill runs beside services and leaves workers without services to disturbing backfill")
{
    WorkerOffer services = offer(0);
    services.serves = true;
    CHECK(chooseWorker(need(7000, true), { offer(64'000), services }) == 1U);
    services.backfillPace = 0.5;
    CHECK(chooseWorker(need(7000, true), { offer(64'000), services }) == 0U);
}
