// Tests of the distribution of workers over cells.
#include "Cells/CellLayout.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace Cells;

namespace {

const Common::DomainId yard("yard");

WorkerEntry workerOn(const std::string& rack, uint32_t number)
{
    WorkerEntry entry;
    entry.id = Common::WorkerId("w" + std::to_string(number));
    entry.domain = yard;
    entry.rack = Common::RackId(rack);
    return entry;
}

/// Racks of equal size, whose names depend on `salt`.
std::vector<WorkerEntry> racksOf(uint32_t racks, uint32_t workersEach, uint32_t salt)
{
    std::vector<WorkerEntry> workers;
    for (uint32_t rack = 0; rack < racks; ++rack) {
        for (uint32_t index = 0; index < workersEach; ++index)
            workers.push_back(workerOn(
                "r" + std::to_string(salt) + "-" + std::to_string(rack), static_cast<uint32_t>(workers.size())));
    }
    return workers;
}

std::map<CellId, uint32_t> sizesOf(const CellLayout& layout, const std::vector<WorkerEntry>& workers)
{
    std::map<CellId, uint32_t> sizes;
    for (const CellId& cell : layout.cells())
        sizes[cell] = 0;
    for (const WorkerEntry& worker : workers)
        ++sizes[layout.cellOf(worker)];
    return sizes;
}

} // namespace

TEST_CASE("no cell is empty or has twice its share of the workers when a domain has few racks")
{
    constexpr uint32_t workersPerCell = 20;
    for (uint32_t salt = 0; salt < 100; ++salt) {
        CAPTURE(salt);
        for (const auto& [racks, workersEach] :
            std::vector<std::pair<uint32_t, uint32_t>> { { 3, 20 }, { 10, 8 }, { 7, 20 }, { 2, 40 } }) {
            const std::vector<WorkerEntry> workers = racksOf(racks, workersEach, salt);
            const CellLayout layout = CellLayout::forWorkers({ yard }, workers, workersPerCell);
            const std::map<CellId, uint32_t> sizes = sizesOf(layout, workers);
            const auto share = static_cast<uint32_t>(workers.size() / sizes.size());
            for (const auto& row : sizes) {
                CAPTURE(row.first.value());
                CHECK(row.second > 0);
                CHECK(row.second < 2 * share);
            }
        }
    }
}

TEST_CASE("a layout that was read back assigns workers of known and unknown racks to the same cells")
{
    const std::vector<WorkerEntry> workers = racksOf(5, 16, 1);
    const CellLayout layout = CellLayout::forWorkers({ yard, Common::DomainId("shed") }, workers, 20);
    const auto read = CellLayout::decode(layout.encode());
    REQUIRE(read.hasValue());
    CHECK(read->cells() == layout.cells());
    for (const WorkerEntry& worker : workers)
        CHECK(read->cellOf(worker) == layout.cellOf(worker));
    const std::vector<CellId> cells = layout.cells();
    for (const WorkerEntry& added : racksOf(5, 2, 2)) {
        CHECK(read->cellOf(added) == layout.cellOf(added));
        CHECK(std::count(cells.begin(), cells.end(), layout.cellOf(added)) == 1);
    }
}

TEST_CASE("a layout without racks, as earlier releases wrote it, is read")
{
    const auto read = CellLayout::decode(R"({"shed":1,"yard":3})");
    REQUIRE(read.hasValue());
    CHECK(read->cells().size() == 4);
    for (const WorkerEntry& worker : racksOf(6, 1, 3))
        CHECK(read->domainOf(read->cellOf(worker)) == yard);
}

TEST_CASE("a layout that isn't one is refused")
{
    for (const char* const text : { "", "[]", R"({"yard":"many"})", R"({"yard":{"cells":2}})" }) {
        CAPTURE(text);
        CHECK_FALSE(CellLayout::decode(text).hasValue());
    }
}
