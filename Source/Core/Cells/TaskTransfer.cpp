// JSON encoding of task transfers.
#include "Cells/TaskTransfer.h"

#include "Cells/StoreKeys.h"
#include "Common/Bounds.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"
#include "Common/JsonParser.h"

#include <nlohmann/json.hpp>

namespace Cells {

std::string TaskTransfer::key() const { return StoreKeys::transfer(to, part.id, from, number); }

std::string TaskTransfer::encode() const
{
    return nlohmann::json {
        { "from", from.value() }, { "to", to.value() }, { "number", number }, { "part", part.encode() },
        { "waitedMs", waited / std::chrono::milliseconds(1) }
    }.dump();
}

Common::Result<TaskTransfer> TaskTransfer::decode(std::string_view text)
{
    try {
        const nlohmann::json parsed = Common::parseJsonOrThrow(text);
        const Common::JsonField object(parsed, "the transfer");
        auto part = Jobs::JobRecord::decode(object["part"].text());
        if (!part)
            return part.reason();
        return TaskTransfer { CellId(object["from"].text()), CellId(object["to"].text()), object["number"].count(),
            std::move(*part), object["waitedMs"].otherwise(0).milliseconds(Common::maximumTimeSpan) };
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("task transfer: ") + fault.what(), {} };
    }
}

} // namespace Cells
