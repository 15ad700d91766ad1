// Tests the form in which questions about room and their answers go between hosts.
#include "Cells/RoomQuestion.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

Cells::RoomQuestion someQuestion()
{
    Cells::RoomQuestion question;
    question.task = { Common::JobId("0000000000000007"), 2, 1, 12 };
    question.service = Common::ServiceName("desk");
    question.priority = 3;
    question.spec.resources = Common::Resources { 0, 12'350, 2048, 1 };
    question.spec.requiredLabel = "fast";
    question.spec.maximumPerWorker = 1;
    question.spec.taskCount = 9;
    question.spec.longRunning = true;
    return question;
}

} // namespace

TEST_CASE("a question about room is read as it was written")
{
    const Cells::RoomQuestion question = someQuestion();
    const auto read = Cells::roomQuestionFromJson(Json::parse(Cells::roomQuestionToJson(question).dump()));
    REQUIRE(read);
    CHECK(read->task == question.task);
    CHECK(read->service == question.service);
    CHECK(read->priority == 3);
    CHECK(read->spec.resources == question.spec.resources);
    CHECK(read->spec.requiredLabel == "fast");
    CHECK(read->spec.maximumPerWorker == 1);
    CHECK(read->spec.taskCount == 9);
    CHECK(read->spec.longRunning);
}

TEST_CASE("an offer of each kind is read as it was written")
{
    const Policy::StopCost cost { true, -2, 5.75, 4 };
    const std::vector<Policy::RoomOffer> offers { Policy::NoRoom {}, Policy::FreeRoom { 5 },
        Policy::RoomByStops { cost }, Policy::RoomByEnds { 1250ms } };
    for (const Policy::RoomOffer& offer : offers) {
        const auto read = Cells::roomOfferFromJson(Json::parse(Cells::roomOfferToJson(offer).dump()));
        REQUIRE(read);
        REQUIRE(read->index() == offer.index());
        if (const auto* const stops = std::get_if<Policy::RoomByStops>(&*read))
            CHECK(stops->cost == cost);
        if (const auto* const free = std::get_if<Policy::FreeRoom>(&*read))
            CHECK(free->tasks == 5);
        if (const auto* const ends = std::get_if<Policy::RoomByEnds>(&*read))
            CHECK(ends->wait == 1250ms);
    }
}

// Guards against a host that stops at what another release or a faulty peer sends.
TEST_CASE("odd questions and offers are refused")
{
    const Json question = Cells::roomQuestionToJson(someQuestion());
    for (const char* const member : { "task", "service", "priority", "resources", "label", "perWorker", "waiting" }) {
        CAPTURE(member);
        Json odd = question;
        odd.erase(member);
        CHECK_FALSE(Cells::roomQuestionFromJson(odd));
        odd[member] = Json::array({ -1, "x" });
        CHECK_FALSE(Cells::roomQuestionFromJson(odd));
    }
    CHECK_FALSE(Cells::roomQuestionFromJson(Json::array()));
    for (const char* const text : { "{}", "[]", "{\"offer\":[]}", "{\"offer\":[9]}", "{\"offer\":[2,true]}",
             "{\"offer\":[2,true,1,0,1]}", "{\"offer\":[3,-5]}", "{\"offer\":[-1]}" }) {
        CAPTURE(text);
        CHECK_FALSE(Cells::roomOfferFromJson(Json::parse(text)));
    }
}
