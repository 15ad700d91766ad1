// Limits and repeats of messages on transferred tasks.
#include "Cells/PartOutbox.h"
#include "Fakes/FakeProcess.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace std::chrono_literals;

namespace {

const Cells::CellId cell { "shed-0" };

Common::Result<Common::Done> done() { return Common::Done {}; }
Common::Result<Common::Done> failed(Common::ErrorCode code) { return Common::Failure { code, "", std::nullopt }; }

struct Outbox {
    struct Call {
        std::string address;
        std::string job;
        Common::Duration timeout {};
        Common::Callback<Common::Done> answer;
    };

    Fakes::VirtualRuntime clock { 1 };
    Fakes::FakeProcess process { clock, 1 };
    std::optional<std::string> owner = "shed:1";
    std::deque<Call> calls;
    size_t handled = 0;
    Cells::PartOutbox outbox { process,
        { .ownerAddress = [this](const Cells::CellId&) { return owner; },
            .send =
                [this](const std::string& address, const Cells::CellId&, const Cells::PartMessage& message,
                    Common::Duration timeout, Common::Callback<Common::Done> answer) {
                    const auto* const transfer = std::get_if<Cells::TaskTransfer>(&message);
                    const Common::JobId job = transfer ? transfer->part.id : std::get<Jobs::JobRecord>(message).id;
                    calls.push_back({ address, job.value(), timeout, std::move(answer) });
                } } };

    void transfer(const std::string& job, uint32_t number = 1)
    {
        Cells::TaskTransfer transfer { Cells::CellId("yard-0"), cell, number, {}, {} };
        transfer.part.id = Common::JobId(job);
        outbox.add(cell, transfer, [this] { ++handled; });
    }
    void cancel(const std::string& job)
    {
        Jobs::JobRecord record;
        record.id = Common::JobId(job);
        outbox.add(cell, record, [this] { ++handled; });
    }
    Call take()
    {
        REQUIRE(!calls.empty());
        Call call = std::move(calls.front());
        calls.pop_front();
        return call;
    }
    /// Lets all calls that are under way time out.
    void timeOut()
    {
        std::deque<Call> ending = std::move(calls);
        calls.clear();
        for (const Call& call : ending)
            call.answer(failed(Common::ErrorCode::Timeout));
    }
};

} // namespace

TEST_CASE("more transfers are under way to an owner that answers, fewer to one that doesn't")
{
    Outbox world;
    for (int job = 0; job < 500; ++job)
        world.transfer("j" + std::to_string(job));
    CHECK(world.calls.size() == 16);
    for (int answers = 0; answers < 400; ++answers)
        world.take().answer(done());
    CHECK(world.handled == 400);
    CHECK(world.calls.size() == 32);
    // All of them were sent at the same time, so they count as one failure.
    world.clock.advance(1s);
    world.timeOut();
    CHECK(world.calls.size() == 16);
    for (int round = 0; round < 6; ++round) {
        world.clock.advance(1s);
        world.timeOut();
    }
    CHECK(world.calls.size() == 1);
    CHECK(world.outbox.size() == 100);
    while (!world.calls.empty()) {
        world.take().answer(done());
        if (world.calls.empty())
            world.clock.advance(4s);
    }
    CHECK(world.handled == 500);
    CHECK(world.outbox.size() == 0);
}

TEST_CASE("an owner that doesn't answer gets more time and longer pauses")
{
    Outbox world;
    world.transfer("j");
    for (const auto& [timeout, pause] : { std::pair { 1s, 400ms }, { 2s, 800ms }, { 4s, 1600ms }, { 4s, 1600ms } }) {
        REQUIRE(world.calls.size() == 1);
        CHECK(world.calls.front().timeout == timeout);
        world.timeOut();
        world.clock.advance(pause - 1ms);
        CHECK(world.calls.empty());
        world.clock.advance(1ms);
    }
    REQUIRE(world.calls.size() == 1);
}

