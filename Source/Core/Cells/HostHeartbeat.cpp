// JSON form of heartbeats, compact so that one fits into a datagram.
#include "Cells/HostHeartbeat.h"

#include "Cells/PressureEstimateCodec.h"
#include "Common/Bounds.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"
#include "Common/JsonParser.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cells {

namespace {

    using Json = nlohmann::json;
    using Common::JsonField;

    /// The sum over all cells of a fleet fits into int64_t.
    constexpr int64_t maximumLoad = 1'000'000'000'000'000;
    constexpr int64_t maximumWeight = Common::maximumMilliCores;

    Json cellToJson(const HostHeartbeat::OwnedCell& owned)
    {
        Json pending = Json::object();
        for (const auto& [route, count] : owned.load.pending)
            pending[route] = count;
        return Json::array({ owned.cell.value(), owned.token.value, owned.load.capacityMilliCores,
            owned.load.freeMilliCores, owned.load.backfillMilliCores, owned.load.waitingRegular,
            owned.load.waitingBackfill, owned.load.serving, owned.load.backfillCapacity,
            owned.load.largestFreeMilliCores, std::move(pending), pressureEstimatesToJson(owned.pressureEstimates),
            owned.load.services, owned.load.labels, owned.load.largestFreeAfterEnds });
    }

    /// Figures of a load guide choices only; one out of bounds mustn't make the host seem silent.
    int64_t loadFrom(const JsonField& field) { return field.clampedAmount(-maximumLoad, maximumLoad); }

    std::map<std::string, int64_t> loadsFrom(const JsonField& field)
    {
        std::map<std::string, int64_t> loads;
        for (const auto& [name, value] : field.object().items())
            loads.emplace(name, loadFrom(JsonField(value, "a load")));
        return loads;
    }

    std::vector<int64_t> listedLoadsFrom(const JsonField& field)
    {
        std::vector<int64_t> loads;
        for (const Json& value : field.list())
            loads.push_back(loadFrom(JsonField(value, "a load")));
        return loads;
    }

    /// Empty: the host doesn't say.
    std::string addressFrom(const JsonField& field) { return field.text().empty() ? std::string {} : field.address(); }

    HostHeartbeat::OwnedCell cellFromJson(const JsonField& row)
    {
        HostHeartbeat::OwnedCell owned;
        owned.cell = CellId(row.element(0).name());
        owned.token = FencingToken { static_cast<uint64_t>(row.element(1).integer(0, Common::maximumJsonInteger)) };
        owned.load.capacityMilliCores = loadFrom(row.element(2));
        owned.load.freeMilliCores = loadFrom(row.element(3));
        owned.load.backfillMilliCores = loadFrom(row.element(4));
        owned.load.waitingRegular = loadFrom(row.element(5));
        owned.load.waitingBackfill = loadFrom(row.element(6));
        owned.load.serving = loadsFrom(row.element(7));
        owned.load.backfillCapacity = loadsFrom(row.element(8));
        owned.load.largestFreeMilliCores = listedLoadsFrom(row.element(9));
        for (const auto& [route, count] : row.element(10).object().items())
            owned.load.pending.emplace(route, static_cast<uint32_t>(JsonField(count).clampedAmount(0, UINT32_MAX)));
        owned.pressureEstimates = pressureEstimatesFromJson(row.element(11).list());
        // Hosts of an earlier version don't send what follows.
        if (row.element(13).exists()) {
            owned.load.services = loadsFrom(row.element(12));
            owned.load.labels = loadsFrom(row.element(13));
        }
        if (row.element(14).exists())
            owned.load.largestFreeAfterEnds = listedLoadsFrom(row.element(14));
        return owned;
    }

    std::vector<CellId> cellsFrom(const JsonField& list)
    {
        std::vector<CellId> cells;
        for (const Json& cell : list.listOrEmpty())
            cells.emplace_back(JsonField(cell, "a cell").name());
        return cells;
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
        const Json message = Common::parseJsonOrThrow(text);
        const JsonField object(message, "the heartbeat");
        HostHeartbeat heartbeat;
        heartbeat.id = Common::DaemonId(object["id"].name());
        heartbeat.address = addressFrom(object["addr"]);
        heartbeat.heartbeatAddress = addressFrom(object["beat"]);
        heartbeat.domain = Common::DomainId(object["domain"].text());
        heartbeat.region = Common::RegionId(object["region"].text());
        heartbeat.weight = object["weight"].integer(0, maximumWeight);
        heartbeat.startedAtMilliseconds = object["started"].integer(0, Common::maximumClockMilliseconds);
        heartbeat.draining = object["draining"].otherwise(false).flag();
        heartbeat.late = object["late"].otherwise(false).flag();
        heartbeat.storeAvailable = object["store"].otherwise(false).flag();
        heartbeat.configVersion = object["config"].otherwise(-1).integer(-1, Common::maximumJsonInteger);
        for (const Json& row : object["cells"].listOrEmpty())
            heartbeat.cells.push_back(cellFromJson(JsonField(row, "a cell")));
        heartbeat.released = cellsFrom(object["released"]);
        if (object["changing"].exists())
            heartbeat.transitioningCells = cellsFrom(object["changing"]);
        for (const Json& address : object["others"].listOrEmpty())
            heartbeat.knownAddresses.push_back(JsonField(address, "an address").address());
        return heartbeat;
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("heartbeat: ") + fault.what(), {} };
    }
}

} // namespace Cells
