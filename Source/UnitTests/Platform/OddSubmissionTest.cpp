// Submissions and headers of callers with figures out of range.
#include "platform/JobCalls.h"

#include "Fakes/OddJson.h"

#include <doctest/doctest.h>

#include <limits>
#include <string>

using namespace Platform;
using namespace std::chrono_literals;

namespace {

Common::Duration timeoutFor(const std::string& header)
{
    Http::Request request;
    request.headers.set("X-Deadline-Ms", header);
    return timeoutOf(request, 5s);
}

Common::Result<Jobs::JobSpec> withStep(const std::string& fields)
{
    return readSpec(R"({"phases":[{)" + fields + "}]}");
}
Common::Result<Jobs::JobSpec> withSteps(const std::string& first, const std::string& members)
{
    return readSpec(R"({"phases":[{)" + first + "},{}]" + members + "}");
}

} // namespace

TEST_CASE("a caller's time limit that doesn't fit into a duration isn't taken for a short one")
{
    CHECK(timeoutFor("1500") == 1500ms);
    for (const char* const header :
        { "9223372036854775807", "9223372036854776", "18446744073709551", "99999999999999", "99999999999999999999" }) {
        CAPTURE(header);
        CHECK(timeoutFor(header) >= 24h);
        CHECK(timeoutFor(header) <= 24h * 366);
    }
    for (const char* const header : { "", "-1", "0", "x", "1e3" })
        CHECK((timeoutFor(header) == 5s || timeoutFor(header) == 1ms));
}

TEST_CASE("a huge limit of tasks per worker isn't taken for no limit")
{
    for (const char* const number : { "4294967296", "1000000000000000", "4294967295" }) {
        CAPTURE(number);
        const auto spec = withStep(std::string(R"("max_per_server":)") + number);
        REQUIRE(spec);
        CHECK(spec->steps[0].maximumPerWorker >= 100'000);
        const auto unavailable = withStep(std::string(R"("max_unavailable":)") + number);
        REQUIRE(unavailable);
        CHECK(unavailable->steps[0].maximumUnavailable >= 100'000);
    }
}

TEST_CASE("a step that refers to an index that doesn't fit into 32 bits is refused")
{
    for (const char* const index : { "4294967296", "1e300", "-1", "0.5", "18446744073709551615" }) {
        CAPTURE(index);
        CHECK_FALSE(readSpec(std::string(R"({"phases":[{},{"after":[)") + index + "]}]}"));
    }
    CHECK(readSpec(R"({"phases":[{},{"after":[0]}]})"));
}

TEST_CASE("a submission with a number that its field can't have is refused")
{
    for (const char* const field : { "cpu", "mem_mb", "gpus", "estimate_ms", "target_ms", "count", "max_per_server" }) {
        for (const char* const number :
            { "-5", "-1e300", "1e300", "1e19", "9e18", "18446744073709551615", "true", "[]" }) {
            CAPTURE(field);
            CAPTURE(number);
            CHECK_FALSE(withStep("\"" + std::string(field) + "\":" + number));
        }
    }
    for (const char* const field : { "times", "start_at_ms", "interval_ms" }) {
        for (const char* const number : { "-5", "1e300", "9e18", "18446744073709551615", "[]" })
            CHECK_FALSE(withSteps("", ",\"" + std::string(field) + "\":" + number));
    }
}

TEST_CASE("the demand of a job's tasks together doesn't overflow")
{
    const auto spec = withStep(R"("count":100000,"cpu":1000000000,"estimate_ms":1000000000000000)");
    REQUIRE(spec);
    const Jobs::StepSpec& step = spec->steps[0];
    int64_t demand = 0;
    REQUIRE_FALSE(__builtin_mul_overflow(int64_t { step.taskCount }, step.resources.milliCores, &demand));
    int64_t chain = 0;
    CHECK_FALSE(__builtin_mul_overflow(int64_t { 1000 }, step.estimate.count(), &chain));
    CHECK_FALSE(withStep(R"("count":100000,"cpu":1000000000000000)"));
}

TEST_CASE("no occurrence of a job is due at a time that overflows")
{
    CHECK(withSteps("", R"(,"times":100000,"start_at_ms":1764900000000,"interval_ms":86400000)"));
    CHECK_FALSE(withSteps("", R"(,"times":100000,"start_at_ms":1764900000000,"interval_ms":1000000000000000)"));
    const auto single = withSteps("", R"(,"times":1,"start_at_ms":1000000000000000)");
    REQUIRE(single);
    CHECK(single->dueMilliseconds(0) <= std::numeric_limits<int64_t>::max() / 1000);
}

TEST_CASE("a submission that is nested too deeply is refused and doesn't end the process")
{
    const std::string deep = Fakes::nestedLists(Fakes::excessiveDepth);
    CHECK_FALSE(readSpec(deep));
    CHECK_FALSE(readSpec(R"({"phases":)" + deep + "}"));
    CHECK_FALSE(readSpec(R"({"phases":[{"after":)" + deep + "}]}"));
    CHECK_FALSE(readSpec(R"({"phases":[{}],"unknown":)" + deep + "}"));
}
