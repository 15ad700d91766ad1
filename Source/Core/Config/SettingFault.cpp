// Names and descriptions of faults.
#include "Config/SettingFault.h"

namespace Config {

namespace {

    std::string sentence(const SettingFault& fault)
    {
        switch (fault.kind) {
        case SettingFault::Kind::Syntax:
            return "not JSON with comments: " + fault.allowed;
        case SettingFault::Kind::UnknownName:
            return "unknown name";
        case SettingFault::Kind::WrongType:
            return "wrong type";
        case SettingFault::Kind::OutOfRange:
            return "out of range";
        case SettingFault::Kind::Missing:
            return "missing";
        case SettingFault::Kind::UndefinedReference:
            return "not defined in this document";
        case SettingFault::Kind::DuplicateKey:
            return "given more than once";
        case SettingFault::Kind::Inconsistent:
            return "does not fit the other settings";
        }
        return "faulty";
    }

} // namespace

std::string_view faultKindName(SettingFault::Kind kind)
{
    switch (kind) {
    case SettingFault::Kind::Syntax:
        return "syntax";
    case SettingFault::Kind::UnknownName:
        return "unknown-name";
    case SettingFault::Kind::WrongType:
        return "wrong-type";
    case SettingFault::Kind::OutOfRange:
        return "out-of-range";
    case SettingFault::Kind::Missing:
        return "missing";
    case SettingFault::Kind::UndefinedReference:
        return "undefined-reference";
    case SettingFault::Kind::DuplicateKey:
        return "duplicate-key";
    case SettingFault::Kind::Inconsistent:
        return "inconsistent";
    }
    return "syntax";
}

std::string describe(const SettingFault& fault)
{
    std::string text = fault.path.empty() ? "(document)" : fault.path;
    if (fault.line > 0)
        text += " (line " + std::to_string(fault.line) + ", column " + std::to_string(fault.column) + ")";
    text += ": " + sentence(fault);
    if (!fault.found.empty())
        text += "; found " + fault.found;
    if (!fault.allowed.empty() && fault.kind != SettingFault::Kind::Syntax)
        text += "; allowed: " + fault.allowed;
    if (!fault.nearest.empty())
        text += "; did you mean \"" + fault.nearest + "\"?";
    return text;
}

std::string describe(const std::vector<SettingFault>& faults)
{
    std::string text;
    for (const SettingFault& fault : faults)
        text += describe(fault) + "\n";
    return text;
}

} // namespace Config
