// JSON form of gifts.
#include "Cells/TaskGift.h"

#include "Cells/StoreKeys.h"

#include <nlohmann/json.hpp>

namespace Cells {

std::string TaskGift::key() const { return StoreKeys::gift(to, part.id, from, number); }

std::string TaskGift::encode() const
{
    return nlohmann::json {
        { "from", from.value() }, { "to", to.value() }, { "number", number }, { "part", part.encode() }
    }.dump();
}

Common::Result<TaskGift> TaskGift::decode(std::string_view text)
{
    try {
        const nlohmann::json object = nlohmann::json::parse(text);
        auto part = Jobs::JobRecord::decode(object.at("part").get<std::string>());
        if (!part)
            return part.reason();
        return TaskGift { CellId(object.at("from").get<std::string>()), CellId(object.at("to").get<std::string>()),
            object.at("number").get<uint32_t>(), std::move(*part) };
    } catch (const nlohmann::json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("gift of tasks: ") + error.what(), {} };
    }
}

} // namespace Cells
