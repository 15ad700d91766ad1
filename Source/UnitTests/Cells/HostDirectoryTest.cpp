// Tests of the directory of live hosts.
#include "Cells/HostDirectory.h"

#include <doctest/doctest.h>

#include <string>

using namespace Cells;
using namespace std::chrono_literals;

namespace {

struct Directory {
    HostSettings settings;
    HostDirectory hosts { settings };
    Common::MonotonicTime now {};

    static HostHeartbeat heartbeatOf(const std::string& name)
    {
        HostHeartbeat heartbeat;
        heartbeat.id = Common::DaemonId(name + "@1");
        heartbeat.address = name + ":1";
        heartbeat.heartbeatAddress = name + ":2";
        heartbeat.transitioningCells.emplace();
        heartbeat.knownAddresses = { "other:2" };
        return heartbeat;
    }
    void receive(const HostHeartbeat& heartbeat) { hosts.recordHeartbeat(heartbeat, heartbeat.encode(), now); }
};

} // namespace

TEST_CASE("a repeated heartbeat keeps its host and the addresses that it lists alive")
{
    Directory directory;
    const HostHeartbeat heartbeat = Directory::heartbeatOf("a");
    directory.receive(heartbeat);
    for (int repetition = 0; repetition < 20; ++repetition) {
        directory.now += 500ms;
        directory.hosts.expire(directory.now);
        const HostHeartbeat* const repeated
            = directory.hosts.recordRepeatedHeartbeat(heartbeat.encode(), directory.now);
        REQUIRE(repeated);
        CHECK(repeated->id == heartbeat.id);
    }
    CHECK(directory.hosts.isAlive(heartbeat.id, directory.now));
    CHECK(directory.hosts.heartbeatAddresses().contains("other:2"));
}

TEST_CASE("a heartbeat that says something new, or comes from a silent host, isn't taken for a repeated one")
{
    Directory directory;
    HostHeartbeat heartbeat = Directory::heartbeatOf("a");
    directory.receive(heartbeat);
    const std::string before = heartbeat.encode();
    heartbeat.configVersion = 7;
    CHECK_FALSE(directory.hosts.recordRepeatedHeartbeat(heartbeat.encode(), directory.now));
    directory.now += 3s;
    CHECK_FALSE(directory.hosts.recordRepeatedHeartbeat(before, directory.now));
}

TEST_CASE("heartbeats of hosts that own or release cells are always decoded")
{
    Directory directory;
    HostHeartbeat owner = Directory::heartbeatOf("a");
    owner.cells.push_back({ CellId("yard-0"), FencingToken { 1 }, {}, {} });
    HostHeartbeat releasing = Directory::heartbeatOf("b");
    releasing.released.emplace_back("yard-1");
    for (const HostHeartbeat& heartbeat : { owner, releasing }) {
        directory.receive(heartbeat);
        CHECK_FALSE(directory.hosts.recordRepeatedHeartbeat(heartbeat.encode(), directory.now));
    }
}
