// JSON form of heartbeats, compact so that one fits into a datagram.
#include "Cells/HostHeartbeat.h"

#include "Cells/PressureEstimateCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cells {

namespace {

    using Json = nlohmann::json;

    Json cellToJson(const HostHeartbeat::OwnedCell& owned)
    {
        Json pending = Json::object();
        for (const auto& [route, count] : owned.load.pending)
            pending[route] = count;
        return Json::array(
            { owned.cell.value(), owned.token.value, owned.load.capacityMilliCores, owned.load.freeMilliCores,
                owned.load.backfillMilliCores, owned.load.waitingRegular, owned.load.waitingBackfill,
                owned.load.serving, owned.load.backfillCapacity, owned.load.largestFreeMilliCores, std::move(pending),
                pressureEstimatesToJson(owned.pressureEstimates), owned.load.services, owned.load.labels });
    }

    HostHeartbeat::OwnedCell cellFromJson(const Json& row)
    {
        HostHeartbeat::OwnedCell owned;
        owned.cell = CellId(row.at(0).get<std::string>());
        owned.token = FencingToken { row.at(1).get<uint64_t>() };
        owned.load.capacityMilliCores = row.at(2).get<int64_t>();
        owned.load.freeMilliCores = row.at(3).get<int64_t>();
        owned.load.backfillMilliCores = row.at(4).get<int64_t>();
        owned.load.waitingRegular = row.at(5).get<int64_t>();
        owned.load.waitingBackfill = row.at(6).get<int64_t>();
        owned.load.serving = row.at(7).get<std::map<std::string, int64_t>>();
        owned.load.backfillCapacity = row.at(8).get<std::map<std::string, int64_t>>();
        owned.load.largestFreeMilliCores = row.at(9).get<std::vector<int64_t>>();
        owned.load.pending = row.at(10).get<std::map<std::string, uint32_t>>();
        owned.pressureEstimates = pressureEstimatesFromJson(row.at(11));
        // Hosts of an earlier version don't send what follows.
        if (row.size() > 13) {
            owned.load.services = row.at(12).get<std::map<std::string, int64_t>>();
            owned.load.labels = row.at(13).get<std::map<std::string, int64_t>>();
        }
        return owned;
    }

} // namespace

bool HostHeartbeat::mayGrantLeases(const CellId& cell) const
{
    if (!transitioningCells)
        return true;
    return std::any_of(cells.begin(), cells.end(), [&](const OwnedCell& owned) { return owned.cell == cell; })
        || std::find(transitioningCells->begin(), transitioningCells->end(), cell) != transitioningCells->end();
}

std::string HostHeartbeat::encode() const
{
    Json cellRows = Json::array();
    for (const OwnedCell& owned : cells)
        cellRows.push_back(cellToJson(owned));
    const auto idsOf = [](const std::vector<CellId>& ids) {
        Json rows = Json::array();
        for (const CellId& cell : ids)
            rows.push_back(cell.value());
        return rows;
    };
    return Json {
        { "id", id.value() }, { "addr", address }, { "beat", heartbeatAddress }, { "domain", domain.value() },
        { "region", region.value() }, { "weight", weight }, { "started", startedAtMilliseconds },
        { "draining", draining }, { "late", late }, { "store", storeAvailable }, { "config", configVersion },
        { "cells", std::move(cellRows) }, { "released", idsOf(released) }, { "others", knownAddresses },
        { "changing", idsOf(transitioningCells.value_or(std::vector<CellId> {})) }
    }.dump();
}

Common::Result<HostHeartbeat> HostHeartbeat::decode(std::string_view text)
{
    try {
        const Json object = Json::parse(text);
        HostHeartbeat heartbeat;
        heartbeat.id = Common::DaemonId(object.at("id").get<std::string>());
        heartbeat.address = object.at("addr").get<std::string>();
        heartbeat.heartbeatAddress = object.at("beat").get<std::string>();
        heartbeat.domain = Common::DomainId(object.at("domain").get<std::string>());
        heartbeat.region = Common::RegionId(object.at("region").get<std::string>());
        heartbeat.weight = object.at("weight").get<int64_t>();
        heartbeat.startedAtMilliseconds = object.at("started").get<int64_t>();
        heartbeat.draining = object.value("draining", false);
        heartbeat.late = object.value("late", false);
        heartbeat.storeAvailable = object.value("store", false);
        heartbeat.configVersion = object.value("config", int64_t { -1 });
        for (const Json& row : object.value("cells", Json::array()))
            heartbeat.cells.push_back(cellFromJson(row));
        for (const Json& cell : object.value("released", Json::array()))
            heartbeat.released.emplace_back(cell.get<std::string>());
        if (object.contains("changing")) {
            heartbeat.transitioningCells.emplace();
            for (const Json& cell : object.at("changing"))
                heartbeat.transitioningCells->emplace_back(cell.get<std::string>());
        }
        heartbeat.knownAddresses = object.value("others", std::vector<std::string> {});
        return heartbeat;
    } catch (const Json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("heartbeat: ") + error.what(), {} };
    }
}

} // namespace Cells
