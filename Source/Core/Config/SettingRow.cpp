// Reads an object and matches its names with the declared rows.
#include "Config/SettingRow.h"

#include "Config/JsonDocument.h"
#include "Config/NearestName.h"

#include <algorithm>
#include <set>

namespace Config {

namespace {

    class RowReader {
    public:
        RowReader(const std::vector<SettingRow>& rows, const std::string& basePath, std::vector<SettingFault>& faults)
            : m_rows(rows)
            , m_basePath(basePath)
            , m_faults(faults)
            , m_values(rows.size())
        {
        }

        void readObject(const nlohmann::json& object, const std::string& prefix)
        {
            for (const auto& [name, value] : object.items())
                readMember(name, value, prefix);
        }

        std::vector<std::optional<SettingValue>> finish()
        {
            for (size_t index = 0; index < m_rows.size(); ++index) {
                if (m_rows[index].required && m_seen.count(index) == 0)
                    addMissing(m_rows[index]);
            }
            return std::move(m_values);
        }

    private:
        void readMember(const std::string& name, const nlohmann::json& value, const std::string& prefix)
        {
            const std::string path = joinPath(prefix, name);
            const auto row
                = std::find_if(m_rows.begin(), m_rows.end(), [&](const SettingRow& each) { return each.path == path; });
            if (row != m_rows.end()) {
                const auto index = static_cast<size_t>(row - m_rows.begin());
                m_seen.insert(index);
                m_values[index] = readSetting(row->rule, value, joinPath(m_basePath, path), m_faults);
                return;
            }
            if (!isGroup(path)) {
                addUnknown(name, path, value, prefix);
                return;
            }
            if (value.is_object()) {
                readObject(value, path);
                return;
            }
            m_faults.push_back(SettingFault { .kind = SettingFault::Kind::WrongType,
                .path = joinPath(m_basePath, path),
                .found = formatValue(value),
                .allowed = "object" });
        }

        bool isGroup(const std::string& path) const
        {
            const std::string start = path + ".";
            return std::any_of(m_rows.begin(), m_rows.end(),
                [&](const SettingRow& row) { return row.path.compare(0, start.size(), start) == 0; });
        }

        /// The names allowed directly under the prefix.
        std::vector<std::string> namesUnder(const std::string& prefix) const
        {
            const std::string start = prefix.empty() ? prefix : prefix + ".";
            std::set<std::string> names;
            for (const SettingRow& row : m_rows) {
                if (row.path.compare(0, start.size(), start) != 0)
                    continue;
                const std::string rest = row.path.substr(start.size());
                names.insert(rest.substr(0, rest.find('.')));
            }
            return { names.begin(), names.end() };
        }

        void addUnknown(
            const std::string& name, const std::string& path, const nlohmann::json& value, const std::string& prefix)
        {
            const std::vector<std::string> known = namesUnder(prefix);
            std::string allowed = "one of";
            for (const std::string& each : known)
                allowed += " " + each;
            m_faults.push_back(SettingFault { .kind = SettingFault::Kind::UnknownName,
                .path = joinPath(m_basePath, path),
                .found = formatValue(value),
                .allowed = allowed,
                .nearest = nearestName(name, known) });
        }

        void addMissing(const SettingRow& row)
        {
            m_faults.push_back(SettingFault { .kind = SettingFault::Kind::Missing,
                .path = joinPath(m_basePath, row.path),
                .allowed = ruleType(row.rule) + ", " + ruleAllowed(row.rule) });
        }

        const std::vector<SettingRow>& m_rows;
        const std::string& m_basePath;
        std::vector<SettingFault>& m_faults;
        std::vector<std::optional<SettingValue>> m_values;
        std::set<size_t> m_seen;
    };

} // namespace

std::vector<std::optional<SettingValue>> readRows(const std::vector<SettingRow>& rows, const nlohmann::json& object,
    const std::string& basePath, std::vector<SettingFault>& faults)
{
    if (!object.is_object()) {
        faults.push_back(SettingFault { .kind = SettingFault::Kind::WrongType,
            .path = basePath,
            .found = formatValue(object),
            .allowed = "object" });
        return std::vector<std::optional<SettingValue>>(rows.size());
    }
    RowReader reader(rows, basePath, faults);
    reader.readObject(object, {});
    return reader.finish();
}

std::string joinPath(const std::string& base, const std::string& path)
{
    if (base.empty())
        return path;
    return path.empty() ? base : base + "." + path;
}

} // namespace Config
