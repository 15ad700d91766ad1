// Questions are objects, offers are lists of a kind and its price.
#include "Cells/RoomQuestion.h"

#include "Common/Bounds.h"
#include "Common/JsonFault.h"
#include "Common/JsonField.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>

namespace Cells {

namespace {

    using Json = nlohmann::json;
    using Common::JsonField;

    constexpr const char* taskMember = "task";
    constexpr const char* serviceMember = "service";
    constexpr const char* priorityMember = "priority";
    constexpr const char* resourcesMember = "resources";
    constexpr const char* labelMember = "label";
    constexpr const char* perWorkerMember = "perWorker";
    constexpr const char* waitingMember = "waiting";
    constexpr const char* offerMember = "offer";
    constexpr double maximumWorkLost = 1e15;
    constexpr Common::Duration maximumWait = std::chrono::hours(24 * 365);

    enum class OfferKind : uint32_t { None, Free, Stops, Ends };

    struct OfferToJson {
        Json operator()(const Policy::NoRoom&) const { return Json::array({ OfferKind::None }); }
        Json operator()(const Policy::FreeRoom& offer) const { return Json::array({ OfferKind::Free, offer.tasks }); }
        Json operator()(const Policy::RoomByStops& offer) const
        {
            return Json::array({ OfferKind::Stops, offer.cost.stopsOrdinary, offer.cost.negatedPriority,
                offer.cost.workLost, offer.cost.stops });
        }
        Json operator()(const Policy::RoomByEnds& offer) const
        {
            return Json::array({ OfferKind::Ends, offer.wait / std::chrono::milliseconds(1) });
        }
    };

    Policy::RoomOffer offerFrom(const JsonField& row)
    {
        switch (static_cast<OfferKind>(row.element(0).count(static_cast<uint32_t>(OfferKind::Ends)))) {
        case OfferKind::None:
            return Policy::NoRoom {};
        case OfferKind::Free:
            return Policy::FreeRoom { row.element(1).count() };
        case OfferKind::Stops: {
            Policy::StopCost cost;
            cost.stopsOrdinary = row.element(1).flag();
            cost.negatedPriority = row.element(2).integer(-static_cast<int64_t>(UINT32_MAX), 0);
            cost.workLost = row.element(3).number(0, maximumWorkLost);
            cost.stops = row.element(4).count();
            return Policy::RoomByStops { cost };
        }
        case OfferKind::Ends:
            return Policy::RoomByEnds { row.element(1).milliseconds(maximumWait) };
        }
        return Policy::NoRoom {};
    }

} // namespace

Json roomQuestionToJson(const RoomQuestion& question)
{
    const Jobs::TaskName& task = question.task;
    const Common::Resources& resources = question.spec.resources;
    return Json { { taskMember, Json::array({ task.job.value(), task.occurrence, task.step, task.index }) },
        { serviceMember, question.service.value() }, { priorityMember, question.priority },
        { resourcesMember, Json::array({ resources.milliCores, resources.memoryMegabytes, resources.accelerators }) },
        { labelMember, question.spec.requiredLabel }, { perWorkerMember, question.spec.maximumPerWorker },
        { waitingMember, question.spec.taskCount } };
}

Common::Result<RoomQuestion> roomQuestionFromJson(const Json& value)
{
    try {
        const JsonField object(value, "the question");
        const JsonField task = object[taskMember];
        const JsonField resources = object[resourcesMember];
        RoomQuestion question;
        question.task = { Common::JobId(task.element(0).name()), task.element(1).count(), task.element(2).count(),
            task.element(3).count() };
        question.service = Common::ServiceName(object[serviceMember].text());
        question.priority = object[priorityMember].count();
        question.spec.longRunning = true;
        question.spec.resources.milliCores = resources.element(0).integer(0, Common::maximumMilliCores);
        question.spec.resources.memoryMegabytes = resources.element(1).integer(0, Common::maximumMegabytes);
        question.spec.resources.accelerators = resources.element(2).integer(0, Common::maximumAccelerators);
        question.spec.requiredLabel = object[labelMember].text();
        question.spec.maximumPerWorker = object[perWorkerMember].count();
        question.spec.taskCount = object[waitingMember].count();
        return question;
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::MalformedRequest, fault.what(), std::nullopt };
    }
}

Json roomOfferToJson(const Policy::RoomOffer& offer)
{
    return Json { { offerMember, std::visit(OfferToJson {}, offer) } };
}

Common::Result<Policy::RoomOffer> roomOfferFromJson(const Json& value)
{
    try {
        return offerFrom(JsonField(value, "the offer")[offerMember]);
    } catch (const Common::JsonFault& fault) {
        return Common::Failure { Common::ErrorCode::MalformedRequest, fault.what(), std::nullopt };
    }
}

} // namespace Cells
