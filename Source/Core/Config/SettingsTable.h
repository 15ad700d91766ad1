// Declares the settings of a structure once: path, type, range, default and documentation.
#pragma once

#include "Config/SettingRow.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace Config {

/// Whether a setting may be left out.
enum class Presence {
    Optional,
    Required,
};

/// Built row by row. An accessor is a member pointer, or a callable that returns a reference to a member of a
/// structure. The defaults are the values of a value-initialized structure.
template <typename Structure> class SettingsTable {
public:
    template <typename Accessor>
    SettingsTable& name(std::string path, Accessor accessor, std::string doc, Presence presence = Presence::Optional)
    {
        return text(std::move(path), NameRule {}, accessor, std::move(doc), presence);
    }
    template <typename Accessor>
    SettingsTable& reference(std::string path, std::string section, Accessor accessor, std::string doc)
    {
        return text(
            std::move(path), ReferenceRule { std::move(section) }, accessor, std::move(doc), Presence::Required);
    }
    template <typename Accessor>
    SettingsTable& address(
        std::string path, AddressRule rule, Accessor accessor, std::string doc, Presence presence = Presence::Optional)
    {
        return text(std::move(path), rule, accessor, std::move(doc), presence);
    }
    template <typename Accessor>
    SettingsTable& textChoice(std::string path, ChoiceRule rule, Accessor accessor, std::string doc)
    {
        return text(std::move(path), std::move(rule), accessor, std::move(doc), Presence::Optional);
    }
    template <typename Accessor>
    SettingsTable& addresses(std::string path, AddressListRule rule, Accessor accessor, std::string doc)
    {
        return plain<std::vector<std::string>>(std::move(path), rule, accessor, std::move(doc));
    }
    template <typename Accessor>
    SettingsTable& integer(std::string path, IntegerRule rule, Accessor accessor, std::string doc)
    {
        return plain<int64_t>(std::move(path), std::move(rule), accessor, std::move(doc));
    }
    template <typename Accessor>
    SettingsTable& number(std::string path, NumberRule rule, Accessor accessor, std::string doc)
    {
        return plain<double>(std::move(path), std::move(rule), accessor, std::move(doc));
    }
    template <typename Accessor>
    SettingsTable& duration(std::string path, DurationRule rule, Accessor accessor, std::string doc)
    {
        return plain<Common::Duration>(std::move(path), rule, accessor, std::move(doc));
    }
    template <typename Accessor> SettingsTable& flag(std::string path, Accessor accessor, std::string doc)
    {
        return plain<bool>(std::move(path), FlagRule {}, accessor, std::move(doc));
    }
    /// A setting with an enum value. `toName` and `fromName` convert between the enum and its public names.
    template <typename Enum, typename Accessor>
    SettingsTable& choice(std::string path, const std::vector<Enum>& values, std::string_view (*toName)(Enum),
        std::optional<Enum> (*fromName)(std::string_view), Accessor accessor, std::string doc)
    {
        ChoiceRule rule;
        for (const Enum value : values)
            rule.names.emplace_back(toName(value));
        return add(
            SettingRow { std::move(path), std::move(rule), false, std::move(doc) },
            [=](Structure& structure, SettingValue value) {
                std::invoke(accessor, structure) = *fromName(std::get<std::string>(value));
            },
            [=](const Structure& structure) {
                return SettingValue(std::string(toName(std::invoke(accessor, structure))));
            });
    }

    const std::vector<SettingRow>& rows() const { return m_rows; }

    /// Reads an object. Settings that are left out or have a fault keep their defaults.
    Structure read(const nlohmann::json& object, const std::string& basePath, std::vector<SettingFault>& faults) const
    {
        Structure structure {};
        std::vector<std::optional<SettingValue>> values = readRows(m_rows, object, basePath, faults);
        for (size_t index = 0; index < values.size(); ++index) {
            if (values[index])
                m_accessors[index].store(structure, std::move(*values[index]));
        }
        return structure;
    }

    /// Every setting with its value, in objects nested as the paths are.
    nlohmann::json print(const Structure& structure) const
    {
        nlohmann::json object = nlohmann::json::object();
        for (size_t index = 0; index < m_rows.size(); ++index)
            object[pointer(m_rows[index].path)] = settingToJson(m_accessors[index].load(structure));
        return object;
    }

    /// The default of a row, as JSON.
    nlohmann::json defaultOf(size_t row) const { return settingToJson(m_accessors.at(row).load(Structure {})); }

private:
    using Store = std::function<void(Structure&, SettingValue)>;
    using Load = std::function<SettingValue(const Structure&)>;
    struct Accessors {
        Store store;
        Load load;
    };

    static nlohmann::json::json_pointer pointer(std::string path)
    {
        for (char& letter : path)
            letter = letter == '.' ? '/' : letter;
        return nlohmann::json::json_pointer("/" + path);
    }

    /// Adds a row for a member that is a std::string or a strong id.
    template <typename Rule, typename Accessor>
    SettingsTable& text(std::string path, Rule rule, Accessor accessor, std::string doc, Presence presence)
    {
        using Member = std::remove_cvref_t<std::invoke_result_t<Accessor, Structure&>>;
        return add(
            SettingRow { std::move(path), std::move(rule), presence == Presence::Required, std::move(doc) },
            [=](Structure& structure, SettingValue value) {
                std::invoke(accessor, structure) = Member(std::get<std::string>(std::move(value)));
            },
            [=](const Structure& structure) {
                if constexpr (std::is_same_v<Member, std::string>)
                    return SettingValue(std::invoke(accessor, structure));
                else
                    return SettingValue(std::invoke(accessor, structure).value());
            });
    }

    /// Adds a row for a member that `Value` converts to.
    template <typename Value, typename Rule, typename Accessor>
    SettingsTable& plain(std::string path, Rule rule, Accessor accessor, std::string doc)
    {
        using Member = std::remove_cvref_t<std::invoke_result_t<Accessor, Structure&>>;
        return add(
            SettingRow { std::move(path), std::move(rule), false, std::move(doc) },
            [=](Structure& structure, SettingValue value) {
                std::invoke(accessor, structure) = static_cast<Member>(std::get<Value>(std::move(value)));
            },
            [=](const Structure& structure) {
                return SettingValue(static_cast<Value>(std::invoke(accessor, structure)));
            });
    }

    SettingsTable& add(SettingRow row, Store store, Load load)
    {
        m_rows.push_back(std::move(row));
        m_accessors.push_back(Accessors { std::move(store), std::move(load) });
        return *this;
    }

    /// Invariant: one entry in each for every setting, in the same order.
    std::vector<SettingRow> m_rows;
    std::vector<Accessors> m_accessors;
};

} // namespace Config
