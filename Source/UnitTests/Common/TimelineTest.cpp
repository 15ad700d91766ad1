// The timeline orders events and stays bounded.
#include "Common/Timeline.h"

#include <doctest/doctest.h>

using namespace Common;

TEST_CASE("stamps increase while the wall clock stands still or steps back")
{
    int64_t wall = 1000;
    Timeline timeline("a", 10, [&] { return wall; });
    const HybridTime first = timeline.stampNow();
    wall = 900;
    const HybridTime second = timeline.stampNow();
    CHECK(second > first);
    timeline.clock().receive(HybridTime { 5000, 3 });
    CHECK(timeline.stampNow() > HybridTime { 5000, 3 });
}

TEST_CASE("a full timeline drops the oldest event and counts it")
{
    Timeline timeline("a", 2, [] { return int64_t { 1 }; });
    for (const char* job : { "j1", "j2", "j3" })
        timeline.record(Event { .kind = EventKind::JobAccepted, .job = job });
    CHECK(timeline.dropped() == 1);
    const auto all = timeline.select(Event {}, HybridTime {});
    REQUIRE(all.size() == 2);
    CHECK(all[0].job == "j2");
    CHECK(timeline.select(Event { .job = "j3" }, HybridTime {}).size() == 1);
    CHECK(timeline.select(Event {}, all[0].time).size() == 1);
}
