// Each request has exactly one outcome, and the right one: answered, provably not run, or unknown.
#include "Dispatch/RequestService.h"

#include "Dispatch/RequestWorld.h"

#include <doctest/doctest.h>

using Common::ErrorCode;
using DispatchTests::RequestWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A peer with workers but, by its last load summary, no free slot.
Scheduler::PeerInfo busyPeer(const std::string& name)
{
    Scheduler::PeerInfo peer;
    peer.id = Common::DaemonId(name);
    peer.address = name;
    peer.totalSlots = 8;
    return peer;
}

} // namespace

TEST_CASE("each answer goes to its own request, whatever the order of the answers")
{
    RequestWorld world;
    world.submit("previews", "a");
    world.submit("previews", "b");
    REQUIRE(world.workers.runs.size() == 2);
    std::swap(world.workers.runs[0], world.workers.runs[1]);
    world.workers.answer("for b");
    world.workers.answer("for a");
    REQUIRE(world.outcomes.size() == 2);
    CHECK(world.outcomes[0].first == "b");
    CHECK(std::get<Dispatch::Answered>(world.outcomes[0].second).body == "for b");
    CHECK(std::get<Dispatch::Answered>(world.outcomes[1].second).body == "for a");
}

TEST_CASE("a repeat of an id joins the active request")
{
    RequestWorld world;
    world.submit("previews", "a");
    world.submit("previews", "a");
    CHECK(world.workers.runsSent == 1);
    world.workers.answer("once");
    CHECK(world.outcomes.size() == 2);
    world.submit("previews", "b");
    world.submit("orders", "b");
    CHECK(world.lastNotRun() == ErrorCode::DuplicateId);
}

TEST_CASE("a start that a worker refused is retried on another one, also for work that runs at most once")
{
    RequestWorld world;
    world.submitOrder("o");
    const auto refused = world.workers.fail(ErrorCode::StartTooLate);
    REQUIRE(world.workers.runs.size() == 1);
    CHECK(world.workers.runs[0].address != refused.address);
    CHECK(world.workers.runs[0].command.task != refused.command.task);
    world.workers.answer("done");
    CHECK(world.lastAnswer() == "done");
}

TEST_CASE("work that runs at most once is not sent again after an unknown outcome")
{
    for (const ErrorCode code : { ErrorCode::Timeout, ErrorCode::ConnectionLost, ErrorCode::TruncatedAnswer,
             ErrorCode::ProtocolError, ErrorCode::WorkFailed }) {
        RequestWorld world;
        world.submitOrder("o");
        world.workers.fail(code);
        CHECK(world.lastUnknown() == code);
        world.submitOrder("o");
        CHECK(std::holds_alternative<Dispatch::OutcomeUnknown>(world.last()));
        CHECK(world.workers.runsSent == 1);
    }
}

TEST_CASE("a repeat of an answered order gets the same answer without a second run")
{
    RequestWorld world;
    world.submitOrder("o");
    world.workers.answer("order taken");
    world.submitOrder("o");
    CHECK(world.lastAnswer() == "order taken");
    CHECK(world.workers.runsSent == 1);
}

TEST_CASE("an order that every worker refused did not run and may be retried")
{
    RequestWorld world;
    world.submitOrder("o");
    world.workers.fail(ErrorCode::StartTooLate);
    world.workers.fail(ErrorCode::ConnectFailed);
    REQUIRE(std::holds_alternative<Dispatch::NotRun>(world.last()));
    CHECK(std::get<Dispatch::NotRun>(world.last()).reason.retryAfter);
    world.runtime.advance(seconds(1));
    world.submitOrder("o");
    world.workers.answer("second try");
    CHECK(world.lastAnswer() == "second try");
}

TEST_CASE("the outcome is never NotRun once some attempt may have run")
{
    RequestWorld world;
    world.submit("previews", "p");
    world.workers.fail(ErrorCode::ConnectionLost);
    REQUIRE(world.workers.runs.size() == 1);
    world.workers.fail(ErrorCode::StartTooLate);
    CHECK(world.lastUnknown() == ErrorCode::StartTooLate);
}

