// Assignment of workers to cells by failure domain and rack, and the JSON form of the layout.
#include "Cells/CellLayout.h"

#include "Common/Hash.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"
#include "Common/JsonParser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Cells {

namespace {

    CellId cellId(const Common::DomainId& domain, uint64_t index)
    {
        return CellId(domain.value() + "-" + std::to_string(index));
    }

    using Common::JsonField;

    /// Of one failure domain.
    constexpr uint32_t maximumCells = 10'000;
    constexpr const char* countMember = "cells";
    constexpr const char* racksMember = "racks";

    /// Workers of one failure domain.
    struct WorkerCounts {
        uint32_t all = 0;
        std::map<Common::RackId, uint32_t> byRack;
    };

    /// Assigns the largest rack first, each to the cell that has the fewest workers by then.
    CellLayout::DomainCells distribute(const WorkerCounts& workers, uint32_t workersPerCell)
    {
        CellLayout::DomainCells cells;
        cells.count = std::max(1U, (workers.all + workersPerCell / 2) / workersPerCell);
        if (!workers.byRack.empty())
            cells.count = std::min(cells.count, static_cast<uint32_t>(workers.byRack.size()));
        std::vector<std::pair<Common::RackId, uint32_t>> racks(workers.byRack.begin(), workers.byRack.end());
        std::stable_sort(racks.begin(), racks.end(), [](const auto& a, const auto& b) { return a.second > b.second; });
        std::vector<uint32_t> sizes(cells.count, 0);
        for (const auto& [rack, count] : racks) {
            const auto smallest = std::min_element(sizes.begin(), sizes.end());
            *smallest += count;
            cells.racks.emplace(rack, static_cast<uint32_t>(smallest - sizes.begin()));
        }
        return cells;
    }

    /// Layouts of an earlier version have the number of cells only.
    CellLayout::DomainCells domainFromJson(const JsonField& value)
    {
        CellLayout::DomainCells cells;
        const bool hasRacks = value.isObject();
        cells.count = std::max(1U, (hasRacks ? value[countMember] : value).count(maximumCells));
        if (!hasRacks)
            return cells;
        for (const auto& [rack, index] : value[racksMember].object().items())
            cells.racks.emplace(Common::RackId(rack), JsonField(index, "a rack's cell").count() % cells.count);
        return cells;
    }

} // namespace

CellLayout::CellLayout(std::map<Common::DomainId, DomainCells> domains)
    : m_domains(std::move(domains))
{
}

CellLayout CellLayout::forWorkers(
    const std::vector<Common::DomainId>& domains, const std::vector<WorkerEntry>& workers, uint32_t workersPerCell)
{
    std::map<Common::DomainId, WorkerCounts> counts;
    for (const Common::DomainId& domain : domains)
        counts[domain];
    for (const WorkerEntry& worker : workers) {
        WorkerCounts& ofDomain = counts[worker.domain];
        ++ofDomain.all;
        if (!worker.rack.empty())
            ++ofDomain.byRack[worker.rack];
    }
    std::map<Common::DomainId, DomainCells> cells;
    for (const auto& [domain, ofDomain] : counts)
        cells.emplace(domain, distribute(ofDomain, workersPerCell));
    return CellLayout(std::move(cells));
}

std::vector<CellId> CellLayout::cells() const
{
    std::vector<CellId> all;
    for (const auto& [domain, cells] : m_domains) {
        for (uint32_t index = 0; index < cells.count; ++index)
            all.push_back(cellId(domain, index));
    }
    return all;
}

CellId CellLayout::cellOf(const WorkerEntry& worker) const
{
    const auto found = m_domains.find(worker.domain);
    // Workers of a domain that was added later are assigned to the existing cells.
    if (found == m_domains.end()) {
        const std::vector<CellId> all = cells();
        return all.at(Common::stableHash(worker.domain.value()) % all.size());
    }
    const DomainCells& domain = found->second;
    if (const auto rack = domain.racks.find(worker.rack); rack != domain.racks.end())
        return cellId(found->first, rack->second);
    const std::string& group = worker.rack.empty() ? worker.id.value() : worker.rack.value();
    return cellId(found->first, Common::stableHash(group) % domain.count);
}

Common::DomainId CellLayout::domainOf(const CellId& cell) const
{
    return Common::DomainId(cell.value().substr(0, cell.value().rfind('-')));
}

std::string CellLayout::encode() const
{
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [domain, cells] : m_domains) {
        nlohmann::json racks = nlohmann::json::object();
        for (const auto& [rack, index] : cells.racks)
            racks[rack.value()] = index;
        object[domain.value()] = { { countMember, cells.count }, { racksMember, std::move(racks) } };
    }
    return object.dump();
}

Common::Result<CellLayout> CellLayout::decode(std::string_view text)
{
    try {
        std::map<Common::DomainId, DomainCells> domains;
        const nlohmann::json parsed = Common::parseJsonOrThrow(text);
        for (const auto& [domain, value] : JsonField(parsed, "the layout").object().items())
            domains.emplace(Common::DomainId(domain), domainFromJson(JsonField(value, "a domain")));
        if (domains.empty())
            throw Common::JsonFault("the layout has no cells");
        return CellLayout(std::move(domains));
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("cell layout: ") + fault.what(), {} };
    }
}

} // namespace Cells
