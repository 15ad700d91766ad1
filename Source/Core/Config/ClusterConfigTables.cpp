// Declares every setting of profiles, services and teams.
#include "Config/ClusterConfigTables.h"

namespace Config {

namespace {

    using namespace std::chrono_literals;
    using Scheduler::Priority;
    using Scheduler::Profile;
    using Scheduler::ServiceConfig;
    using Scheduler::SpillScope;
    using Scheduler::TeamConfig;

    constexpr int64_t maximumSlots = 1024;
    constexpr int64_t maximumMilliCores = 1'024'000;
    constexpr int64_t maximumMemoryMegabytes = 16'777'216;
    constexpr int64_t maximumAccelerators = 64;
    /// Quotas cover the whole system, so their upper bounds are those of one worker times this.
    constexpr int64_t maximumWorkers = 100'000;

    void addRequestRules(SettingsTable<Profile>& table)
    {
        table.duration("deadline", DurationRule { 1ms, 1h }, &Profile::deadline,
            "A request's deadline when its caller gives none; not above maximumDeadline.");
        table.duration("maximumDeadline", DurationRule { 1ms, 1h }, &Profile::maximumDeadline,
            "The longest deadline that a caller may ask for.");
        table.flag("idempotent", &Profile::idempotent,
            "Whether work may run again after an unknown outcome. If false, a request or job runs at most once.");
        table.choice<Priority>("priority", { Priority::Low, Priority::Normal, Priority::High, Priority::Urgent },
            Scheduler::priorityName, Scheduler::priorityFromName, &Profile::priority, "Higher priorities go first.");
        table.duration("maximumQueueTime", DurationRule { 0ms, 1h }, &Profile::maximumQueueTime,
            "A request that would wait longer is refused.");
        table.integer("maximumQueued", IntegerRule { 0, 1'000'000, "requests" }, &Profile::maximumQueued,
            "Most requests that wait in one daemon.");
        table.integer("retryBudgetPercent", IntegerRule { 0, 100, "percent" }, &Profile::retryBudgetPercent,
            "The system's own retries, as a share of the answers.");
        table.integer("maximumAttempts", IntegerRule { 1, 10, "attempts" }, &Profile::maximumAttempts,
            "Most attempts at one request.");
        table.choice<SpillScope>("spill", { SpillScope::Domain, SpillScope::Region, SpillScope::Everywhere },
            Scheduler::spillScopeName, Scheduler::spillScopeFromName, &Profile::spill,
            "How far work may go from the domain that received it.");
    }

    void addBatchRules(SettingsTable<Profile>& table)
    {
        table.flag("evictable", &Profile::evictable, "Whether a running batch task may be evicted.");
        table.duration("minimumRunTime", DurationRule { 0ms, 24h }, &Profile::minimumRunTime,
            "How long a batch task runs at least before it may be evicted.");
        table.integer("maximumJobFailures", IntegerRule { 1, 100, "workers" }, &Profile::maximumJobFailures,
            "A job that has failed on this many distinct workers is given up.");
    }

    SettingsTable<Profile> makeProfileTable()
    {
        SettingsTable<Profile> table;
        addRequestRules(table);
        addBatchRules(table);
        return table;
    }

    SettingsTable<ServiceConfig> makeServiceTable()
    {
        SettingsTable<ServiceConfig> table;
        table.reference("profile", "profiles", &ServiceConfig::profile, "The profile that the service picks.");
        table.reference("team", "teams", &ServiceConfig::team, "The team whose quota its requests count against.");
        table.integer(
            "resources.slots", IntegerRule { 1, maximumSlots, "slots" },
            [](auto& service) -> auto& { return service.resources.slots; }, "Declared need of one request.");
        table.integer(
            "resources.milliCores", IntegerRule { 0, maximumMilliCores, "thousandths of a core" },
            [](auto& service) -> auto& { return service.resources.milliCores; }, "Declared need of one request.");
        table.integer(
            "resources.memoryMb", IntegerRule { 0, maximumMemoryMegabytes, "MB" },
            [](auto& service) -> auto& { return service.resources.memoryMegabytes; }, "Declared need of one request.");
        table.integer(
            "resources.accelerators", IntegerRule { 0, maximumAccelerators, "accelerators" },
            [](auto& service) -> auto& { return service.resources.accelerators; }, "Declared need of one request.");
        return table;
    }

    SettingsTable<TeamConfig> makeTeamTable()
    {
        const std::string doc = "Most that the team's running batch tasks may hold over the whole system; 0: no limit.";
        SettingsTable<TeamConfig> table;
        table.integer(
            "quota.slots", IntegerRule { 0, maximumWorkers * maximumSlots, "slots" },
            [](auto& team) -> auto& { return team.quota.slots; }, doc);
        table.integer(
            "quota.milliCores", IntegerRule { 0, maximumWorkers * maximumMilliCores, "thousandths of a core" },
            [](auto& team) -> auto& { return team.quota.milliCores; }, doc);
        table.integer(
            "quota.memoryMb", IntegerRule { 0, maximumWorkers * maximumMemoryMegabytes, "MB" },
            [](auto& team) -> auto& { return team.quota.memoryMegabytes; }, doc);
        table.integer(
            "quota.accelerators", IntegerRule { 0, maximumWorkers * maximumAccelerators, "accelerators" },
            [](auto& team) -> auto& { return team.quota.accelerators; }, doc);
        table.integer("maximumConcurrentRequests", IntegerRule { 0, 1'000'000, "requests" },
            &TeamConfig::maximumConcurrentRequests,
            "Most requests of the team under way at once per daemon; 0: no limit.");
        return table;
    }

} // namespace

const SettingsTable<Profile>& profileTable()
{
    static const SettingsTable<Profile> table = makeProfileTable();
    return table;
}

const SettingsTable<ServiceConfig>& serviceTable()
{
    static const SettingsTable<ServiceConfig> table = makeServiceTable();
    return table;
}

const SettingsTable<TeamConfig>& teamTable()
{
    static const SettingsTable<TeamConfig> table = makeTeamTable();
    return table;
}

} // namespace Config
