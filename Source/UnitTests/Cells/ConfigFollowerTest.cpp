// A host keeps what it can use of a configuration that can't be read as a whole, and lives on.
#include "Cells/ConfigFollower.h"

#include "Fakes/FakeProcess.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace Cells;

namespace {

/// Has no text of its own; decodes texts by a table.
class TableSource final : public ConfigSource {
public:
    std::map<std::string, ServingConfig> configs;

    void read(Common::Callback<ConfigText> done) override { done(ConfigText { "first", {} }); }
    void watch(Common::StoreRevision, Common::Duration, Common::Callback<ConfigText>) override { }
    Common::Result<ServingConfig> decode(std::string_view text) const override
    {
        const auto found = configs.find(std::string(text));
        if (found == configs.end())
            return Common::Failure { Common::ErrorCode::ProtocolError, "no such text", {} };
        return found->second;
    }
};

/// Answers every call with `answer`.
class AnsweringPeer final : public Scheduler::PeerPort {
public:
    nlohmann::json answer;

    void call(const std::string&, const std::string&, const nlohmann::json&, Common::Duration, Reply reply) override
    {
        reply(answer);
    }
    void serve(const std::string&, Handler) override { }
};

JobRoute route(const std::string& name, uint32_t priority)
{
    JobRoute made;
    made.policy.route = name;
    made.policy.priority = priority;
    made.prefix = "/" + name + "/";
    return made;
}

struct Following {
    Fakes::VirtualRuntime clock { 1 };
    Fakes::FakeProcess process { clock, 1 };
    TableSource source;
    AnsweringPeer peers;
    ConfigFollower follower { process, source, peers };

    void hear(nlohmann::json answer)
    {
        peers.answer = std::move(answer);
        follower.onVersionOf("b:1", 99);
    }
};

} // namespace

TEST_CASE("a route that becomes unreadable stays in force as it was")
{
    Following following;
    following.source.configs["first"] = ServingConfig { 1, { route("a", 1), route("b", 1), route("c", 1) }, 9, {} };
    following.source.configs["second"] = ServingConfig { 2, { route("b", 2) }, 9, { { "a", "odd" }, { "", "odd" } } };
    following.follower.start();
    following.hear({ { "text", "second" } });
    const ServingConfig& config = *following.follower.current();
    CHECK(config.version == 2);
    REQUIRE(config.routes.size() == 2);
    CHECK(config.find("", "/b/")->policy.priority == 2);
    CHECK(config.find("", "/a/")->policy.priority == 1);
    CHECK_FALSE(config.find("", "/c/"));
}

TEST_CASE("a host's answer whose configuration isn't a text doesn't end the process")
{
    Following following;
    following.source.configs["first"] = ServingConfig { 1, { route("a", 1) }, 9, {} };
    following.follower.start();
    for (const nlohmann::json& answer : { nlohmann::json { { "text", 5 } }, nlohmann::json { { "text", nullptr } },
             nlohmann::json::array(), nlohmann::json(nullptr), nlohmann::json { { "text", "unknown" } } }) {
        following.hear(answer);
        CHECK(following.follower.current()->version == 1);
    }
}
