// Tests of which hosts watch which.
#include "Policy/WatchRing.h"

#include "Common/Hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace Policy;

namespace {

std::vector<RingHost> hostsOf(size_t count, size_t domains)
{
    std::vector<RingHost> hosts;
    for (size_t index = 0; index < count; ++index)
        hosts.push_back({ Common::stableHash("host" + std::to_string(index)), "d" + std::to_string(index % domains) });
    return hosts;
}

} // namespace

TEST_CASE("each host of a large fleet has two watchers in its domain and two outside, and watches about as many")
{
    for (const size_t count : { 25, 147, 1000 }) {
        CAPTURE(count);
        const std::vector<RingHost> hosts = hostsOf(count, 6);
        const auto watchers = watchersOf(hosts);
        std::vector<size_t> watched(count);
        for (size_t host = 0; host < count; ++host) {
            REQUIRE(watchers[host].size() == maximumWatchers);
            CHECK(std::set(watchers[host].begin(), watchers[host].end()).size() == maximumWatchers);
            CHECK(std::count_if(watchers[host].begin(), watchers[host].end(), [&](size_t other) {
                return hosts[other].domain == hosts[host].domain;
            }) == 2);
            for (const size_t watcher : watchers[host]) {
                CHECK(watcher != host);
                ++watched[watcher];
            }
        }
        CHECK(*std::max_element(watched.begin(), watched.end()) <= 3 * maximumWatchers);
    }
}

TEST_CASE("all hosts of a small fleet watch each other")
{
    for (size_t count = 1; count <= smallFleet; ++count) {
        const auto watchers = watchersOf(hostsOf(count, 3));
        for (size_t host = 0; host < count; ++host)
            CHECK(watchers[host].size() == count - 1);
    }
}

TEST_CASE("hosts of a single domain, and a host that is alone in its domain, have watchers too")
{
    for (const auto& watchers : watchersOf(hostsOf(40, 1)))
        CHECK(watchers.size() == maximumWatchers);
    std::vector<RingHost> hosts = hostsOf(40, 2);
    hosts[0].domain = "alone";
    CHECK(watchersOf(hosts)[0].size() == maximumWatchers);
}

TEST_CASE("the loss of a host changes few watchers of others")
{
    std::vector<RingHost> hosts = hostsOf(147, 6);
    const auto before = watchersOf(hosts);
    hosts.pop_back();
    const auto after = watchersOf(hosts);
    size_t changed = 0;
    for (size_t host = 0; host < hosts.size(); ++host)
        changed += before[host] != after[host] ? 1 : 0;
    CHECK(changed <= 3 * maximumWatchers);
}
