// JSON form of beats, short enough for one datagram.
#include "Cells/HostBeat.h"

#include "Cells/BeliefCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cells {

namespace {

    using Json = nlohmann::json;

    Json cellToJson(const HostBeat::OwnedCell& owned)
    {
        Json pending = Json::object();
        for (const auto& [route, count] : owned.load.pending)
            pending[route] = count;
        return Json::array({ owned.cell.value(), owned.token.value, owned.load.capacityMilliCores,
            owned.load.freeMilliCores, owned.load.backfillMilliCores, owned.load.waitingRegular,
            owned.load.waitingBackfill, owned.load.serving, owned.load.backfillRooms, owned.load.rooms,
            std::move(pending), beliefsToJson(owned.beliefs), owned.load.services, owned.load.labels });
    }

    HostBeat::OwnedCell cellFromJson(const Json& row)
    {
        HostBeat::OwnedCell owned;
        owned.cell = CellId(row.at(0).get<std::string>());
        owned.token = FencingToken { row.at(1).get<uint64_t>() };
        owned.load.capacityMilliCores = row.at(2).get<int64_t>();
        owned.load.freeMilliCores = row.at(3).get<int64_t>();
        owned.load.backfillMilliCores = row.at(4).get<int64_t>();
        owned.load.waitingRegular = row.at(5).get<int64_t>();
        owned.load.waitingBackfill = row.at(6).get<int64_t>();
        owned.load.serving = row.at(7).get<std::map<std::string, int64_t>>();
        owned.load.backfillRooms = row.at(8).get<std::map<std::string, int64_t>>();
        owned.load.rooms = row.at(9).get<std::vector<int64_t>>();
        owned.load.pending = row.at(10).get<std::map<std::string, uint32_t>>();
        owned.beliefs = beliefsFromJson(row.at(11));
        // Hosts of an earlier version don't send what follows.
        if (row.size() > 13) {
            owned.load.services = row.at(12).get<std::map<std::string, int64_t>>();
            owned.load.labels = row.at(13).get<std::map<std::string, int64_t>>();
        }
        return owned;
    }

} // namespace

bool HostBeat::holds(const CellId& cell) const
{
    if (!changing)
        return true;
    return std::any_of(cells.begin(), cells.end(), [&](const OwnedCell& owned) { return owned.cell == cell; })
        || std::find(changing->begin(), changing->end(), cell) != changing->end();
}

std::string HostBeat::encode() const
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
        { "id", id.value() }, { "addr", address }, { "beat", beatAddress }, { "domain", domain.value() },
        { "region", region.value() }, { "weight", weight }, { "started", startedMilliseconds },
        { "draining", draining }, { "store", storeAnswers }, { "config", configVersion },
        { "cells", std::move(cellRows) }, { "released", idsOf(released) }, { "others", others },
        { "changing", idsOf(changing.value_or(std::vector<CellId> {})) }
    }.dump();
}

Common::Result<HostBeat> HostBeat::decode(std::string_view text)
{
    try {
        const Json object = Json::parse(text);
        HostBeat beat;
        beat.id = Common::DaemonId(object.at("id").get<std::string>());
        beat.address = object.at("addr").get<std::string>();
        beat.beatAddress = object.at("beat").get<std::string>();
        beat.domain = Common::DomainId(object.at("domain").get<std::string>());
        beat.region = Common::RegionId(object.at("region").get<std::string>());
        beat.weight = object.at("weight").get<int64_t>();
        beat.startedMilliseconds = object.at("started").get<int64_t>();
        beat.draining = object.value("draining", false);
        beat.storeAnswers = object.value("store", false);
        beat.configVersion = object.value("config", int64_t { -1 });
        for (const Json& row : object.value("cells", Json::array()))
            beat.cells.push_back(cellFromJson(row));
        for (const Json& cell : object.value("released", Json::array()))
            beat.released.emplace_back(cell.get<std::string>());
        if (object.contains("changing")) {
            beat.changing.emplace();
            for (const Json& cell : object.at("changing"))
                beat.changing->emplace_back(cell.get<std::string>());
        }
        beat.others = object.value("others", std::vector<std::string> {});
        return beat;
    } catch (const Json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("beat: ") + error.what(), {} };
    }
}

} // namespace Cells
