// Repetition of cancellations by themselves: when they are attempted, when their callers are answered, and their
// bounds.
#include "Cells/PendingCancellations.h"

#include "Fakes/VirtualRuntime.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

using Outcome = std::optional<Common::Result<Common::Done>>;

Common::Failure failure(Common::ErrorCode code) { return Common::Failure { code, "", std::nullopt }; }

/// Each attempt is answered after 10 ms, or at its timeout if `answer` is empty.
struct Attempts {
    Fakes::VirtualRuntime clock { 1 };
    std::optional<Common::Result<Common::Done>> answer = failure(Common::ErrorCode::PeerUnavailable);
    std::map<std::string, std::vector<Common::MonotonicTime>> sent;
    Cells::PendingCancellations pending { clock,
        [this](const Common::JobId& job, Common::Duration timeout, const Common::Callback<Common::Done>& callback) {
            sent[job.value()].push_back(clock.now());
            clock.schedule(answer ? Common::Duration(10ms) : timeout,
                [this, callback] { callback(answer ? *answer : failure(Common::ErrorCode::Timeout)); });
        } };

    void add(const std::string& job, Common::Duration timeout, Outcome& outcome)
    {
        pending.add(Common::JobId(job), timeout, [&outcome](const Common::Result<Common::Done>& done) {
            REQUIRE_FALSE(outcome);
            outcome = done;
        });
    }
};

} // namespace

TEST_CASE("a confirmed cancellation is attempted once and answers its caller at once")
{
    Attempts attempts;
    attempts.answer = Common::Done {};
    Outcome outcome;
    attempts.add("a", 3s, outcome);
    attempts.clock.advance(10ms);
    REQUIRE(outcome);
    CHECK(outcome->hasValue());
    attempts.clock.advance(100s);
    CHECK(attempts.sent["a"].size() == 1);
    CHECK(attempts.pending.size() == 0);
}

TEST_CASE("a cancellation goes on after its caller has got an unknown outcome at its timeout")
{
    Attempts attempts;
    Outcome outcome;
    attempts.add("a", 3s, outcome);
    attempts.clock.advance(3s);
    REQUIRE(outcome);
    REQUIRE_FALSE(outcome->hasValue());
    CHECK(outcome->reason().code == Common::ErrorCode::OutcomeUnknown);
    attempts.clock.advance(20s);
    const size_t before = attempts.sent["a"].size();
    attempts.answer = Common::Done {};
    attempts.clock.advance(5s);
    CHECK(attempts.sent["a"].size() == before + 1);
    CHECK(attempts.pending.size() == 0);
}

TEST_CASE("an attempt without an answer leaves time for another one within a caller's usual timeout")
{
    Attempts attempts;
    attempts.answer.reset();
    Outcome outcome;
    attempts.add("a", 2900ms, outcome);
    attempts.clock.advance(1s);
    attempts.answer = Common::Done {};
    attempts.clock.advance(1900ms);
    REQUIRE(outcome);
    CHECK(outcome->hasValue());
}

TEST_CASE("a job that isn't there ends the cancellation for all its callers")
{
    Attempts attempts;
    Outcome first;
    Outcome second;
    attempts.add("a", 3s, first);
    attempts.clock.advance(100ms);
    attempts.add("a", 3s, second);
    attempts.answer = failure(Common::ErrorCode::UnknownJob);
    attempts.clock.advance(1s);
    for (const Outcome* const outcome : { &first, &second }) {
        REQUIRE(*outcome);
        REQUIRE_FALSE((*outcome)->hasValue());
        CHECK((*outcome)->reason().code == Common::ErrorCode::UnknownJob);
    }
    CHECK(attempts.pending.size() == 0);
}

TEST_CASE("callers of one job share its attempts, which become rarer and end a minute after the last call")
{
    Attempts attempts;
    std::vector<Outcome> outcomes(200);
    for (Outcome& outcome : outcomes)
        attempts.add("a", 3s, outcome);
    attempts.clock.advance(30s);
    const std::vector<Common::MonotonicTime>& sent = attempts.sent["a"];
    // Three attempts while the pause doubles, then one in two seconds.
    CHECK(sent.size() <= 3 + 15);
    CHECK(std::all_of(outcomes.begin(), outcomes.end(), [](const Outcome& outcome) { return outcome.has_value(); }));
    attempts.clock.advance(40s);
    CHECK(attempts.pending.size() == 0);
    const size_t before = sent.size();
    attempts.clock.advance(60s);
    CHECK(sent.size() == before);
}

TEST_CASE("a cancellation beyond the bound isn't begun, and its caller is told so at once")
{
    Attempts attempts;
    attempts.answer.reset();
    std::vector<Outcome> outcomes(1001);
    for (size_t index = 0; index < outcomes.size(); ++index)
        attempts.add(std::to_string(index), 3s, outcomes[index]);
    CHECK(attempts.pending.size() == 1000);
    REQUIRE(outcomes.back());
    REQUIRE_FALSE(outcomes.back()->hasValue());
    CHECK(outcomes.back()->reason().code == Common::ErrorCode::Overloaded);
    CHECK(outcomes.back()->reason().retryAfter);
    attempts.clock.advance(100s);
    CHECK(attempts.sent.count("1000") == 0);
}
