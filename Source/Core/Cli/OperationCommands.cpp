// `lavendercart workers`, `hosts`, `drain` and `timeline`
#include "Cli/Commands.h"
#include "Cli/HttpCall.h"
#include "Cli/Report.h"
#include "Cli/Session.h"
#include "Cli/Table.h"
#include "Cli/TimelineMerge.h"
#include "Cli/WorkerMerge.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace Cli {

using Common::Failure;
using Common::Result;
using nlohmann::json;

namespace {

    constexpr int64_t defaultEventLimit = 1000;

    /// The answers of several daemons, and the addresses without an answer.
    struct Answers {
        std::vector<json> bodies;
        std::vector<std::string> silent;
    };

    Result<std::vector<std::string>> discoverDaemons(Session& session)
    {
        const Result<json> answer = jsonOf(session.client.call(HttpCall { .target = "/v1/hosts" }));
        if (!answer)
            return answer.reason();
        std::vector<std::string> addresses;
        for (const json& host : listMember(*answer, "hosts"))
            addresses.push_back(textMember(host, "address"));
        return addresses;
    }

    Answers callEach(Session& session, const std::vector<std::string>& addresses, const std::string& target)
    {
        Answers answers;
        HttpCall call { .target = target };
        call.timeout = session.options.timeout.value_or(call.timeout);
        for (const std::string& address : addresses) {
            const Result<json> answer = jsonOf(session.client.callAt(address, call));
            if (answer)
                answers.bodies.push_back(*answer);
            else
                answers.silent.push_back(address);
        }
        return answers;
    }

    ExitCode reportSilent(Session& session, const std::vector<std::string>& silent)
    {
        for (const std::string& address : silent)
            session.errors << "no answer from " << address << "\n";
        return silent.empty() ? ExitCode::Success : ExitCode::Incomplete;
    }

    std::string timelineTarget(const Options& options)
    {
        std::string target
            = "/v1/timeline?limit=" + std::to_string(options.limit > 0 ? options.limit : defaultEventLimit);
        const auto add = [&](const std::string& name, const std::string& value) {
            if (!value.empty())
                target += "&" + name + "=" + percentEncoded(value);
        };
        add("request", options.request);
        add("job", options.job);
        add("worker", options.worker);
        add("revision", options.revision > 0 ? std::to_string(options.revision) : "");
        return target;
    }

    std::vector<ProcessTimeline> readTimelines(Session& session, const std::vector<json>& bodies)
    {
        std::vector<ProcessTimeline> timelines;
        for (const json& body : bodies) {
            const Result<ProcessTimeline> timeline = timelineFromJson(body);
            if (!timeline) {
                reportFailure(session, timeline.reason());
                continue;
            }
            if (timeline->dropped > 0 && !session.options.json)
                session.errors << timeline->process << " has dropped " << timeline->dropped << " older events\n";
            timelines.push_back(*timeline);
        }
        return timelines;
    }

    void printEvents(Session& session, const std::vector<Common::Event>& events, const std::vector<std::string>& silent)
    {
        if (!session.options.json) {
            session.output << renderEvents(events);
            return;
        }
        json list = json::array();
        for (const Common::Event& event : events)
            list.push_back(toJson(event));
        printJson(session, json { { "events", list }, { "silent", silent } });
    }

    std::string renderHosts(const json& hosts)
    {
        std::vector<std::vector<std::string>> rows;
        for (const json& host : hosts) {
            rows.push_back({ textMember(host, "daemon"), textMember(host, "address"), textMember(host, "domain"),
                textMember(host, "region"), boolMember(host, "draining") ? "draining" : "serving",
                textMember(host, "configRevision"),
                textMember(host, "freeSlots") + "/" + textMember(host, "totalSlots"),
                textMember(host, "queuedRequests") });
        }
        return renderTable(
            { "DAEMON", "ADDRESS", "DOMAIN", "REGION", "STATE", "REVISION", "FREE SLOTS", "QUEUED" }, rows);
    }

    std::string renderWorkers(const std::vector<json>& workers)
    {
        std::vector<std::vector<std::string>> rows;
        rows.reserve(workers.size());
        for (const json& worker : workers) {
            rows.push_back({ textMember(worker, "worker"), textMember(worker, "domain"), textMember(worker, "rack"),
                textMember(worker, "state"), textMember(worker, "owner"), textMember(worker, "tasks"),
                resourcesText(worker, "used"), resourcesText(worker, "capacity") });
        }
        return renderTable({ "WORKER", "DOMAIN", "RACK", "STATE", "OWNER", "TASKS", "USED", "CAPACITY" }, rows);
    }

} // namespace

ExitCode listWorkers(Session& session)
{
    const Result<std::vector<std::string>> addresses = discoverDaemons(session);
    if (!addresses)
        return failedRead(session, addresses.reason());
    const Answers answers = callEach(session, *addresses, "/v1/workers");
    const std::vector<json> workers = mergeWorkers(answers.bodies);
    if (session.options.json)
        printJson(session, json { { "workers", workers }, { "silent", answers.silent } });
    else
        session.output << renderWorkers(workers);
    return reportSilent(session, answers.silent);
}

ExitCode listHosts(Session& session)
{
    const Result<json> answer = jsonOf(session.client.call(HttpCall { .target = "/v1/hosts" }));
    if (!answer)
        return failedRead(session, answer.reason());
    if (session.options.json)
        printJson(session, *answer);
    else
        session.output << renderHosts(listMember(*answer, "hosts"));
    return ExitCode::Success;
}

ExitCode drainDaemon(Session& session)
{
    if (session.client.addresses().size() != 1)
        return usageFailure(session, "`drain` needs exactly one address in --daemon");
    const Result<json> answer = jsonOf(session.client.call(HttpCall { .method = "POST",
        .target = "/v1/drain",
        .headers = { { "Content-Type", "application/json" } },
        .body = "{}" }));
    if (!answer)
        return failedCall(session, answer.reason());
    if (session.options.json)
        printJson(session, *answer);
    else
        session.output << textMember(*answer, "daemon") << " is draining\n";
    return ExitCode::Success;
}

ExitCode showTimeline(Session& session)
{
    std::vector<std::string> addresses = session.options.hosts;
    if (addresses.empty()) {
        const Result<std::vector<std::string>> found = discoverDaemons(session);
        if (!found)
            return failedRead(session, found.reason());
        addresses = *found;
    }
    const Answers answers = callEach(session, addresses, timelineTarget(session.options));
    if (answers.bodies.empty()) {
        reportSilent(session, answers.silent);
        return ExitCode::Unreachable;
    }
    const std::vector<Common::Event> events = mergeTimelines(readTimelines(session, answers.bodies));
    printEvents(session, events, answers.silent);
    return reportSilent(session, answers.silent);
}

} // namespace Cli
