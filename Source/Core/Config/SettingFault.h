// One fault in a settings or configuration text, with what is needed to correct it.
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
        /// The value names something that the document does not define.
        UndefinedReference,
        DuplicateKey,
        /// Settings that are each allowed, but not together.
        Inconsistent,
    };

    Kind kind = Kind::Syntax;
    /// Path within the document: "profiles.preview.deadline", "peers[2]".
    std::string path;
    /// The value found, as JSON; empty when there is none.
    std::string found;
    /// What is allowed here, in words.
    std::string allowed;
    /// The nearest known name; empty if none is near.
    std::string nearest;
    /// Both count from 1; zero if unknown.
    size_t line = 0;
    size_t column = 0;

    bool operator==(const SettingFault&) const = default;
};

/// The stable public name, in kebab case ("unknown-name").
std::string_view faultKindName(SettingFault::Kind);
/// A readable description on one line, without a line end.
std::string describe(const SettingFault&);
/// One line per fault, each with a line end.
std::string describe(const std::vector<SettingFault>&);

} // namespace Config
