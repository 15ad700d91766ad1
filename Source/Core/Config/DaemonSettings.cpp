// Declares a daemon's settings and checks that they are consistent.
#include "Config/DaemonSettings.h"

#include "Config/DaemonSettingsTable.h"
#include "Config/DurationText.h"
#include "Config/JsonDocument.h"

namespace Config {

namespace {

    using namespace std::chrono_literals;

    constexpr int64_t mebibyte = int64_t { 1 } << 20;
    /// A peer counts as dead only after this many missed heartbeats.
    constexpr int minimumMissedHeartbeats = 3;

    void addIdentity(SettingsTable<DaemonSettings>& table)
    {
        using Settings = DaemonSettings;
        table.name("id", &Settings::hostName, "The host's name; the daemon's id is made from it and its boot.",
            Presence::Required);
        table.address("listen", AddressRule { .zeroPort = true }, &Settings::listenAddress,
            "Where callers, operators and peers connect.", Presence::Required);
        table.address("advertise", AddressRule {}, &Settings::advertisedAddress,
            "Where others reach this daemon; the listen address if left out.");
        table.name("domain", &Settings::domain, "The failure domain that the host stands in.", Presence::Required);
        table.name("region", &Settings::region, "The region that the host stands in.", Presence::Required);
        table.addresses("peers", AddressListRule { 64 }, &Settings::seedPeers,
            "Daemons to ask at first, of any domain, so that peers are found while the store is away.");
        table.textChoice("log.level", ChoiceRule { { "debug", "info", "warn", "error" } }, &Settings::logLevel,
            "The least severe log lines that are written.");
        table.integer("timeline.capacity", IntegerRule { 100, 1'000'000, "events" }, &Settings::timelineCapacity,
            "Events that the daemon keeps for the time line; the oldest go first.");
    }

    void addMembership(SettingsTable<DaemonSettings>& table)
    {
        using Settings = DaemonSettings;
        table.duration("membership.heartbeat", DurationRule { 50ms, 10s }, &Settings::heartbeatInterval,
            "How often peers tell each other that they live.");
        table.duration("membership.peerTimeout", DurationRule { 200ms, 1min }, &Settings::peerTimeout,
            "A peer that was not heard from for this long is taken for dead; at least three heartbeats.");
        table.duration("membership.session", DurationRule { 1s, 5min }, &Settings::sessionTimeToLive,
            "Lease of the daemon's entry in the store; longer than membership.peerTimeout.");
    }

    void addWorkers(SettingsTable<DaemonSettings>& table)
    {
        using Settings = DaemonSettings;
        table.duration("workers.hostList", DurationRule { 200ms, 1min }, &Settings::hostListInterval,
            "How often the platform's list of hosts is read.");
        table.duration("workers.sync", DurationRule { 50ms, 10s }, &Settings::syncInterval,
            "How often an owner syncs with each of its workers.");
        table.duration("workers.syncTimeout", DurationRule { 50ms, 10s }, &Settings::syncTimeout,
            "A sync without an answer is given up after this long; shorter than workers.startWindow.");
        table.duration("workers.startWindow", DurationRule { 200ms, 1min }, &Settings::startWindow,
            "How long after a sync an owner may start tasks; more than two syncs.");
        table.duration("workers.claim", DurationRule { 500ms, 5min }, &Settings::claimTimeToLive,
            "How long an owner's claim lasts without a sync; longer than workers.startWindow.");
        table.duration("workers.taskLease", DurationRule { 1s, 10min }, &Settings::taskLease,
            "How long a task runs on without its owner; longer than workers.claim and workers.startWindow together, "
            "so that a successor can adopt it.");
        table.integer("workers.connections", IntegerRule { 1, 1000, "connections" }, &Settings::connectionsPerWorker,
            "Most connections to one worker.");
    }