TEST_CASE("an attempt with an unknown outcome counts also when it fails while another is active")
{
    RequestWorld world;
    world.submit("previews", "p");
    const auto first = world.workers.take();
    world.runtime.advance(milliseconds(1500));
    const auto second = world.workers.take();
    first.callback(Common::Failure { ErrorCode::ConnectionLost, "scripted" });
    second.callback(Common::Failure { ErrorCode::StartTooLate, "scripted" });
    CHECK(world.lastUnknown() == ErrorCode::StartTooLate);
}

TEST_CASE("an idempotent request is retried when its worker is lost, and a late answer of the first attempt is dropped")
{
    RequestWorld world;
    world.submit("previews", "p");
    const auto first = world.workers.take();
    world.workers.lose(first.address);
    REQUIRE(world.workers.runs.size() == 1);
    CHECK(world.workers.runs[0].address != first.address);
    first.callback(Scheduler::RunAnswer { first.command.task, "text/plain", "late" });
    CHECK(world.outcomes.empty());
    world.workers.answer("from the second");
    CHECK(world.outcomes.size() == 1);
    CHECK(world.lastAnswer() == "from the second");
}

TEST_CASE("an order whose worker is lost is not retried and has an unknown outcome at its deadline")
{
    RequestWorld world;
    world.submitOrder("o");
    world.workers.lose(world.workers.runs[0].address);
    CHECK(world.workers.runs.size() == 1);
    world.runtime.advance(seconds(3));
    CHECK(world.lastUnknown() == ErrorCode::DeadlinePassed);
}

TEST_CASE("a request without room waits, and ends as soon as it can no longer meet its deadline")
{
    RequestWorld world(1, 1);
    world.submit("previews", "running");
    world.submit("previews", "waiting");
    CHECK(world.workers.runs.size() == 1);
    world.runtime.advance(seconds(5));
    REQUIRE(world.outcomes.size() == 2);
    for (const auto& [id, outcome] : world.outcomes) {
        if (id == "waiting")
            CHECK(std::holds_alternative<Dispatch::NotRun>(outcome));
        else
            CHECK(std::holds_alternative<Dispatch::OutcomeUnknown>(outcome));
    }
}

TEST_CASE("the room of an abandoned request is kept until a report shows that it has ended")
{
    RequestWorld world(1, 1);
    world.submit("previews", "slow");
    const auto run = world.workers.take();
    world.runtime.advance(seconds(5));
    CHECK(world.lastUnknown() == ErrorCode::DeadlinePassed);
    CHECK(world.workers.stopped == std::vector { run.command.task });
    world.workers.report("w0", 5000, { run.command.task });
    world.submit("previews", "next");
    CHECK(world.workers.runs.empty());
    world.workers.report("w0", 6000, {});
    CHECK(world.workers.runs.size() == 1);
}

TEST_CASE("a report made before an answer does not allocate the room again")
{
    RequestWorld world(1, 1);
    world.submit("previews", "a");
    const auto run = world.workers.answer("a");
    world.workers.report("w0", 100, { run.command.task });
    world.submit("previews", "b");
    CHECK(world.workers.runs.size() == 1);
}

TEST_CASE("cancelled requests end at once, and many of them cost one call per worker")
{
    RequestWorld world(50, 1);
    for (int i = 0; i < 150; ++i)
        world.submit("previews", std::to_string(i));
    CHECK(world.workers.runs.size() == 50);
    for (int i = 0; i < 150; ++i)
        CHECK(world.requests.cancel(Common::RequestId(std::to_string(i))));
    CHECK(world.outcomes.size() == 150);
    const auto unknown = std::count_if(world.outcomes.begin(), world.outcomes.end(),
        [](const auto& row) { return std::holds_alternative<Dispatch::OutcomeUnknown>(row.second); });
    CHECK(unknown == 50);
    world.runtime.advance(milliseconds(50));
    CHECK(world.workers.stopped.size() == 50);
    CHECK(world.workers.controlCalls == 1);
    CHECK_FALSE(world.requests.cancel(Common::RequestId("0")));
}

