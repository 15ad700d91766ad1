// Declares the settings of an entry host's process.
#include "Config/EntrySettings.h"

#include "Config/EntrySettingsTable.h"
#include "Config/JsonDocument.h"

namespace Config {

namespace {

    using namespace std::chrono_literals;

    constexpr int64_t highestPort = 65535;
    constexpr size_t maximumSeeds = 64;
    constexpr int64_t highestWorkersPerCell = 1000;

    SettingsTable<EntrySettings> makeTable()
    {
        using Settings = EntrySettings;
        SettingsTable<EntrySettings> table;
        table.name("id", &Settings::hostName, "The host's name.", Presence::Required);
        table.name("domain", &Settings::domain, "The failure domain that the host stands in.", Presence::Required);
        table.name("region", &Settings::region, "The region that the host stands in.", Presence::Required);
        table.address(
            "listen.calls", AddressRule {}, &Settings::callsAddress, "Where callers submit jobs.", Presence::Required);
        table.address("listen.readiness", AddressRule {}, &Settings::readinessAddress,
            "Where a balancer asks whether the host takes calls.", Presence::Required);
        table.address("listen.peers", AddressRule {}, &Settings::peersAddress,
            "Where other hosts call; metrics are served there too.", Presence::Required);
        table.address("listen.metrics", AddressRule {}, &Settings::metricsAddress, "A second address for metrics.");
        table.integer("listen.beats", IntegerRule { 1, highestPort, "port" }, &Settings::heartbeatPort,
            "UDP port for beats; the same on all hosts.");
        table.address("store.address", AddressRule {}, &Settings::storeAddress, "The platform's key-value store.",
            Presence::Required);
        table.addresses("seeds", AddressListRule { maximumSeeds }, &Settings::seeds,
            "Peers' addresses of hosts to begin with; they may be out of date.");
        table.number("host.processorShare", NumberRule { 0.001, 1024, "cores" }, &Settings::processorShare,
            "Share of a core that the process has.");
        table.number("host.processorSpeed", NumberRule { 0.001, 1024, "" }, &Settings::processorSpeed,
            "How many times as fast as a usual core that is.");
        table.duration("workers.longestLease", DurationRule { 1s, 5min }, &Settings::longestRunLease,
            "The longest lease that workers grant to runs.");
        table.number("workers.spreadSlowdown", NumberRule { 1, 1000, "" }, &Settings::spreadSlowdown,
            "How many times as long tasks that belong on one rack take on several.");
        table.integer("cells.workers", IntegerRule { 1, highestWorkersPerCell, "workers" }, &Settings::workersPerCell,
            "Target number of workers of a cell, when the fleet's first host divides them.");
        table.duration("jobs.statusRetention", DurationRule { 1s, 24h }, &Settings::statusRetention,
            "How long the state of a job that has ended is told at least.");
        table.duration("stop.grace", DurationRule { 1s, 1h }, &Settings::stopGrace,
            "From the signal to stop until the process is killed.");
        table.textChoice("log.level", ChoiceRule { { "debug", "info", "warn", "error" } }, &Settings::logLevel,
            "The least severe log lines that are written.");
        return table;
    }

} // namespace

const SettingsTable<EntrySettings>& entrySettingsTable()
{
    static const SettingsTable<EntrySettings> table = makeTable();
    return table;
}

Checked<EntrySettings> EntrySettings::parse(std::string_view text)
{
    const SettingsTable<EntrySettings>& table = entrySettingsTable();
    std::vector<SettingFault> faults;
    const std::optional<nlohmann::json> document = parseJsonDocument(text, faults);
    if (!document)
        return faults;
    EntrySettings settings = table.read(*document, {}, faults);
    if (settings.heartbeatPort == 0 && faults.empty())
        faults.push_back(SettingFault { .kind = SettingFault::Kind::Missing, .path = "listen.beats" });
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace Config
