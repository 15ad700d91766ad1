// JSON form of cell records.
#include "Cells/CellRecord.h"

#include "Common/JsonFault.h"
#include "Common/JsonField.h"
#include "Common/JsonParser.h"

#include <nlohmann/json.hpp>

namespace Cells {

namespace {

    /// Far beyond any sensible authority; a record with more is refused.
    constexpr int64_t maximumHorizonMilliseconds = 3600 * 1000;

} // namespace

std::string CellRecord::encode() const
{
    return nlohmann::json {
        { "owner", owner.value() }, { "address", address }, { "token", token.value }, { "rewrites", rewrites },
        { "released", released }, { "unsettled", unsettled },
        { "lease-horizon-ms", leaseHorizon / std::chrono::milliseconds(1) }
    }.dump();
}

Common::Result<CellRecord> CellRecord::decode(std::string_view text)
{
    try {
        const nlohmann::json parsed = Common::parseJsonOrThrow(text);
        const Common::JsonField object(parsed, "the record");
        CellRecord record;
        record.owner = Common::DaemonId(object["owner"].text());
        record.address = object["address"].text();
        record.token = FencingToken { static_cast<uint64_t>(object["token"].integer(0, Common::maximumJsonInteger)) };
        record.rewrites = static_cast<uint64_t>(object["rewrites"].otherwise(0).integer(0, Common::maximumJsonInteger));
        record.released = object["released"].otherwise(false).flag();
        record.unsettled = object["unsettled"].otherwise(false).flag();
        record.leaseHorizon
            = std::chrono::milliseconds(object["lease-horizon-ms"]
                                            .otherwise(earlierReleaseHorizon / std::chrono::milliseconds(1))
                                            .integer(0, maximumHorizonMilliseconds));
        return record;
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("cell record: ") + fault.what(), {} };
    }
}

} // namespace Cells
