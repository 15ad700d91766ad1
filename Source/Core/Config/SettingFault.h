// One fault in a settings or configuration text, with all that is needed to mend it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Config {

struct SettingFault {
    enum class Kind {
        /// The text is not JSON with comments; `line` and `column` say where.
        Syntax,
        UnknownName,
        WrongType,
        OutOfRange,
        Missing,
        /// Names something that the document does not define.
        UndefinedReference,
        DuplicateKey,
        /// Two settings that are each allowed, but not together.
        Inconsistent,
    };

    Kind kind = Kind::Syntax;
    /// Where in the document: "profiles.preview.deadline", "peers[2]".
    std::string path;
    /// The value found, as JSON; empty when there is none.
    std::string found;
    /// What would be allowed here, in words.
    std::string allowed;
    /// The nearest known name, empty when none is near.
    std::string nearest;
    /// Both from 1; zero when unknown.
    size_t line = 0;
    size_t column = 0;

    bool operator==(const SettingFault&) const = default;
};

/// The stable public name, in kebab case ("unknown-name").
std::string_view faultKindName(SettingFault::Kind);
/// A sentence for people.
std::string describe(const SettingFault&);
/// One line a fault.
std::string describe(const std::vector<SettingFault>&);

} // namespace Config
