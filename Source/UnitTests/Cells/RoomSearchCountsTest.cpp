// Tests the text of the outcomes of looks for room.
#include "Cells/RoomSearchCounts.h"

#include <doctest/doctest.h>

using Cells::RoomSearchCounts;
using Outcome = RoomSearchCounts::Outcome;

TEST_CASE("looks that didn't take place have no text")
{
    const RoomSearchCounts counts;
    CHECK(counts.isEmpty());
    CHECK(counts.text().empty());
}

TEST_CASE("outcomes are told with their numbers, those that didn't occur are left out")
{
    RoomSearchCounts counts;
    for (int look = 0; look < 40; ++look)
        counts.add(Outcome::Pausing);
    counts.add(Outcome::Asked);
    CHECK_FALSE(counts.isEmpty());
    CHECK(counts.text() == "asked:1,pausing:40");
}

TEST_CASE("each outcome has its name")
{
    RoomSearchCounts counts;
    for (const Outcome outcome : { Outcome::Asked, Outcome::JustBlocked, Outcome::Pausing, Outcome::QuestionLimit,
             Outcome::NoPeers, Outcome::OwnPlan, Outcome::MakingRoom, Outcome::Made, Outcome::WorkerLimit,
             Outcome::MakingPauses, Outcome::NothingToStop, Outcome::GivenAway })
        counts.add(outcome);
    CHECK(counts.text()
        == "asked:1,just-blocked:1,pausing:1,question-limit:1,no-peers:1,own-plan:1,making-room:1,made:1,"
           "worker-limit:1,making-pauses:1,nothing-to-stop:1,given-away:1");
}
