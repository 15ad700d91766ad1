// CBOR form of a host's state: a list, so that names aren't repeated in each message.
#include "Cells/HostState.h"

#include "Common/Bounds.h"
#include "Common/CborParser.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cells {

namespace {

    using Json = nlohmann::json;
    using Common::JsonField;

    /// Bits of the flags.
    constexpr int64_t drainingFlag = 1;
    constexpr int64_t lateFlag = 2;
    constexpr int64_t storeFlag = 4;
    constexpr int64_t allFlags = drainingFlag | lateFlag | storeFlag;

    Json idsToJson(const std::vector<CellId>& ids)
    {
        Json rows = Json::array();
        for (const CellId& cell : ids)
            rows.push_back(cell.value());
        return rows;
    }

    std::vector<CellId> idsFromJson(const JsonField& list)
    {
        std::vector<CellId> ids;
        for (const Json& cell : list.list())
            ids.emplace_back(JsonField(cell, "a cell").name());
        return ids;
    }

} // namespace

bool HostState::mayGrantLeases(const CellId& cell) const
{
    return std::any_of(cells.begin(), cells.end(), [&](const OwnedCell& owned) { return owned.cell == cell; })
        || std::find(transitioningCells.begin(), transitioningCells.end(), cell) != transitioningCells.end();
}

std::string HostState::encode() const
{
    Json owned = Json::array();
    for (const OwnedCell& row : cells)
        owned.push_back(Json::array({ row.cell.value(), row.token.value }));
    const int64_t flags = (draining ? drainingFlag : 0) | (late ? lateFlag : 0) | (storeAvailable ? storeFlag : 0);
    std::string bytes;
    Json::to_cbor(
        Json::array({ id.value(), address, heartbeatAddress, domain.value(), region.value(), weight,
            startedAtMilliseconds, flags, std::move(owned), idsToJson(transitioningCells), idsToJson(released) }),
        bytes);
    return bytes;
}

Common::Result<HostState> HostState::decode(std::string_view bytes)
{
    try {
        const Json value = Common::parseCborOrThrow(bytes);
        const JsonField row(value, "the host's state");
        HostState state;
        state.id = Common::DaemonId(row.element(0).name());
        state.address = row.element(1).address();
        state.heartbeatAddress = row.element(2).address();
        state.domain = Common::DomainId(row.element(3).text());
        state.region = Common::RegionId(row.element(4).text());
        state.weight = row.element(5).integer(0, Common::maximumMilliCores);
        state.startedAtMilliseconds = row.element(6).integer(0, Common::maximumClockMilliseconds);
        const int64_t flags = row.element(7).integer(0, allFlags);
        state.draining = (flags & drainingFlag) != 0;
        state.late = (flags & lateFlag) != 0;
        state.storeAvailable = (flags & storeFlag) != 0;
        for (const Json& owned : row.element(8).list()) {
            const JsonField cell(owned, "a cell");
            state.cells.push_back({ CellId(cell.element(0).name()),
                FencingToken { static_cast<uint64_t>(cell.element(1).integer(0, Common::maximumJsonInteger)) } });
        }
        state.transitioningCells = idsFromJson(row.element(9));
        state.released = idsFromJson(row.element(10));
        return state;
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("host state: ") + fault.what(), {} };
    }
}

} // namespace Cells
