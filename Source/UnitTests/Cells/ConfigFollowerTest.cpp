// A host keeps what it can use of a configuration that can't be read as a whole, and lives on.
#include "Cells/ConfigFollower.h"

#include "Fakes/FakeProcess.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Cells;
using namespace std::chrono_literals;

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

/// A store whose open connections can fall silent: what waits on them ends by its timeout only. New ones work.
class SilenceableSource final : public ConfigSource {
public:
    explicit SilenceableSource(Fakes::FakeProcess& process)
        : m_process(process)
    {
    }

    uint64_t watches = 0;

    void write(int64_t version)
    {
        m_version = version;
        for (const auto& watch : std::exchange(m_watches, {})) {
            if (!watch->silent)
                finish(watch, text());
        }
    }
    void silenceConnections()
    {
        for (const auto& watch : m_watches)
            watch->silent = true;
    }

    void read(Common::Callback<ConfigText> done) override
    {
        m_process.schedule(latency, [this, done] { done(text()); });
    }
    void watch(Common::StoreRevision since, Common::Duration wait, Common::Callback<ConfigText> done) override
    {
        ++watches;
        const auto watch = std::make_shared<Watch>(Watch { std::move(done) });
        if (since < text().upTo) {
            finish(watch, text());
            return;
        }
        m_watches.push_back(watch);
        m_process.schedule(wait, [this, watch] {
            if (!watch->silent)
                finish(watch, ConfigText { {}, text().upTo });
        });
        m_process.schedule(wait + storeTimeout, [this, watch] {
            finish(watch, Common::Failure { Common::ErrorCode::Timeout, "", {} });
        });
    }
    Common::Result<ServingConfig> decode(std::string_view text) const override
    {
        return ServingConfig { std::stoll(std::string(text)), {}, 9, {} };
    }

private:
    static constexpr Common::Duration latency = std::chrono::milliseconds(64);
    /// Platform::KeyValueStore::Settings::timeout.
    static constexpr Common::Duration storeTimeout = std::chrono::milliseconds(800);

    struct Watch {
        Common::Callback<ConfigText> done;
        bool silent = false;
        bool ended = false;
    };

    ConfigText text() const
    {
        return { std::to_string(m_version), Common::StoreRevision { static_cast<uint64_t>(m_version) } };
    }
    void finish(const std::shared_ptr<Watch>& watch, const Common::Result<ConfigText>& found)
    {
        if (std::exchange(watch->ended, true))
            return;
        std::erase(m_watches, watch);
        m_process.schedule(latency, [watch, found] { watch->done(found); });
    }

    Fakes::FakeProcess& m_process;
    int64_t m_version = 1;
    std::vector<std::shared_ptr<Watch>> m_watches;
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

// Guards against a configuration that isn't in force in time since the watch hangs on a silent connection (issue 35).
TEST_CASE("a configuration is in force within four seconds after all connections to the store fell silent")
{
    // The platform takes a host for well again after this time, and asks for a configuration in force after that.
    constexpr Common::Duration contactTime = 4s;
    constexpr Common::Duration applyTime = 3s;
    for (int64_t silentAfter = 0; silentAfter <= 16'000; silentAfter += 250) {
        for (const Common::Duration writtenAfter : { 1ms, 900ms, 4500ms }) {
            CAPTURE(silentAfter);
            CAPTURE(writtenAfter.count());
            Fakes::VirtualRuntime clock { 1 };
            Fakes::FakeProcess process { clock, 1 };
            SilenceableSource source { process };
            AnsweringPeer peers;
            ConfigFollower follower { process, source, peers };
            follower.start();
            clock.advance(500ms + std::chrono::milliseconds(silentAfter));
            REQUIRE(follower.current());
            source.silenceConnections();
            clock.advance(writtenAfter);
            source.write(2);
            clock.advance(std::max<Common::Duration>(applyTime, contactTime - writtenAfter));
            CHECK(follower.current()->version == 2);
        }
    }
}

TEST_CASE("following a configuration that doesn't change takes the store at most one call in two seconds")
{
    Fakes::VirtualRuntime clock { 1 };
    Fakes::FakeProcess process { clock, 1 };
    SilenceableSource source { process };
    AnsweringPeer peers;
    ConfigFollower follower { process, source, peers };
    follower.start();
    clock.advance(60s);
    CHECK(source.watches <= 30);
}
