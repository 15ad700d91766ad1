// JSON form of promised room.
#include "Cells/PromisedRoom.h"

#include "Common/JsonFault.h"
#include "Common/JsonField.h"

#include <nlohmann/json.hpp>

namespace Cells {

namespace {

    using Json = nlohmann::json;
    using Common::JsonField;

    constexpr const char* taskMember = "task";
    constexpr const char* roomMember = "room";
    constexpr const char* tasksMember = "tasks";
    constexpr const char* waitingMember = "waiting";

} // namespace

Json promisedRoomToJson(const PromisedRoom& room)
{
    const Jobs::TaskName& task = room.task;
    return Json { { taskMember, Json::array({ task.job.value(), task.occurrence, task.step, task.index }) },
        { roomMember, room.cell.value() }, { tasksMember, room.tasks } };
}

Common::Result<PromisedRoom> promisedRoomFromJson(const Json& value)
{
    try {
        const JsonField object(value, "the promised room");
        const JsonField task = object[taskMember];
        PromisedRoom room;
        room.task = { Common::JobId(task.element(0).name()), task.element(1).count(), task.element(2).count(),
            task.element(3).count() };
        room.cell = CellId(object[roomMember].name());
        room.tasks = object[tasksMember].count();
        return room;
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::MalformedRequest, fault.what(), std::nullopt };
    }
}

Json takenRoomToJson(const TakenRoom& taken)
{
    return Json { { tasksMember, taken.tasks }, { waitingMember, taken.waiting } };
}

Common::Result<TakenRoom> takenRoomFromJson(const Json& value)
{
    try {
        const JsonField object(value, "the answer to promised room");
        return TakenRoom { object[tasksMember].count(), object[waitingMember].count() };
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::MalformedRequest, fault.what(), std::nullopt };
    }
}

} // namespace Cells
