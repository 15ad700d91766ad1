// A cell's row in JSON: a list, so that names aren't repeated in each message.
#include "Cells/OwnedCellCodec.h"

#include "Cells/PressureEstimateCodec.h"
#include "Common/Bounds.h"
#include "Common/JsonField.h"

#include <nlohmann/json.hpp>

namespace Cells {

namespace {

    using Json = nlohmann::json;
    using Common::JsonField;

    /// The sum over all cells of a fleet fits into int64_t.
    constexpr int64_t maximumLoad = 1'000'000'000'000'000;

    /// Figures of a load guide choices only; one out of bounds mustn't make the host seem silent.
    int64_t loadFrom(const JsonField& field) { return field.clampedAmount(-maximumLoad, maximumLoad); }

    std::map<std::string, int64_t> loadsFrom(const JsonField& field)
    {
        std::map<std::string, int64_t> loads;
        for (const auto& [name, value] : field.object().items())
            loads.emplace(name, loadFrom(JsonField(value, "a load")));
        return loads;
    }

    std::vector<int64_t> listedLoadsFrom(const JsonField& field)
    {
        std::vector<int64_t> loads;
        for (const Json& value : field.list())
            loads.push_back(loadFrom(JsonField(value, "a load")));
        return loads;
    }

    constexpr Common::Duration longestWait = std::chrono::hours(24 * 365);

    Json wantedRoomToJson(const std::vector<WantedRoom>& wanted)
    {
        Json rows = Json::array();
        for (const WantedRoom& want : wanted) {
            const RoomQuestion& question = want.question;
            const Common::Resources& resources = question.spec.resources;
            rows.push_back(Json::array({ question.task.job.value(), question.task.occurrence, question.task.step,
                question.task.index, question.service.value(), question.priority, resources.milliCores,
                resources.memoryMegabytes, resources.accelerators, question.spec.requiredLabel,
                question.spec.maximumPerWorker, question.spec.taskCount, want.waited / std::chrono::milliseconds(1) }));
        }
        return rows;
    }

    std::vector<WantedRoom> wantedRoomFrom(const JsonField& field)
    {
        std::vector<WantedRoom> wanted;
        for (const Json& value : field.list()) {
            const JsonField row(value, "wanted room");
            WantedRoom want;
            want.question.task = { Common::JobId(row.element(0).name()), row.element(1).count(), row.element(2).count(),
                row.element(3).count() };
            want.question.service = Common::ServiceName(row.element(4).text());
            want.question.priority = row.element(5).count();
            want.question.spec.longRunning = true;
            want.question.spec.resources.milliCores = row.element(6).integer(0, Common::maximumMilliCores);
            want.question.spec.resources.memoryMegabytes = row.element(7).integer(0, Common::maximumMegabytes);
            want.question.spec.resources.accelerators = row.element(8).integer(0, Common::maximumAccelerators);
            want.question.spec.requiredLabel = row.element(9).text();
            want.question.spec.maximumPerWorker = row.element(10).count();
            want.question.spec.taskCount = row.element(11).count();
            want.waited = row.element(12).milliseconds(longestWait);
            wanted.push_back(std::move(want));
        }
        return wanted;
    }

} // namespace

Json ownedCellToJson(const HostHeartbeat::OwnedCell& owned)
{
    Json pending = Json::object();
    for (const auto& [route, count] : owned.load.pending)
        pending[route] = count;
    return Json::array({ owned.cell.value(), owned.token.value, owned.load.capacityMilliCores,
        owned.load.freeMilliCores, owned.load.backfillMilliCores, owned.load.waitingRegular, owned.load.waitingBackfill,
        owned.load.serving, owned.load.backfillCapacity, owned.load.largestFreeMilliCores, std::move(pending),
        pressureEstimatesToJson(owned.pressureEstimates), owned.load.services, owned.load.labels,
        owned.load.largestFreeAfterEnds, owned.load.takesScheduledTasks, wantedRoomToJson(owned.load.wantedRoom) });
}

HostHeartbeat::OwnedCell ownedCellFromJson(const Json& value)
{
    const JsonField row(value, "a cell");
    HostHeartbeat::OwnedCell owned;
    owned.cell = CellId(row.element(0).name());
    owned.token = FencingToken { static_cast<uint64_t>(row.element(1).integer(0, Common::maximumJsonInteger)) };
    owned.load.capacityMilliCores = loadFrom(row.element(2));
    owned.load.freeMilliCores = loadFrom(row.element(3));
    owned.load.backfillMilliCores = loadFrom(row.element(4));
    owned.load.waitingRegular = loadFrom(row.element(5));
    owned.load.waitingBackfill = loadFrom(row.element(6));
    owned.load.serving = loadsFrom(row.element(7));
    owned.load.backfillCapacity = loadsFrom(row.element(8));
    owned.load.largestFreeMilliCores = listedLoadsFrom(row.element(9));
    for (const auto& [route, count] : row.element(10).object().items())
        owned.load.pending.emplace(route, static_cast<uint32_t>(JsonField(count).clampedAmount(0, UINT32_MAX)));
    owned.pressureEstimates = pressureEstimatesFromJson(row.element(11).list());
    // Hosts of an earlier version don't send what follows.
    if (row.element(13).exists()) {
        owned.load.services = loadsFrom(row.element(12));
        owned.load.labels = loadsFrom(row.element(13));
    }
    if (row.element(14).exists())
        owned.load.largestFreeAfterEnds = listedLoadsFrom(row.element(14));
    if (row.element(15).exists())
        owned.load.takesScheduledTasks = row.element(15).flag();
    if (row.element(16).exists())
        owned.load.wantedRoom = wantedRoomFrom(row.element(16));
    return owned;
}

} // namespace Cells
