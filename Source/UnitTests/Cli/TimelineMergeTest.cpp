// Merging of the events of several processes, and their JSON.
#include "Cli/TimelineMerge.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

using namespace Cli;
using Common::Event;
using Common::EventKind;

namespace {

Event event(int64_t wall, uint32_t counter, const std::string& process, const std::string& request)
{
    return Event {
        .time = { wall, counter }, .process = process, .kind = EventKind::RequestAdmitted, .request = request
    };
}

} // namespace

TEST_CASE("events are ordered by time, counter and process")
{
    const ProcessTimeline first { "a", 0, { event(10, 0, "a", "r1"), event(20, 1, "a", "r2") } };
    const ProcessTimeline second { "b", 0, { event(10, 1, "b", "r3"), event(20, 1, "b", "r4") } };
    const std::vector<Event> merged = mergeTimelines({ second, first, first });
    REQUIRE(merged.size() == 4);
    CHECK(merged[0].request == "r1");
    CHECK(merged[1].request == "r3");
    CHECK(merged[2].request == "r2");
    CHECK(merged[3].request == "r4");
}

TEST_CASE("the merge does not depend on the order of the answers")
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::vector<ProcessTimeline> timelines(4);
        for (int index = 0; index < 60; ++index)
            timelines[random() % 4].events.push_back(event(static_cast<int64_t>(random() % 10), random() % 3,
                std::to_string(random() % 4), std::to_string(index)));
        const std::string rendered = renderEvents(mergeTimelines(timelines));
        std::shuffle(timelines.begin(), timelines.end(), random);
        CHECK(renderEvents(mergeTimelines(timelines)) == rendered);
    }
}

TEST_CASE("an event is the same after JSON encoding and decoding, and optional members may be missing")
{
    Event original = event(1733280000123, 3, "catania-1@5f0c", "r-1");
    original.note = std::string("a remark");
    original.attempt = 2;
    original.configRevision = 8;
    const nlohmann::json answer { { "process", "p" }, { "events", { toJson(original) } } };
    const auto timeline = timelineFromJson(answer);
    REQUIRE(timeline);
    REQUIRE(timeline->events.size() == 1);
    CHECK(toJson(timeline->events[0]) == toJson(original));
    const auto small = timelineFromJson(nlohmann::json::parse(
        R"({"process": "p", "events": [{"time": {"wallMs": 5, "counter": 0}, "process": "p", "kind": "of-the-future"}]})"));
    REQUIRE(small);
    CHECK(small->events[0].note == "(of-the-future) ");
    CHECK_FALSE(timelineFromJson(nlohmann::json::parse(R"({"process": "p", "events": [5]})")));
    CHECK_FALSE(timelineFromJson(nlohmann::json::parse(R"({"process": "p"})")));
}

TEST_CASE("times are shown in UTC with milliseconds")
{
    CHECK(renderTime(1733280000123) == "2024-12-04 02:40:00.123");
    CHECK(renderTime(0) == "1970-01-01 00:00:00.000");
}
