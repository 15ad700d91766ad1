// JSON form of heartbeats.
#include "Cells/HostHeartbeat.h"

#include "Cells/OwnedCellCodec.h"
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

    constexpr int64_t maximumWeight = Common::maximumMilliCores;

    /// Empty: the host doesn't say.
    std::string addressFrom(const JsonField& field) { return field.text().empty() ? std::string {} : field.address(); }

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

HostState HostHeartbeat::state() const
{
    HostState state { id, address, heartbeatAddress, domain, region, weight, startedAtMilliseconds, draining, late,
        storeAvailable, {}, transitioningCells.value_or(std::vector<CellId> {}), released };
    for (const OwnedCell& owned : cells)
        state.cells.push_back({ owned.cell, owned.token });
    return state;
}

std::string HostHeartbeat::encode() const
{
    Json cellRows = Json::array();
    for (const OwnedCell& owned : cells)
        cellRows.push_back(ownedCellToJson(owned));
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
        { "changing", idsOf(transitioningCells.value_or(std::vector<CellId> {})) }, { "gossip", readsGossip }
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
            heartbeat.cells.push_back(ownedCellFromJson(row));
        heartbeat.released = cellsFrom(object["released"]);
        if (object["changing"].exists())
            heartbeat.transitioningCells = cellsFrom(object["changing"]);
        heartbeat.readsGossip = object["gossip"].otherwise(false).flag();
        for (const Json& address : object["others"].listOrEmpty())
            heartbeat.knownAddresses.push_back(JsonField(address, "an address").address());
        return heartbeat;
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("heartbeat: ") + fault.what(), {} };
    }
}

} // namespace Cells
