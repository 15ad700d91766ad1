// Messages of other hosts and records of cells with a wrong form: they are refused, and the process lives on.
#include "Cells/CellLayout.h"
#include "Cells/CellRecord.h"
#include "Cells/HostHeartbeat.h"
#include "Cells/TaskTransfer.h"

#include "Fakes/OddJson.h"

#include <doctest/doctest.h>

using namespace Cells;
using Fakes::withReplaced;

namespace {

std::string goodHeartbeat()
{
    HostHeartbeat heartbeat;
    heartbeat.id = Common::DaemonId("h1");
    heartbeat.address = "10.0.0.1:81";
    heartbeat.heartbeatAddress = "10.0.0.1:82";
    heartbeat.weight = 70;
    heartbeat.startedAtMilliseconds = 1234;
    heartbeat.configVersion = 6;
    HostHeartbeat::OwnedCell owned;
    owned.cell = CellId("yard-0");
    owned.token = FencingToken { 31 };
    owned.load.capacityMilliCores = 64000;
    owned.load.backfillMilliCores = -10;
    owned.load.services = { { "s", 64000 } };
    owned.load.pending = { { "r", 3 } };
    owned.pressureEstimates = { { "b", "s", 1.5, 0.25 } };
    heartbeat.cells.push_back(owned);
    heartbeat.knownAddresses = { "10.0.0.2:82" };
    return heartbeat.encode();
}

const std::string deepLists = Fakes::nestedLists(Fakes::excessiveDepth);

} // namespace

TEST_CASE("a heartbeat with a number that its field can't have is refused")
{
    const std::string good = goodHeartbeat();
    REQUIRE(HostHeartbeat::decode(good));
    for (const char* const field : { R"("weight":70)", R"("started":1234)", R"("config":6)" }) {
        const std::string name(field, std::string(field).find(':') + 1);
        for (const std::string& number : Fakes::oddNumbers()) {
            const std::string text = withReplaced(good, field, name + number);
            CAPTURE(text);
            CHECK_FALSE(HostHeartbeat::decode(text));
        }
    }
    for (const char* const token : { "-1", "1e300", "18446744073709551615", "null" })
        CHECK_FALSE(HostHeartbeat::decode(withReplaced(good, R"("yard-0",31)", R"("yard-0",)" + std::string(token))));
}

TEST_CASE("a host isn't taken for silent because a figure of its load is out of bounds")
{
    const std::string good = goodHeartbeat();
    for (const char* const number :
        { "9223372036854775807", "-9223372036854775808", "1e300", "18446744073709551615" }) {
        CAPTURE(number);
        const auto heartbeat = HostHeartbeat::decode(withReplaced(good, "31,64000", "31," + std::string(number)));
        REQUIRE(heartbeat);
        const int64_t capacity = heartbeat->cells[0].load.capacityMilliCores;
        CHECK(std::abs(static_cast<double>(capacity)) <= 1e15);
        CHECK(heartbeat->cells[0].load.backfillMilliCores == -10);
    }
}

TEST_CASE("a heartbeat with a port out of range is refused")
{
    for (const char* const address : { "10.0.0.1:81", "10.0.0.1:82", "10.0.0.2:82" }) {
        for (const char* const odd : { "10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1", ":81" })
            CHECK_FALSE(HostHeartbeat::decode(withReplaced(goodHeartbeat(), address, odd)));
    }
}

TEST_CASE("a message or record that is nested too deeply is refused and doesn't end the process")
{
    const std::string good = goodHeartbeat();
    for (const char* const member : { R"("cells":)", R"("released":)", R"("others":)", R"("weight":)" })
        CHECK_FALSE(HostHeartbeat::decode(withReplaced(good, member, member + deepLists + R"(,"old":)")));
    for (const std::string& text : { deepLists, R"({"a":)" + deepLists + "}" }) {
        CHECK_FALSE(CellRecord::decode(text));
        CHECK_FALSE(CellLayout::decode(text));
        CHECK_FALSE(TaskTransfer::decode(text));
    }
    CHECK_FALSE(CellRecord::decode(R"({"owner":"h","address":"a:1","token":1,"released":)" + deepLists + "}"));
}

TEST_CASE("a layout without cells or with a number of cells that no fleet has is refused")
{
    CHECK(CellLayout::decode(R"({"yard":3})"));
    for (const char* const text : { "{}", "[]", "5", R"({"yard":4294967295})", R"({"yard":-1})", R"({"yard":1e300})",
             R"({"yard":4294967297})", R"({"yard":{"cells":2}})", R"({"yard":{"cells":2,"racks":{"r":-1}}})" }) {
        CAPTURE(text);
        CHECK_FALSE(CellLayout::decode(text));
    }
}

TEST_CASE("a cell's record with a number that its field can't have is refused")
{
    const auto decode = [](const std::string& token) {
        return CellRecord::decode(R"({"owner":"h","address":"a:1","token":)" + token + R"(,"rewrites":1})");
    };
    REQUIRE(decode("7"));
    for (const std::string& number : Fakes::oddNumbers()) {
        CAPTURE(number);
        CHECK_FALSE(decode(number));
    }
}
