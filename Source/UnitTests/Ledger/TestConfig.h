// A fixed configuration with a few profiles and teams.
#pragma once

#include "Scheduler/ClusterConfig.h"
#include "Scheduler/ConfigView.h"

#include <memory>

namespace LedgerTests {

class TestConfig final : public Scheduler::ConfigView {
public:
    TestConfig()
    {
        add("batch", [](Scheduler::Profile& profile) { profile.minimumRunTime = std::chrono::seconds(0); });
        add("once", [](Scheduler::Profile& profile) { profile.idempotent = false; });
        add("low", [](Scheduler::Profile& profile) { profile.priority = Scheduler::Priority::Low; });
        add("urgent", [](Scheduler::Profile& profile) { profile.priority = Scheduler::Priority::Urgent; });
        for (const char* team : { "t1", "t2", "t3" })
            document->teams[Common::TeamName(team)] = Scheduler::TeamConfig { .name = Common::TeamName(team) };
        document->teams[Common::TeamName("small")]
            = Scheduler::TeamConfig { .name = Common::TeamName("small"), .quota = { .slots = 2 } };
    }

    std::shared_ptr<const Scheduler::ClusterConfig> current() const override { return document; }
    void onChange(std::function<void()>) override { }

    std::shared_ptr<Scheduler::ClusterConfig> document = std::make_shared<Scheduler::ClusterConfig>();

private:
    template <typename Change> void add(const std::string& name, const Change& change)
    {
        Scheduler::Profile profile;
        profile.name = Common::ProfileName(name);
        change(profile);
        document->profiles[profile.name] = profile;
    }
};

} // namespace LedgerTests
