// A fleet of many small hosts that accept and forward, and a few large ones that own the cells.
#pragma once

#include "Cells/CellWorld.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace CellTests {

/// Six domains in two regions. An eighth of the hosts is large; each large host owns about three cells of four workers.
struct LargeFleet : CellWorld {
    static constexpr size_t hostsPerLargeHost = 8;
    static constexpr size_t cellsPerLargeHost = 3;
    static constexpr int64_t largeWeight = 500;
    static constexpr int64_t smallWeight = 69;
    static constexpr uint32_t workersEach = 4;

    std::vector<std::string> domains { "a-yard", "b-loft", "c-shed", "d-bench", "e-kiln", "f-atelier" };
    size_t cells = 0;

    LargeFleet(size_t hostCount, uint64_t seed)
        : CellWorld(seed)
    {
        mostSeeds = 3;
        workersPerCell = workersEach;
        region = [](const std::string& domain) { return (domain[0] - 'a') % 2 == 0 ? "east" : "west"; };
        const size_t largeHosts = std::max(hostCount / hostsPerLargeHost, domains.size());
        const size_t perDomain = (largeHosts * cellsPerLargeHost + domains.size() - 1) / domains.size();
        for (const std::string& domain : domains)
            addWorkers(domain, perDomain * workersEach, 4000);
        cells = perDomain * domains.size();
        for (size_t index = 0; index < hostCount; ++index) {
            const std::string& domain = domains[index % domains.size()];
            addHost(
                domain, domain + std::to_string(index) + ":1", isLarge(index, largeHosts) ? largeWeight : smallWeight);
        }
    }
    /// Large hosts are spread over the start order, so that the seeds aren't all large.
    static bool isLarge(size_t index, size_t largeHosts) { return index >= 4 && index - 4 < largeHosts; }
    static bool isLarge(const WorldHost& host) { return host.settings.weight == largeWeight; }

    /// The live hosts that hold each cell and may act.
    std::map<Cells::CellId, std::vector<WorldHost*>> holders()
    {
        std::map<Cells::CellId, std::vector<WorldHost*>> found;
        for (WorldHost* const host : live()) {
            for (const auto& [cell, engine] : host->cellOwnership.engines()) {
                if (engine->mayGrantLeases())
                    found[cell].push_back(host);
            }
        }
        return found;
    }
    size_t ownedCells() { return holders().size(); }
    bool hasDoubleOwner()
    {
        const auto found = holders();
        return std::any_of(found.begin(), found.end(), [](const auto& row) { return row.second.size() > 1; });
    }
    /// Sum of the tokens of all owned cells: grows with each change of an owner.
    uint64_t tokens()
    {
        uint64_t sum = 0;
        for (WorldHost* const host : live()) {
            for (const auto& [cell, engine] : host->cellOwnership.engines())
                sum += engine->token().value;
        }
        return sum;
    }
    /// Advances until each cell has one owner that may act, for at most `span`; the time that took.
    Common::Duration untilAllOwned(Common::Duration span)
    {
        const Common::MonotonicTime begin = clock.now();
        while (ownedCells() < cells && clock.now() - begin < span)
            clock.advance(std::chrono::milliseconds(100));
        return clock.now() - begin;
    }
    /// Cuts all links between hosts of which exactly one is chosen, and between chosen ones and the store.
    void cutOff(const std::function<bool(const WorldHost&)>& isChosen)
    {
        for (const auto& host : hosts) {
            if (!isChosen(*host))
                continue;
            for (const auto& other : hosts) {
                if (isChosen(*other))
                    continue;
                network.cut(host->address, other->address);
                network.cut(other->address, host->address);
            }
            network.cut(host->address, Fakes::FakeRecordStore::address);
            network.cut(Fakes::FakeRecordStore::address, host->address);
        }
    }
};

} // namespace CellTests
