// Decodes, orders and prints events.
#include "Cli/TimelineMerge.h"

#include "Cli/Table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <tuple>

namespace Cli {

namespace {

    using nlohmann::json;

    constexpr int64_t millisecondsPerSecond = 1000;

    Common::Event eventFromJson(const json& value)
    {
        Common::Event event;
        event.time.wallMilliseconds = value.at("time").at("wallMs").get<int64_t>();
        event.time.counter = value.at("time").at("counter").get<uint32_t>();
        event.process = value.at("process").get<std::string>();
        const auto kind = Common::eventFromName(value.at("kind").get<std::string>());
        event.note = value.value("note", "");
        if (kind)
            event.kind = *kind;
        else
            event.note = "(" + value.at("kind").get<std::string>() + ") " + event.note;
        event.request = value.value("request", "");
        event.job = value.value("job", "");
        event.worker = value.value("worker", "");
        event.configRevision = value.value("revision", uint64_t { 0 });
        event.attempt = value.value("attempt", uint32_t { 0 });
        return event;
    }

    auto sortKeyOf(const Common::Event& event)
    {
        return std::tuple(event.time, event.process, event.kind, event.request, event.job, event.worker, event.note);
    }

    std::string numberOrEmpty(uint64_t number) { return number == 0 ? "" : std::to_string(number); }

    std::string subjectOf(const Common::Event& event)
    {
        std::string subject;
        const auto add = [&](const std::string& name, const std::string& value) {
            if (!value.empty())
                subject += (subject.empty() ? "" : " ") + name + "=" + value;
        };
        add("request", event.request);
        add("job", event.job);
        add("attempt", numberOrEmpty(event.attempt));
        add("worker", event.worker);
        add("revision", numberOrEmpty(event.configRevision));
        return subject;
    }

} // namespace

Common::Result<ProcessTimeline> timelineFromJson(const json& value)
{
    try {
        ProcessTimeline timeline;
        timeline.process = value.at("process").get<std::string>();
        timeline.dropped = value.value("dropped", uint64_t { 0 });
        for (const json& event : value.at("events"))
            timeline.events.push_back(eventFromJson(event));
        return timeline;
    } catch (const json::exception& error) {
        return Common::Failure { .code = Common::ErrorCode::ProtocolError,
            .detail = std::string("not a timeline: ") + error.what() };
    }
}

json toJson(const Common::Event& event)
{
    return json {
        { "time", { { "wallMs", event.time.wallMilliseconds }, { "counter", event.time.counter } } },
        { "process", event.process },
        { "kind", Common::eventName(event.kind) },
        { "request", event.request },
        { "job", event.job },
        { "worker", event.worker },
        { "revision", event.configRevision },
        { "attempt", event.attempt },
        { "note", event.note },
    };
}

std::vector<Common::Event> mergeTimelines(const std::vector<ProcessTimeline>& timelines)
{
    std::vector<Common::Event> merged;
    for (const ProcessTimeline& timeline : timelines)
        merged.insert(merged.end(), timeline.events.begin(), timeline.events.end());
    std::sort(merged.begin(), merged.end(),
        [](const Common::Event& left, const Common::Event& right) { return sortKeyOf(left) < sortKeyOf(right); });
    // A daemon that was called at two addresses returns the same events twice.
    const auto end = std::unique(merged.begin(), merged.end(),
        [](const Common::Event& left, const Common::Event& right) { return sortKeyOf(left) == sortKeyOf(right); });
    merged.erase(end, merged.end());
    return merged;
}

std::string renderTime(int64_t wallMilliseconds)
{
    int64_t milliseconds = wallMilliseconds % millisecondsPerSecond;
    if (milliseconds < 0)
        milliseconds += millisecondsPerSecond;
    const std::time_t seconds = (wallMilliseconds - milliseconds) / millisecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    const std::string fraction = std::to_string(millisecondsPerSecond + milliseconds).substr(1);
    return std::string(text.data()) + "." + fraction;
}

std::string renderEvents(const std::vector<Common::Event>& events)
{
    std::vector<std::vector<std::string>> rows;
    rows.reserve(events.size());
    for (const Common::Event& event : events) {
        rows.push_back({ renderTime(event.time.wallMilliseconds) + "+" + std::to_string(event.time.counter),
            event.process, std::string(Common::eventName(event.kind)), subjectOf(event), event.note });
    }
    return renderTable({ "TIME (UTC)", "PROCESS", "EVENT", "SUBJECT", "NOTE" }, rows);
}

} // namespace Cli
