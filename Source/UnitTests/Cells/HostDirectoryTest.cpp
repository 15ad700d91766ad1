// Tests of the directory of hosts: which are alive, and whose state counts.
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

    static HostState stateOf(const std::string& name, int64_t startedAt = 1)
    {
        HostState state;
        state.id = Common::DaemonId(name + "@" + std::to_string(startedAt));
        state.address = name + ":1";
        state.heartbeatAddress = name + ":2";
        state.startedAtMilliseconds = startedAt;
        return state;
    }
    static HostDirectory::Key keyOf(const std::string& name) { return HostDirectory::keyOf(stateOf(name).id); }
    bool learn(const HostState& state, uint64_t version = 1) { return hosts.recordState(state, version, {}, now); }
    /// Learns the host and hears it.
    void hear(const std::string& name)
    {
        learn(stateOf(name));
        hosts.recordContact(keyOf(name), now);
    }
    bool isAlive(const std::string& name) const { return hosts.isAlive(stateOf(name).id, now); }
};

} // namespace

TEST_CASE("a host that this one never hears itself is alive until others report its silence")
{
    Directory directory;
    directory.learn(Directory::stateOf("far"));
    for (int second = 0; second < 20; ++second) {
        directory.hear("near");
        CHECK(directory.isAlive("far"));
        directory.now += 1s;
    }
    directory.hosts.recordSilence(Directory::keyOf("far"), 1, 11, false, directory.now);
    CHECK(directory.isAlive("far"));
    directory.hosts.recordSilence(Directory::keyOf("far"), 1, 12, false, directory.now);
    CHECK_FALSE(directory.isAlive("far"));
}

TEST_CASE("a host that is silent to a single other one is alive, unless it doesn't refute the report in time")
{
    Directory directory;
    directory.hear("near");
    directory.learn(Directory::stateOf("far"));
    directory.hosts.recordSilence(Directory::keyOf("far"), 1, 11, false, directory.now);
    CHECK(directory.isAlive("far"));
    directory.now += 1900ms;
    directory.hear("near");
    CHECK(directory.isAlive("far"));
    CHECK(directory.learn(Directory::stateOf("far"), 2));
    directory.now += 10s;
    directory.hear("near");
    CHECK(directory.isAlive("far"));
    directory.hosts.recordSilence(Directory::keyOf("far"), 2, 11, false, directory.now);
    directory.now += 2s;
    directory.hear("near");
    CHECK_FALSE(directory.isAlive("far"));
}

TEST_CASE("a host that this one hears is alive, whatever others report")
{
    Directory directory;
    directory.hear("a");
    directory.hosts.recordSilence(Directory::keyOf("a"), 1, 11, false, directory.now);
    directory.hosts.recordSilence(Directory::keyOf("a"), 1, 12, false, directory.now);
    CHECK(directory.isAlive("a"));
    directory.now += 2s;
    directory.hear("near");
    CHECK_FALSE(directory.isAlive("a"));
}

TEST_CASE("a host that hears nobody takes nobody for alive")
{
    Directory directory;
    directory.hear("a");
    directory.learn(Directory::stateOf("far"));
    directory.now += 2s;
    CHECK_FALSE(directory.isAlive("a"));
    CHECK_FALSE(directory.isAlive("far"));
}

TEST_CASE("a report of silence about another version of the state doesn't count, and an older state is no news")
{
    Directory directory;
    directory.hear("near");
    directory.learn(Directory::stateOf("far"), 5);
    for (const uint64_t version : { 4, 6 }) {
        for (const uint64_t reporter : { 11, 12 })
            CHECK_FALSE(directory.hosts.recordSilence(Directory::keyOf("far"), version, reporter, true, directory.now));
    }
    CHECK(directory.isAlive("far"));
    CHECK_FALSE(directory.learn(Directory::stateOf("far"), 5));
    CHECK_FALSE(directory.learn(Directory::stateOf("far"), 4));
}

TEST_CASE("of several processes at one address only the one that started last counts")
{
    Directory directory;
    directory.hear("near");
    directory.learn(Directory::stateOf("a", 10));
    CHECK(directory.learn(Directory::stateOf("a", 20)));
    CHECK(directory.hosts.isReplaced(Common::DaemonId("a@10")));
    CHECK_FALSE(directory.hosts.find(Common::DaemonId("a@10")));
    CHECK_FALSE(directory.learn(Directory::stateOf("a", 10), 9));
    CHECK(directory.hosts.rowAt("a:1")->state.id == Common::DaemonId("a@20"));
}

TEST_CASE("seeds and mentioned addresses are unknown until a live host is known there")
{
    Directory directory;
    directory.settings.seeds = { "a:2", "b:2" };
    directory.hosts.learnAddress("c:2", directory.now);
    CHECK(directory.hosts.unknownAddresses(directory.now) == std::set<std::string> { "a:2", "b:2", "c:2" });
    directory.hear("a");
    directory.learn(Directory::stateOf("c"));
    CHECK(directory.hosts.unknownAddresses(directory.now) == std::set<std::string> { "b:2" });
}
