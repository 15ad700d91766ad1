// Text and JSON forms of failures and of answers' members.
#include "Cli/Report.h"

#include "Cli/Session.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace Cli {

using nlohmann::json;

namespace {

    constexpr int indent = 2;

    int64_t milliseconds(Common::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

} // namespace

void printJson(Session& session, const json& value)
{
    session.output << value.dump(indent, ' ', false, json::error_handler_t::replace) << "\n";
}

void reportFailure(Session& session, const Common::Failure& failure)
{
    const std::string code(Common::errorName(failure.code));
    if (session.options.json) {
        json answer { { "error", { { "code", code }, { "message", failure.detail } } } };
        if (failure.retryAfter)
            answer["retryAfterMs"] = milliseconds(*failure.retryAfter);
        printJson(session, answer);
        return;
    }
    session.errors << code << ": " << failure.detail;
    if (failure.retryAfter)
        session.errors << " (retry in " << milliseconds(*failure.retryAfter) << " ms)";
    session.errors << "\n";
}

ExitCode failedCall(Session& session, const Common::Failure& failure)
{
    reportFailure(session, failure);
    return exitCodeOf(failure.code);
}

ExitCode failedRead(Session& session, const Common::Failure& failure)
{
    reportFailure(session, failure);
    return exitCodeOfRead(failure.code);
}

ExitCode usageFailure(Session& session, const std::string& message)
{
    session.errors << message << "\n";
    return ExitCode::Usage;
}

std::string textMember(const json& object, const std::string& name)
{
    if (!object.is_object() || !object.contains(name))
        return {};
    const json& value = object[name];
    if (value.is_string())
        return value.get<std::string>();
    return value.is_primitive() && !value.is_null() ? value.dump() : std::string();
}

bool boolMember(const json& object, const std::string& name) { return textMember(object, name) == "true"; }

json listMember(const json& object, const std::string& name)
{
    const bool isList = object.is_object() && object.contains(name) && object[name].is_array();
    return isList ? object[name] : json::array();
}

std::string resourcesText(const json& object, const std::string& name)
{
    if (!object.is_object() || !object.contains(name))
        return {};
    const json& resources = object[name];
    std::string text = textMember(resources, "slots") + " slots, " + textMember(resources, "milliCores") + " mCPU, "
        + textMember(resources, "memoryMb") + " MB";
    const std::string accelerators = textMember(resources, "accelerators");
    if (!accelerators.empty() && accelerators != "0")
        text += ", " + accelerators + " acc";
    return text;
}

} // namespace Cli