TEST_CASE("retries stay within their budget")
{
    RequestWorld world(1000, 1);
    world.config.document->profiles[Common::ProfileName("preview")].retryBudgetPercent = 10;
    constexpr int wanted = 400;
    for (int i = 0; i < wanted; ++i)
        world.submit("previews", std::to_string(i));
    while (!world.workers.runs.empty())
        world.workers.fail(ErrorCode::ConnectionLost);
    // Without a success, the budget allows only its initial tokens.
    CHECK(world.workers.runsSent <= wanted + wanted / 10);
    CHECK(world.outcomes.size() == wanted);
}

TEST_CASE("a silent attempt is followed by a second one in time, within the budget, and the first answer counts")
{
    RequestWorld world;
    world.submit("previews", "p");
    const auto silent = world.workers.take();
    world.runtime.advance(milliseconds(1500));
    REQUIRE(world.workers.runs.size() == 1);
    CHECK(world.workers.runs[0].address != silent.address);
    world.workers.answer("from the second");
    CHECK(world.lastAnswer() == "from the second");
    world.runtime.advance(milliseconds(50));
    CHECK(world.workers.stopped == std::vector { silent.command.task });
}

TEST_CASE("while the store is down, orders are refused as not run and previews are still answered")
{
    RequestWorld world;
    world.store.faults.down = true;
    world.submit("orders", "o");
    world.runtime.advance(milliseconds(1500));
    REQUIRE(std::holds_alternative<Dispatch::NotRun>(world.last()));
    CHECK(std::get<Dispatch::NotRun>(world.last()).reason.retryAfter);
    CHECK(world.workers.runsSent == 0);
    world.submit("previews", "p");
    world.workers.answer("here");
    CHECK(world.lastAnswer() == "here");
}

TEST_CASE("an intent that is written after the deadline is ended as not run, and a repeat runs")
{
    RequestWorld world;
    world.store.faults.minimumLatency = milliseconds(700);
    world.store.faults.maximumLatency = milliseconds(700);
    Dispatch::IncomingRequest request;
    request.id = Common::RequestId("o");
    request.service = Common::ServiceName("orders");
    request.deadline = milliseconds(300);
    world.requests.submit(std::move(request),
        [&](const Dispatch::RequestOutcome& outcome) { world.outcomes.emplace_back("o", outcome); });
    world.runtime.advance(seconds(4));
    CHECK(world.lastNotRun() == ErrorCode::DeadlinePassed);
    CHECK(world.workers.runsSent == 0);
    world.store.faults.minimumLatency = milliseconds(1);
    world.store.faults.maximumLatency = milliseconds(3);
    world.runtime.advance(seconds(4));
    world.submitOrder("o");
    REQUIRE(world.workers.runs.size() == 1);
    world.workers.answer("ran");
    CHECK(world.lastAnswer() == "ran");
}

TEST_CASE("nothing runs without a configuration, for an unknown service or after the deadline")
{
    RequestWorld world;
    world.submit("nothing", "a");
    CHECK(world.lastNotRun() == ErrorCode::UnknownService);
    Dispatch::IncomingRequest late;
    late.id = Common::RequestId("late");
    late.service = Common::ServiceName("previews");
    late.deadline = milliseconds(0);
    world.requests.submit(
        late, [&](const Dispatch::RequestOutcome& outcome) { world.outcomes.emplace_back("late", outcome); });
    CHECK(world.lastNotRun() == ErrorCode::DeadlinePassed);
    world.config.document = nullptr;
    world.submit("previews", "b");
    CHECK(world.lastNotRun() == ErrorCode::NoConfiguration);
    CHECK(world.workers.runsSent == 0);
}

