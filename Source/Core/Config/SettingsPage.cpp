// Prints the declared settings as Markdown.
#include "Config/SettingsPage.h"

#include "Config/ClusterConfigTables.h"
#include "Config/DaemonSettingsTable.h"
#include "Config/EntrySettingsTable.h"

namespace Config {

namespace {

    /// An empty text as JSON.
    const std::string emptyText = "\"\"";

    template <typename Structure>
    std::string section(const std::string& title, const SettingsTable<Structure>& table, const std::string& basePath)
    {
        std::string text
            = "### " + title + "\n\n| Setting | Type | Allowed | Default | Meaning |\n|---|---|---|---|---|\n";
        for (size_t index = 0; index < table.rows().size(); ++index) {
            const SettingRow& row = table.rows()[index];
            const std::string byDefault = table.defaultOf(index).dump();
            const bool hasDefault = byDefault != emptyText;
            const std::string optional = hasDefault ? "`" + byDefault + "`" : "none";
            const std::string shown = row.required ? "required" : optional;
            text += "| `" + joinPath(basePath, row.path) + "` | " + ruleType(row.rule) + " | " + ruleAllowed(row.rule)
                + " | " + shown + " | " + row.doc + " |\n";
        }
        return text;
    }

} // namespace

std::string settingsPage()
{
    return section("Daemon settings", daemonSettingsTable(), {}) + "\n"
        + section("Entry host settings", entrySettingsTable(), {}) + "\n"
        + section("Profiles", profileTable(), "profiles.<profile>") + "\n"
        + section("Services", serviceTable(), "services.<service>") + "\n"
        + section("Teams", teamTable(), "teams.<team>");
}

} // namespace Config
