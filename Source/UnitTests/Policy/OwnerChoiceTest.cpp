// Near hosts are preferred as owners of cells, and no small host gets more than its share.
#include "Policy/OwnerChoice.h"

#include <doctest/doctest.h>

#include <map>

using namespace Policy;

namespace {

/// Three domains with two hosts each, and a cell in each domain; `salt` changes their hashes.
std::vector<CellCandidates> smallFleet(int salt)
{
    const std::vector<std::string> domains { "yard", "shed", "loft" };
    std::vector<CellCandidates> cells;
    for (const std::string& domain : domains) {
        CellCandidates row { domain + "-0", {} };
        for (int host = 0; host < 6; ++host)
            row.hosts.push_back({ "10.0." + std::to_string(salt) + "." + std::to_string(host) + ":7000", 100,
                domains[static_cast<size_t>(host) / 2] == domain, true, true });
        cells.push_back(std::move(row));
    }
    return cells;
}

} // namespace

TEST_CASE("no host is the first choice for two cells while others have none")
{
    for (int salt = 0; salt < 200; ++salt) {
        CAPTURE(salt);
        std::map<size_t, int> owned;
        for (const std::vector<size_t>& order : rankCellOwners(smallFleet(salt)))
            CHECK(++owned[order.front()] == 1);
    }
}

TEST_CASE("shares follow the weights of the hosts, and hosts without access to the store get none")
{
    for (int salt = 0; salt < 100; ++salt) {
        CAPTURE(salt);
        std::vector<CellCandidates> cells;
        for (int cell = 0; cell < 12; ++cell) {
            CellCandidates row { "cell-" + std::to_string(salt) + "-" + std::to_string(cell), {} };
            row.hosts.push_back({ "small:1", 100, true, true, true });
            row.hosts.push_back({ "large:1", 500, true, true, true });
            row.hosts.push_back({ "away:1", 500, true, true, false });
            cells.push_back(std::move(row));
        }
        std::map<size_t, int> owned;
        for (const std::vector<size_t>& order : rankCellOwners(cells))
            ++owned[order.front()];
        CHECK(owned[0] <= 2);
        CHECK(owned[1] >= 10);
        CHECK(owned[2] == 0);
        // Without access to the store on any host, the shares follow the weights.
        for (CellCandidates& cell : cells) {
            for (OwnerCandidate& host : cell.hosts)
                host.storeAvailable = false;
        }
        owned.clear();
        for (const std::vector<size_t>& order : rankCellOwners(cells))
            ++owned[order.front()];
        CHECK(owned[0] <= 2);
        CHECK(owned[1] <= 6);
        CHECK(owned[2] <= 6);
    }
}

TEST_CASE("a host that leaves moves few cells of the other hosts")
{
    std::vector<CellCandidates> cells;
    for (int cell = 0; cell < 40; ++cell) {
        CellCandidates row { "cell-" + std::to_string(cell), {} };
        for (int host = 0; host < 10; ++host)
            row.hosts.push_back({ "host" + std::to_string(host) + ":1", 100, true, true, true });
        cells.push_back(std::move(row));
    }
    const auto before = rankCellOwners(cells);
    for (CellCandidates& cell : cells)
        cell.hosts.pop_back();
    const auto after = rankCellOwners(cells);
    int moved = 0;
    for (size_t cell = 0; cell < cells.size(); ++cell)
        moved += before[cell].front() != 9 && before[cell].front() != after[cell].front() ? 1 : 0;
    CHECK(moved <= 10);
}

TEST_CASE("a host that is too small for a cell ranks first for none while larger hosts can take them all")
{
    for (int salt = 0; salt < 100; ++salt) {
        CAPTURE(salt);
        std::vector<CellCandidates> cells;
        for (int cell = 0; cell < 18; ++cell) {
            CellCandidates row { "cell-" + std::to_string(salt) + "-" + std::to_string(cell), {} };
            for (int host = 0; host < 43; ++host) {
                const int64_t weight = host < 12 ? 500 : 69;
                row.hosts.push_back({ "host" + std::to_string(host) + ":1", weight, host % 6 == cell % 6, true, true });
            }
            cells.push_back(std::move(row));
        }
        std::map<size_t, int> owned;
        for (const std::vector<size_t>& order : rankCellOwners(cells))
            ++owned[order.front()];
        for (const auto& [host, count] : owned) {
            CHECK(host < 12);
            CHECK(count <= 2);
        }
        // Without the large hosts the small ones share the cells.
        for (CellCandidates& cell : cells)
            cell.hosts.erase(cell.hosts.begin(), cell.hosts.begin() + 12);
        owned.clear();
        for (const std::vector<size_t>& order : rankCellOwners(cells))
            ++owned[order.front()];
        CHECK(owned.size() == 18);
    }
}

TEST_CASE("a late host ranks first for no cell while most of the fleet is in time")
{
    for (int salt = 0; salt < 100; ++salt) {
        CAPTURE(salt);
        std::vector<CellCandidates> cells = smallFleet(salt);
        for (CellCandidates& cell : cells)
            cell.hosts[0].late = cell.hosts[3].late = true;
        for (const std::vector<size_t>& order : rankCellOwners(cells)) {
            CHECK(order.front() != 0);
            CHECK(order.front() != 3);
        }
    }
}

TEST_CASE("lateness is ignored when most of the fleet is late")
{
    for (int salt = 0; salt < 100; ++salt) {
        CAPTURE(salt);
        std::vector<CellCandidates> cells = smallFleet(salt);
        const auto ranks = rankCellOwners(cells);
        for (CellCandidates& cell : cells) {
            for (size_t host = 0; host < 4; ++host)
                cell.hosts[host].late = true;
        }
        CHECK(rankCellOwners(cells) == ranks);
    }
}
