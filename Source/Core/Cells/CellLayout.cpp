// Assignment of workers to cells by failure domain and rack, and the JSON form of the layout.
#include "Cells/CellLayout.h"

#include "Common/Hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cells {

namespace {

    CellId cellId(const Common::DomainId& domain, uint64_t index)
    {
        return CellId(domain.value() + "-" + std::to_string(index));
    }

} // namespace

CellLayout::CellLayout(std::map<Common::DomainId, uint32_t> cellsPerDomain)
    : m_cellsPerDomain(std::move(cellsPerDomain))
{
}

CellLayout CellLayout::forWorkers(
    const std::vector<Common::DomainId>& domains, const std::vector<WorkerEntry>& workers, uint32_t workersPerCell)
{
    std::map<Common::DomainId, uint32_t> counts;
    for (const Common::DomainId& domain : domains)
        counts[domain] = 0;
    for (const WorkerEntry& worker : workers)
        ++counts[worker.domain];
    for (auto& [domain, count] : counts)
        count = std::max(1U, (count + workersPerCell / 2) / workersPerCell);
    return CellLayout(std::move(counts));
}

std::vector<CellId> CellLayout::cells() const
{
    std::vector<CellId> all;
    for (const auto& [domain, count] : m_cellsPerDomain) {
        for (uint32_t index = 0; index < count; ++index)
            all.push_back(cellId(domain, index));
    }
    return all;
}

CellId CellLayout::cellOf(const WorkerEntry& worker) const
{
    const auto found = m_cellsPerDomain.find(worker.domain);
    // Workers of a domain that was added later are assigned to the existing cells.
    if (found == m_cellsPerDomain.end()) {
        const std::vector<CellId> all = cells();
        return all.at(Common::stableHash(worker.domain.value()) % all.size());
    }
    const std::string& group = worker.rack.empty() ? worker.id.value() : worker.rack.value();
    return cellId(found->first, Common::stableHash(group) % found->second);
}

Common::DomainId CellLayout::domainOf(const CellId& cell) const
{
    return Common::DomainId(cell.value().substr(0, cell.value().rfind('-')));
}

std::string CellLayout::encode() const
{
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [domain, count] : m_cellsPerDomain)
        object[domain.value()] = count;
    return object.dump();
}

Common::Result<CellLayout> CellLayout::decode(std::string_view text)
{
    try {
        std::map<Common::DomainId, uint32_t> counts;
        const nlohmann::json object = nlohmann::json::parse(text);
        for (const auto& [domain, count] : object.items())
            counts.emplace(Common::DomainId(domain), std::max(1U, count.get<uint32_t>()));
        return CellLayout(std::move(counts));
    } catch (const nlohmann::json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("cell layout: ") + error.what(), {} };
    }
}

} // namespace Cells