TEST_CASE("a new owner gets at once what the former one hasn't answered")
{
    Outbox world;
    for (int job = 0; job < 4; ++job)
        world.transfer("j" + std::to_string(job));
    std::deque<Outbox::Call> former = std::move(world.calls);
    world.calls.clear();
    world.owner = std::nullopt;
    world.clock.advance(400ms);
    CHECK(world.calls.empty());
    world.owner = "shed:2";
    world.clock.advance(400ms);
    REQUIRE(world.calls.size() == 4);
    CHECK(world.calls.front().address == "shed:2");
    CHECK(world.calls.front().timeout == 1s);
    // The former owner's failures count no more, its answers do.
    former[0].answer(failed(Common::ErrorCode::Timeout));
    former[1].answer(done());
    CHECK(world.handled == 1);
    world.clock.advance(2s);
    CHECK(world.calls.size() == 4);
    while (!world.calls.empty())
        world.take().answer(done());
    CHECK(world.handled == 4);
    CHECK(world.outbox.size() == 0);
}

TEST_CASE("a process that doesn't own the cell gets nothing more for a while")
{
    for (const Common::ErrorCode code : { Common::ErrorCode::NotOwner, Common::ErrorCode::ConnectFailed }) {
        Outbox world;
        for (int job = 0; job < 20; ++job)
            world.transfer("j" + std::to_string(job));
        world.take().answer(failed(code));
        CHECK(world.calls.size() == 15);
        world.clock.advance(399ms);
        CHECK(world.calls.size() == 15);
        world.clock.advance(1ms);
        CHECK(world.calls.size() == 16);
    }
}

TEST_CASE("a transfer that waits already isn't sent twice")
{
    Outbox world;
    world.transfer("j", 1);
    world.transfer("j", 1);
    world.transfer("j", 2);
    CHECK(world.outbox.size() == 2);
    CHECK(world.calls.size() == 2);
    world.take().answer(done());
    world.transfer("j", 1);
    CHECK(world.calls.size() == 2);
}

TEST_CASE("cancellations wait neither for transfers nor for cancellations that were sent before")
{
    Outbox world;
    for (int job = 0; job < 40; ++job)
        world.transfer("t" + std::to_string(job));
    for (int round = 0; round < 5; ++round) {
        world.timeOut();
        world.clock.advance(4s);
    }
    world.calls.clear();
    // Their runs can't be stopped.
    for (int job = 0; job < 40; ++job)
        world.cancel("c" + std::to_string(job));
    CHECK(world.calls.size() == 16);
    world.cancel("urgent");
    world.timeOut();
    CHECK(std::any_of(world.calls.begin(), world.calls.end(), [](const auto& call) { return call.job == "c16"; }));
    world.timeOut();
    CHECK(std::any_of(world.calls.begin(), world.calls.end(), [](const auto& call) { return call.job == "urgent"; }));
}

TEST_CASE("this process gets all messages at once and may answer within the call")
{
    Fakes::VirtualRuntime clock { 1 };
    Fakes::FakeProcess process { clock, 1 };
    size_t calls = 0;
    size_t handled = 0;
    bool fails = true;
    Cells::PartOutbox outbox { process,
        { .ownerAddress = [](const Cells::CellId&) { return std::string(); },
            .send =
                [&](const std::string&, const Cells::CellId&, const Cells::PartMessage&, Common::Duration,
                    const Common::Callback<Common::Done>& answer) {
                    ++calls;
                    answer(fails ? failed(Common::ErrorCode::StoreUnavailable) : done());
                } } };
    for (uint32_t number = 0; number < 1000; ++number) {
        Cells::TaskTransfer transfer { Cells::CellId("yard-0"), cell, number, {}, {} };
        transfer.part.id = Common::JobId("j");
        outbox.add(cell, transfer, [&] { ++handled; });
    }
    CHECK(calls == 1000);
    CHECK(handled == 0);
    fails = false;
    clock.advance(400ms);
    CHECK(handled == 1000);
    CHECK(outbox.size() == 0);
}
