// Two rings: the hosts of each domain, and all hosts, each ordered by position.
#include "Policy/WatchRing.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>

namespace Policy {

namespace {

    constexpr size_t watchersInDomain = 2;

    /// Adds the hosts that follow `ring[at]` and that `accepts` to `watchers` until it has `count` of them.
    template <typename Accepts>
    void addSuccessors(
        const std::vector<size_t>& ring, size_t at, size_t count, std::vector<size_t>& watchers, Accepts accepts)
    {
        for (size_t step = 1; step < ring.size() && watchers.size() < count; ++step) {
            const size_t next = ring[(at + step) % ring.size()];
            if (accepts(next) && std::find(watchers.begin(), watchers.end(), next) == watchers.end())
                watchers.push_back(next);
        }
    }

} // namespace

std::vector<std::vector<size_t>> watchersOf(const std::vector<RingHost>& hosts)
{
    std::vector<std::vector<size_t>> watchers(hosts.size());
    std::vector<size_t> fleet(hosts.size());
    std::iota(fleet.begin(), fleet.end(), size_t { 0 });
    std::sort(fleet.begin(), fleet.end(), [&](size_t a, size_t b) { return hosts[a].position < hosts[b].position; });
    const auto any = [](size_t) { return true; };
    std::map<std::string_view, std::vector<size_t>> domains;
    for (const size_t host : fleet)
        domains[hosts[host].domain].push_back(host);
    if (hosts.size() > smallFleet) {
        for (const auto& [domain, ring] : domains) {
            for (size_t at = 0; at < ring.size(); ++at)
                addSuccessors(ring, at, watchersInDomain, watchers[ring[at]], any);
        }
    }
    for (size_t at = 0; at < fleet.size(); ++at) {
        const size_t host = fleet[at];
        if (hosts.size() > smallFleet && domains.size() > 1) {
            addSuccessors(fleet, at, maximumWatchers, watchers[host],
                [&](size_t other) { return hosts[other].domain != hosts[host].domain; });
        }
        addSuccessors(fleet, at, hosts.size() > smallFleet ? maximumWatchers : smallFleet, watchers[host], any);
    }
    return watchers;
}

} // namespace Policy