TEST_CASE("a daemon without workers forwards requests to a peer with workers, even busy ones")
{
    RequestWorld world(1, 0);
    world.members.seePeers({ busyPeer("d2") });
    for (const char* id : { "a", "b", "c" })
        world.submit("previews", id);
    CHECK(world.outcomes.empty());
    REQUIRE(world.peers.forwards.size() == 3);
    CHECK(world.peers.forwards[0].address == "d2");
    CHECK(world.peers.forwards[0].request.hops == 1);
}

TEST_CASE("a daemon without workers refuses at once a request that it may not forward")
{
    RequestWorld world(1, 0);
    world.members.seePeers({ busyPeer("d2") });
    Dispatch::IncomingRequest request;
    request.id = Common::RequestId("forwarded twice");
    request.service = Common::ServiceName("previews");
    request.hops = Dispatch::RequestServiceSettings {}.maximumHops;
    world.requests.submit(std::move(request),
        [&world](const Dispatch::RequestOutcome& outcome) { world.outcomes.emplace_back("p", outcome); });
    REQUIRE(world.outcomes.size() == 1);
    CHECK(world.lastNotRun() == ErrorCode::NoWorker);
    CHECK(std::get<Dispatch::NotRun>(world.last()).reason.retryAfter);
}

TEST_CASE("a daemon without workers keeps forwarding a queued request, however often peers refused it")
{
    RequestWorld world(1, 0);
    world.members.seePeers({ busyPeer("d2"), busyPeer("d3"), busyPeer("d4"), busyPeer("d5") });
    world.submit("previews", "p");
    const Dispatch::RequestOutcome full = Dispatch::NotRun { { ErrorCode::Overloaded, "scripted" } };
    const auto few = static_cast<size_t>(Dispatch::RequestServiceSettings {}.maximumForwards);
    for (size_t tried = 0; tried < few; ++tried) {
        REQUIRE(world.peers.forwards.size() == tried + 1);
        world.peers.forwards[tried].callback(full);
    }
    REQUIRE(world.outcomes.empty());
    world.requests.tick();
    REQUIRE(world.peers.forwards.size() == few + 1);
    world.peers.forwards.back().callback(Dispatch::Answered { "text/plain", "in the end" });
    CHECK(world.lastAnswer() == "in the end");
}

TEST_CASE("a request that comes back from the daemon it was forwarded to doesn't wait for itself")
{
    RequestWorld world(1, 0);
    world.members.seePeers({ busyPeer("d2") });
    world.submit("previews", "p");
    REQUIRE(world.peers.forwards.size() == 1);
    Dispatch::IncomingRequest back = world.peers.forwards[0].request;
    std::optional<Dispatch::RequestOutcome> outcomeOfCopy;
    ++back.hops;
    world.requests.submit(back, [&outcomeOfCopy](const Dispatch::RequestOutcome& outcome) { outcomeOfCopy = outcome; });
    REQUIRE(outcomeOfCopy);
    REQUIRE(std::holds_alternative<Dispatch::NotRun>(*outcomeOfCopy));
    CHECK(std::get<Dispatch::NotRun>(*outcomeOfCopy).reason.retryAfter);
    // The caller's own request still gets the other daemon's outcome.
    CHECK(world.outcomes.empty());
    world.submit("previews", "p");
    CHECK(world.peers.forwards.size() == 1);
}

TEST_CASE("the total size of kept request bodies is bounded")
{
    RequestWorld world(1, 1);
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        Dispatch::IncomingRequest request;
        request.id = Common::RequestId(std::to_string(i));
        request.service = Common::ServiceName("previews");
        request.body.assign(size_t { 1 } << 20, 'x');
        world.requests.submit(std::move(request), [&](const Dispatch::RequestOutcome& outcome) {
            const auto* const notRun = std::get_if<Dispatch::NotRun>(&outcome);
            refused += notRun && notRun->reason.code == ErrorCode::Overloaded ? 1 : 0;
        });
    }
    CHECK(refused >= 52);
    CHECK(world.requests.underWay() <= 48);
}
