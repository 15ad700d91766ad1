// JSON encoding of task transfers.
#include "Cells/TaskTransfer.h"

#include "Cells/StoreKeys.h"

#include <nlohmann/json.hpp>

namespace Cells {

std::string TaskTransfer::key() const { return StoreKeys::transfer(to, part.id, from, number); }

std::string TaskTransfer::encode() const
{
    return nlohmann::json {
        { "from", from.value() }, { "to", to.value() }, { "number", number }, { "part", part.encode() }
    }.dump();
}

Common::Result<TaskTransfer> TaskTransfer::decode(std::string_view text)
{
    try {
        const nlohmann::json object = nlohmann::json::parse(text);
        auto part = Jobs::JobRecord::decode(object.at("part").get<std::string>());
        if (!part)
            return part.reason();
        return TaskTransfer { CellId(object.at("from").get<std::string>()), CellId(object.at("to").get<std::string>()),
            object.at("number").get<uint32_t>(), std::move(*part) };
    } catch (const nlohmann::json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("task transfer: ") + error.what(), {} };
    }
}

} // namespace Cells
