// CBOR form of a cell's report.
#include "Cells/CellReport.h"

#include "Cells/OwnedCellCodec.h"
#include "Common/CborParser.h"
#include "Common/Hash.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"

#include <nlohmann/json.hpp>

namespace Cells {

using Json = nlohmann::json;

std::string CellReport::encode() const
{
    std::string payload;
    Json::to_cbor(Json::array({ owner.value(), ownedCellToJson(cell) }), payload);
    if (payload.size() > maximumFramePayload) {
        HostHeartbeat::OwnedCell smaller = cell;
        smaller.pressureEstimates.clear();
        payload.clear();
        Json::to_cbor(Json::array({ owner.value(), ownedCellToJson(smaller) }), payload);
    }
    return GossipFrame { GossipFrame::Kind::CellLoad, Common::stableHash(cell.cell.value()), cell.token.value, version,
        payload }
        .encode();
}

Common::Result<CellReport> CellReport::decode(const GossipFrame& frame)
{
    try {
        const Json value = Common::parseCborOrThrow(frame.payload);
        const Common::JsonField row(value, "the cell's report");
        if (!row.element(1).exists())
            throw Common::JsonFault("the cell's report has no cell");
        return CellReport { Common::DaemonId(row.element(0).name()), ownedCellFromJson(value[1]), frame.version };
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::ProtocolError, fault.what(), {} };
    }
}

} // namespace Cells
