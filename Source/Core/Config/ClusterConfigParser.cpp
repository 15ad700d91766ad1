// Parses the sections of the configuration document by their settings tables, then checks the references between them.
#include "Config/ClusterConfigParser.h"

#include "Config/ClusterConfigTables.h"
#include "Config/DurationText.h"
#include "Config/JsonDocument.h"
#include "Config/NearestName.h"

#include <algorithm>

namespace Config {

namespace {

    using Scheduler::ClusterConfig;

    /// The store limits a value to one megabyte, and the text grows when it is escaped as JSON.
    constexpr size_t maximumDocumentBytes = 400'000;

    const std::vector<std::string> sectionNames { "profiles", "services", "teams" };

    /// Reads one document and adds every fault it finds to `faults`.
    class ClusterConfigReader {
    public:
        explicit ClusterConfigReader(std::vector<SettingFault>& faults)
            : m_faults(faults)
        {
        }

        ClusterConfig read(const nlohmann::json& document)
        {
            ClusterConfig config;
            if (!document.is_object()) {
                addFault(SettingFault::Kind::WrongType, {}, document, "object");
                return config;
            }
            checkSectionNames(document);
            config.profiles = readSection<Common::ProfileName>(document, "profiles", profileTable());
            config.teams = readSection<Common::TeamName>(document, "teams", teamTable());
            config.services = readSection<Common::ServiceName>(document, "services", serviceTable());
            checkProfiles(config);
            checkReferences(document, config);
            return config;
        }

    private:
        void checkSectionNames(const nlohmann::json& document)
        {
            for (const auto& [name, value] : document.items()) {
                if (std::find(sectionNames.begin(), sectionNames.end(), name) != sectionNames.end())
                    continue;
                addFault(SettingFault::Kind::UnknownName, name, value, "one of profiles services teams",
                    nearestName(name, sectionNames));
            }
        }

        template <typename Name, typename Entry>
        std::map<Name, Entry> readSection(
            const nlohmann::json& document, const std::string& section, const SettingsTable<Entry>& table)
        {
            std::map<Name, Entry> entries;
            if (!document.contains(section))
                return entries;
            const nlohmann::json& object = document[section];
            if (!object.is_object()) {
                addFault(SettingFault::Kind::WrongType, section, object, "object");
                return entries;
            }
            for (const auto& [name, value] : object.items()) {
                const std::string path = joinPath(section, name);
                if (!isName(name))
                    addFault(SettingFault::Kind::OutOfRange, path, nlohmann::json(name), ruleAllowed(NameRule {}));
                Entry entry = table.read(value, path, m_faults);
                entry.name = Name(name);
                entries.emplace(Name(name), std::move(entry));
            }
            return entries;
        }

        void checkProfiles(const ClusterConfig& config)
        {
            for (const auto& [name, profile] : config.profiles) {
                if (profile.deadline <= profile.maximumDeadline)
                    continue;
                addFault(SettingFault::Kind::Inconsistent, "profiles." + name.value() + ".deadline",
                    nlohmann::json(printDuration(profile.deadline)),
                    "at most maximumDeadline (\"" + printDuration(profile.maximumDeadline) + "\")");
            }
        }

        void checkReferences(const nlohmann::json& document, const ClusterConfig& config)
        {
            for (const auto& [name, service] : config.services) {
                const std::string path = "services." + name.value();
                checkReference(document, "profiles", path + ".profile", service.profile.value());
                checkReference(document, "teams", path + ".team", service.team.value());
            }
        }

        void checkReference(const nlohmann::json& document, const std::string& section, const std::string& path,
            const std::string& name)
        {
            // The name is empty if it was missing or invalid; that fault is already reported.
            if (name.empty())
                return;
            const std::vector<std::string> known = namesIn(document, section);
            if (std::find(known.begin(), known.end(), name) != known.end())
                return;
            addFault(SettingFault::Kind::UndefinedReference, path, nlohmann::json(name),
                "a name under \"" + section + "\"", nearestName(name, known));
        }

        static std::vector<std::string> namesIn(const nlohmann::json& document, const std::string& section)
        {
            std::vector<std::string> names;
            if (!document.contains(section) || !document[section].is_object())
                return names;
            for (const auto& [name, value] : document[section].items())
                names.push_back(name);
            return names;
        }

        void addFault(SettingFault::Kind kind, const std::string& path, const nlohmann::json& found,
            const std::string& allowed, const std::string& nearest = {})
        {
            m_faults.push_back(SettingFault {
                .kind = kind, .path = path, .found = formatValue(found), .allowed = allowed, .nearest = nearest });
        }

        std::vector<SettingFault>& m_faults;
    };

    template <typename Name, typename Entry>
    nlohmann::json printSection(const std::map<Name, Entry>& entries, const SettingsTable<Entry>& table)
    {
        nlohmann::json section = nlohmann::json::object();
        for (const auto& [name, entry] : entries)
            section[name.value()] = table.print(entry);
        return section;
    }

} // namespace

Checked<ClusterConfig> parseClusterConfig(std::string_view text)
{
    std::vector<SettingFault> faults;
    if (text.size() > maximumDocumentBytes) {
        faults.push_back(SettingFault { .kind = SettingFault::Kind::OutOfRange,
            .found = std::to_string(text.size()) + " bytes",
            .allowed = "at most " + std::to_string(maximumDocumentBytes) + " bytes" });
        return faults;
    }
    const std::optional<nlohmann::json> document = parseJsonDocument(text, faults);
    if (!document)
        return faults;
    ClusterConfig config = ClusterConfigReader(faults).read(*document);
    if (!faults.empty())
        return faults;
    return config;
}

std::string printClusterConfig(const ClusterConfig& config)
{
    nlohmann::json document = nlohmann::json::object();
    document["profiles"] = printSection(config.profiles, profileTable());
    document["services"] = printSection(config.services, serviceTable());
    document["teams"] = printSection(config.teams, teamTable());
    constexpr int indent = 4;
    return document.dump(indent) + "\n";
}

} // namespace Config
