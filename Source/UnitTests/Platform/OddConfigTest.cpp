// Configurations of the operator with routes or limits that have a wrong form.
#include "platform/OperatorConfig.h"

#include "Fakes/FakeRecordStore.h"
#include "Fakes/OddJson.h"

#include <doctest/doctest.h>

#include <string>

using namespace Platform;
using namespace std::chrono_literals;

namespace {

const std::string goodRoute = R"({"name":"r1","host":"h","prefix":"/a/","service":"s","priority":2,"max_attempts":3,
    "stretch":1.5,"target_duration_ms":600,"timeout_ms":3000})";

Common::Result<Cells::ServingConfig> decode(const std::string& text)
{
    Fakes::VirtualRuntime clock(1);
    Fakes::FakeNetwork network(clock, 1);
    Fakes::FakeRecordStore store(clock, network, 1);
    Fakes::FakeProcess process(clock, 1);
    return OperatorConfig(store.client("a:1", process)).decode(text);
}

std::string withRoutes(const std::string& routes) { return R"({"version":1,"routes":[)" + routes + "]}"; }

} // namespace

TEST_CASE("a route that can't be read doesn't hide the good ones")
{
    const auto config
        = decode(withRoutes(R"(5,null,{"name":7},{"name":"r0","service":8,"host":"h","prefix":"/"},)" + goodRoute));
    REQUIRE(config);
    REQUIRE(config->routes.size() == 1);
    CHECK(config->routes[0].policy.route == "r1");
    REQUIRE(config->unreadableRoutes.size() == 4);
    CHECK(config->unreadableRoutes[0].name.empty());
    CHECK(config->unreadableRoutes[3].name == "r0");
}

TEST_CASE("a configuration without a readable route is refused")
{
    CHECK_FALSE(decode(withRoutes("5,{}")));
    CHECK_FALSE(decode(R"({"version":1,"routes":{}})"));
    CHECK_FALSE(decode(R"({"version":1,"routes":5})"));
}

TEST_CASE("a route with a number that its field can't have isn't taken")
{
    REQUIRE(decode(withRoutes(goodRoute)));
    for (const char* const field : { R"("priority":2)", R"("max_attempts":3)", R"("stretch":1.5)",
             R"("target_duration_ms":600)", R"("timeout_ms":3000)" }) {
        const std::string name(field, std::string(field).find(':') + 1);
        for (const std::string& number : Fakes::oddNumbers()) {
            const std::string text = withRoutes(Fakes::withReplaced(goodRoute, field, name + number));
            CAPTURE(text);
            CHECK_FALSE(decode(text));
        }
    }
    CHECK_FALSE(
        decode(withRoutes(Fakes::withReplaced(goodRoute, R"("max_attempts":3)", R"("max_attempts":4294967296)"))));
}

TEST_CASE("a limit of bodies that no limit can be isn't taken")
{
    const size_t byDefault = decode(withRoutes(goodRoute))->maximumBodyBytes;
    for (const std::string& number : Fakes::oddNumbers()) {
        CAPTURE(number);
        const auto config = decode(R"({"version":1,"routes":[],"limits":{"max_body_bytes":)" + number + "}}");
        REQUIRE(config);
        CHECK(config->maximumBodyBytes == byDefault);
    }
    for (const char* const limits : { "5", "[]", "null" })
        CHECK(
            decode(std::string(R"({"version":1,"routes":[],"limits":)") + limits + "}")->maximumBodyBytes == byDefault);
}

TEST_CASE("a configuration that is nested too deeply is refused and doesn't end the process")
{
    const std::string deep = Fakes::nestedLists(Fakes::excessiveDepth);
    CHECK_FALSE(decode(deep));
    CHECK_FALSE(decode(R"({"version":1,"routes":[],"limits":)" + deep + "}"));
    CHECK_FALSE(decode(withRoutes(deep)));
}

TEST_CASE("the reason why a configuration can't be read doesn't repeat its text")
{
    const auto config = decode(R"({"version":1,"routes":[")" + std::string(1'000'000, 'x'));
    REQUIRE_FALSE(config);
    CHECK(config.reason().detail.size() < 300);
}
