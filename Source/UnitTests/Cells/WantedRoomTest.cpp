// Tests the form in which owners tell each other what room they want and what room they keep.
#include "Cells/CellReport.h"
#include "Cells/GossipFrame.h"
#include "Cells/HostHeartbeat.h"
#include "Cells/PromisedRoom.h"

#include "Fakes/OddJson.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

Cells::WantedRoom someWant()
{
    Cells::WantedRoom want;
    want.question.task = { Common::JobId("0000000000000007"), 2, 1, 12 };
    want.question.service = Common::ServiceName("desk");
    want.question.priority = 3;
    want.question.spec.resources = Common::Resources { 0, 12'350, 2048, 1 };
    want.question.spec.requiredLabel = "fast";
    want.question.spec.maximumPerWorker = 1;
    want.question.spec.taskCount = 9;
    want.question.spec.longRunning = true;
    want.waited = 1250ms;
    return want;
}

Cells::HostHeartbeat heartbeatWith(const std::vector<Cells::WantedRoom>& wanted)
{
    Cells::HostHeartbeat heartbeat;
    heartbeat.id = Common::DaemonId("a@1");
    heartbeat.address = "10.0.0.1:81";
    heartbeat.heartbeatAddress = "10.0.0.1:82";
    Cells::CellLoad load;
    load.capacityMilliCores = 64'000;
    load.takesScheduledTasks = true;
    load.wantedRoom = wanted;
    heartbeat.cells.push_back({ Cells::CellId("yard-0"), Cells::FencingToken { 3 }, load, {} });
    return heartbeat;
}

void checkIsSome(const Cells::WantedRoom& read)
{
    const Cells::WantedRoom want = someWant();
    CHECK(read.question.task == want.question.task);
    CHECK(read.question.service == want.question.service);
    CHECK(read.question.priority == 3);
    CHECK(read.question.spec.resources == want.question.spec.resources);
    CHECK(read.question.spec.requiredLabel == "fast");
    CHECK(read.question.spec.maximumPerWorker == 1);
    CHECK(read.question.spec.taskCount == 9);
    CHECK(read.question.spec.longRunning);
    CHECK(read.waited == 1250ms);
}

constexpr size_t wantedElement = 16;

} // namespace

TEST_CASE("wanted room in a heartbeat is read as it was written")
{
    Cells::WantedRoom other = someWant();
    other.question.task = { Common::JobId("0000000000000008"), 0, 0, 0 };
    const auto read = Cells::HostHeartbeat::decode(heartbeatWith({ someWant(), other }).encode());
    REQUIRE(read);
    const std::vector<Cells::WantedRoom>& wanted = read->cells.at(0).load.wantedRoom;
    REQUIRE(wanted.size() == 2);
    checkIsSome(wanted[0]);
    CHECK(wanted[1].question.task == other.question.task);
}

TEST_CASE("wanted room in a cell's report is read as it was written")
{
    const Cells::HostHeartbeat heartbeat = heartbeatWith({ someWant() });
    const Cells::CellReport report { heartbeat.id, heartbeat.cells[0], 5 };
    const std::string text = std::string(1, Cells::gossipFormat) + Cells::GossipFrame {}.encode() + report.encode();
    const auto frames = Cells::readGossip(text);
    REQUIRE(frames);
    REQUIRE(frames->size() == 2);
    const auto read = Cells::CellReport::decode(frames->at(1));
    REQUIRE(read);
    REQUIRE(read->cell.load.wantedRoom.size() == 1);
    checkIsSome(read->cell.load.wantedRoom[0]);
}

TEST_CASE("a load of an earlier version wants no room")
{
    Json old = Json::parse(heartbeatWith({ someWant() }).encode());
    REQUIRE(old["cells"][0].size() == wantedElement + 1);
    old["cells"][0].erase(wantedElement);
    const auto read = Cells::HostHeartbeat::decode(old.dump());
    REQUIRE(read);
    CHECK(read->cells.at(0).load.wantedRoom.empty());
    CHECK(read->cells.at(0).load.takesScheduledTasks);
    CHECK(read->cells.at(0).load.capacityMilliCores == 64'000);
}

// Guards against a host that stops at what another release or a faulty peer sends.
TEST_CASE("odd wanted room is refused")
{
    const Json good = Json::parse(heartbeatWith({ someWant() }).encode());
    const size_t elements = good["cells"][0][wantedElement][0].size();
    REQUIRE(elements == 13);
    for (size_t element = 0; element < elements; ++element) {
        for (const Json& odd :
            { Json::array({ -1, "x" }), Json::object(), Json(-1), Json(1e300), Json(true), Json() }) {
            CAPTURE(element);
            CAPTURE(odd.dump());
            Json heartbeat = good;
            heartbeat["cells"][0][wantedElement][0][element] = odd;
            CHECK_FALSE(Cells::HostHeartbeat::decode(heartbeat.dump()));
        }
        Json shorter = good;
        shorter["cells"][0][wantedElement][0].erase(element);
        CHECK_FALSE(Cells::HostHeartbeat::decode(shorter.dump()));
    }
    for (const char* const text : { "{}", "5", "null", "[5]", "[[]]", "[{}]", "[null]" }) {
        CAPTURE(text);
        Json heartbeat = good;
        heartbeat["cells"][0][wantedElement] = Json::parse(text);
        CHECK_FALSE(Cells::HostHeartbeat::decode(heartbeat.dump()));
    }
    const std::string nested = Fakes::nestedLists(Fakes::excessiveDepth);
    CHECK_FALSE(Cells::HostHeartbeat::decode(Fakes::withReplaced(good.dump(), R"("desk")", nested)));
}

TEST_CASE("promised room is read as it was written")
{
    const Cells::PromisedRoom room { { Common::JobId("0000000000000007"), 2, 1, 12 }, Cells::CellId("yard-3"), 5 };
    const auto read = Cells::promisedRoomFromJson(Json::parse(Cells::promisedRoomToJson(room).dump()));
    REQUIRE(read);
    CHECK(read->task == room.task);
    CHECK(read->cell == room.cell);
    CHECK(read->tasks == 5);
}

TEST_CASE("odd promised room is refused")
{
    const Json good
        = Cells::promisedRoomToJson({ { Common::JobId("0000000000000007"), 2, 1, 12 }, Cells::CellId("yard-3"), 5 });
    for (const char* const member : { "task", "room", "tasks" }) {
        CAPTURE(member);
        Json odd = good;
        odd.erase(member);
        CHECK_FALSE(Cells::promisedRoomFromJson(odd));
        odd[member] = Json::array({ -1, "x" });
        CHECK_FALSE(Cells::promisedRoomFromJson(odd));
        odd[member] = nullptr;
        CHECK_FALSE(Cells::promisedRoomFromJson(odd));
    }
    for (const std::string& number : Fakes::oddNumbers()) {
        CAPTURE(number);
        Json odd = good;
        odd["tasks"] = Json::parse(number);
        CHECK_FALSE(Cells::promisedRoomFromJson(odd));
        for (const size_t element : { 1, 2, 3 }) {
            odd = good;
            odd["task"][element] = Json::parse(number);
            CHECK_FALSE(Cells::promisedRoomFromJson(odd));
        }
    }
    CHECK_FALSE(Cells::promisedRoomFromJson(Json::array()));
    CHECK_FALSE(Cells::promisedRoomFromJson(Json()));
}
