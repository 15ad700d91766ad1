// Compares two documents member by member.
#include "Config/DocumentDifference.h"

#include "Config/JsonDocument.h"
#include "Config/SettingRow.h"

#include <set>

namespace Config {

namespace {

    using nlohmann::json;

    std::string printed(const json* value)
    {
        return value ? value->dump(-1, ' ', false, json::error_handler_t::replace) : std::string();
    }

    const json* member(const json* object, const std::string& name)
    {
        if (!object || !object->is_object())
            return nullptr;
        const auto found = object->find(name);
        return found == object->end() ? nullptr : &*found;
    }

    bool isObject(const json* value) { return value && value->is_object(); }

    std::set<std::string> memberNames(const json* before, const json* after)
    {
        std::set<std::string> names;
        for (const json* side : { before, after }) {
            if (!isObject(side))
                continue;
            for (const auto& [name, value] : side->items())
                names.insert(name);
        }
        return names;
    }

    void compare(const json* before, const json* after, const std::string& path, std::vector<DocumentChange>& changes)
    {
        const bool bothObjects = (isObject(before) || !before) && (isObject(after) || !after);
        const std::set<std::string> names = memberNames(before, after);
        if (bothObjects && !names.empty()) {
            for (const std::string& name : names)
                compare(member(before, name), member(after, name), joinPath(path, name), changes);
            return;
        }
        if (before && after && *before == *after)
            return;
        changes.push_back(DocumentChange { path, printed(before), printed(after) });
    }

} // namespace

std::vector<DocumentChange> difference(std::string_view before, std::string_view after)
{
    std::vector<SettingFault> ignored;
    const std::optional<json> left = parseJsonDocument(before, ignored);
    const std::optional<json> right = parseJsonDocument(after, ignored);
    std::vector<DocumentChange> changes;
    if (left || right)
        compare(left ? &*left : nullptr, right ? &*right : nullptr, {}, changes);
    return changes;
}

} // namespace Config
