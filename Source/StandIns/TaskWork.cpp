// Parses the work of a stand-in's task.
#include "StandIns/TaskWork.h"

#include <nlohmann/json.hpp>

namespace StandIns {

namespace {

    template <typename T> std::optional<T> optionalField(const nlohmann::json& body, const char* name)
    {
        const auto field = body.find(name);
        if (field == body.end() || field->is_null())
            return std::nullopt;
        return field->get<T>();
    }

    TaskWork read(const nlohmann::json& body, int64_t defaultRunMilliseconds)
    {
        TaskWork work;
        work.runMilliseconds = body.value("runMs", defaultRunMilliseconds);
        work.spreadPercent = body.value("spread", work.spreadPercent);
        work.milliCores = optionalField<int64_t>(body, "cpuMilli");
        work.memoryMegabytes = optionalField<int64_t>(body, "memoryMb");
        work.fails = body.value("fail", false);
        work.noise = body.value("noise", work.noise);
        work.sensitivityPercent = body.value("sensitivity", work.sensitivityPercent);
        work.answerBytes = body.value("answerBytes", work.answerBytes);
        work.echo = optionalField<std::string>(body, "echo");
        return work;
    }

} // namespace

std::optional<TaskWork> TaskWork::parse(const std::string& text, int64_t defaultRunMilliseconds)
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    try {
        return read(body, defaultRunMilliseconds);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace StandIns
