// JSON form of cell records.
#include "Cells/CellRecord.h"

#include <nlohmann/json.hpp>

namespace Cells {

std::string CellRecord::encode() const
{
    return nlohmann::json {
        { "owner", owner.value() }, { "address", address }, { "token", token.value }, { "rewrites", rewrites },
        { "released", released }
    }.dump();
}

Common::Result<CellRecord> CellRecord::decode(std::string_view text)
{
    try {
        const nlohmann::json object = nlohmann::json::parse(text);
        CellRecord record;
        record.owner = Common::DaemonId(object.at("owner").get<std::string>());
        record.address = object.at("address").get<std::string>();
        record.token = FencingToken { object.at("token").get<uint64_t>() };
        record.rewrites = object.value("rewrites", uint64_t { 0 });
        record.released = object.value("released", false);
        return record;
    } catch (const nlohmann::json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("cell record: ") + error.what(), {} };
    }
}

} // namespace Cells