    void addStore(SettingsTable<DaemonSettings>& table)
    {
        using Settings = DaemonSettings;
        table.address("store.address", AddressRule {}, &Settings::storeAddress, "The platform's key-value store.",
            Presence::Required);
        table.duration("store.timeout", DurationRule { 100ms, 5s }, &Settings::storeTimeout,
            "A call to the store without an answer is given up after this long.");
        table.duration("config.watchWait", DurationRule { 500ms, 5s }, &Settings::configWatchWait,
            "How long one watch on the configuration waits in the store.");
        table.integer("config.historyKept", IntegerRule { 10, 10'000, "revisions" }, &Settings::configHistoryKept,
            "Accepted revisions that the store keeps.");
        table.integer("ledger.shards", IntegerRule { 1, 256, "shards" }, &Settings::ledgerShards,
            "Shards of the ledger. The same for every daemon; it can't be changed once jobs have been accepted.");
        table.duration("ledger.commit", DurationRule { 5ms, 5s }, &Settings::ledgerCommitInterval,
            "How long changes of a shard are gathered for one write.");
    }

    void addLimits(SettingsTable<DaemonSettings>& table)
    {
        using Settings = DaemonSettings;
        table.integer("limits.bodyBytes", IntegerRule { 1024, 256 * mebibyte, "bytes" }, &Settings::maximumBodyBytes,
            "Largest body of a request or an answer.");
        table.integer("limits.connections", IntegerRule { 16, 65'536, "connections" }, &Settings::maximumConnections,
            "Most open connections from callers, operators and peers.");
        table.integer("limits.keptRequests", IntegerRule { 10, 1'000'000, "requests" }, &Settings::maximumKeptRequests,
            "Most requests kept at once, queued or under way.");
        table.integer("limits.keptBytes", IntegerRule { mebibyte, 65'536 * mebibyte, "bytes" },
            &Settings::maximumKeptBytes, "Most bytes of bodies kept at once; at least limits.bodyBytes.");
        table.integer("limits.interRegionBytesPerSecond", IntegerRule { 0, 1'250'000'000, "bytes a second" },
            &Settings::interRegionBytesPerSecond,
            "What this daemon may send to other regions; 0 keeps all work in its own.");
        table.duration("drain.timeout", DurationRule { 1s, 1h }, &Settings::drainTimeout,
            "The longest that a planned stop waits for what runs.");
    }

    SettingsTable<DaemonSettings> makeTable()
    {
        SettingsTable<DaemonSettings> table;
        addIdentity(table);
        addMembership(table);
        addWorkers(table);
        addStore(table);
        addLimits(table);
        return table;
    }

    /// Reports settings that are each allowed, but not together.
    class ConsistencyCheck {
    public:
        explicit ConsistencyCheck(std::vector<SettingFault>& faults)
            : m_faults(faults)
        {
        }

        void require(bool holds, const std::string& path, const std::string& found, const std::string& allowed)
        {
            if (holds)
                return;
            m_faults.push_back(SettingFault {
                .kind = SettingFault::Kind::Inconsistent, .path = path, .found = found, .allowed = allowed });
        }

        void requireLongerThan(
            const std::string& path, Common::Duration value, Common::Duration bound, const std::string& boundName)
        {
            require(value > bound, path, "\"" + printDuration(value) + "\"",
                "longer than " + boundName + " (\"" + printDuration(bound) + "\")");
        }

    private:
        std::vector<SettingFault>& m_faults;
    };

    /// A change must be in force within 12 s. This is the rest after the grace of a watch, a poll of the peers'
    /// revisions and the fetch from a peer (ConfigServiceOptions).
    constexpr Common::Duration maximumUntilLearned = 8500ms;

    void checkConfigTimes(const DaemonSettings& settings, ConsistencyCheck& check)
    {
        const Common::Duration untilLearned
            = settings.configWatchWait + settings.storeTimeout + settings.heartbeatInterval;
        check.require(untilLearned <= maximumUntilLearned, "config.watchWait",
            "\"" + printDuration(settings.configWatchWait) + "\"",
            "with store.timeout and membership.heartbeat at most \"" + printDuration(maximumUntilLearned)
                + "\", so that a change is in force within 12s");
    }

    bool isWildcardAddress(const std::string& address) { return address.compare(0, 8, "0.0.0.0:") == 0; }

    void checkConsistency(const DaemonSettings& settings, std::vector<SettingFault>& faults)
    {
        ConsistencyCheck check(faults);
        check.require(!isWildcardAddress(settings.advertisedAddress), "advertise",
            "\"" + settings.advertisedAddress + "\"",
            "an address that others can reach; give \"advertise\" when \"listen\" is every interface");
        check.require(settings.peerTimeout >= minimumMissedHeartbeats * settings.heartbeatInterval,
            "membership.peerTimeout", "\"" + printDuration(settings.peerTimeout) + "\"",
            "at least 3 times membership.heartbeat");
        check.requireLongerThan(
            "membership.session", settings.sessionTimeToLive, settings.peerTimeout, "membership.peerTimeout");
        check.requireLongerThan(
            "workers.startWindow", settings.startWindow, settings.syncTimeout, "workers.syncTimeout");
        check.requireLongerThan(
            "workers.startWindow", settings.startWindow, 2 * settings.syncInterval, "2 times workers.sync");
        check.requireLongerThan("workers.claim", settings.claimTimeToLive, settings.startWindow, "workers.startWindow");
        check.requireLongerThan("workers.taskLease", settings.taskLease,
            settings.claimTimeToLive + settings.startWindow, "workers.claim and workers.startWindow together");
        checkConfigTimes(settings, check);
        check.require(settings.maximumKeptBytes >= settings.maximumBodyBytes, "limits.keptBytes",
            std::to_string(settings.maximumKeptBytes), "at least limits.bodyBytes");
    }

} // namespace

const SettingsTable<DaemonSettings>& daemonSettingsTable()
{
    static const SettingsTable<DaemonSettings> table = makeTable();
    return table;
}

Checked<DaemonSettings> DaemonSettings::parse(std::string_view text)
{
    std::vector<SettingFault> faults;
    const std::optional<nlohmann::json> document = parseJsonDocument(text, faults);
    if (!document)
        return faults;
    DaemonSettings settings = daemonSettingsTable().read(*document, {}, faults);
    if (settings.advertisedAddress.empty())
        settings.advertisedAddress = settings.listenAddress;
    checkConsistency(settings, faults);
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace Config
