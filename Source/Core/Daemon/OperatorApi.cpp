// Calls for operators and monitoring.
#include "Daemon/OperatorApi.h"

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Daemon/Node.h"
#include "Daemon/RouteTable.h"
#include "Scheduler/Runtime.h"

#include <nlohmann/json.hpp>

namespace Daemon {

using nlohmann::json;

namespace {

    constexpr uint64_t defaultTimelineLimit = 10000;

    json resourcesToJson(const Common::Resources& resources)
    {
        return json { { "slots", resources.slots }, { "milliCores", resources.milliCores },
            { "memoryMb", resources.memoryMegabytes }, { "accelerators", resources.accelerators } };
    }

    json eventToJson(const Common::Event& event)
    {
        json row { { "time", { { "wallMs", event.time.wallMilliseconds }, { "counter", event.time.counter } } },
            { "process", event.process }, { "kind", Common::eventName(event.kind) } };
        const auto addText = [&](const char* name, const std::string& text) {
            if (!text.empty())
                row[name] = text;
        };
        addText("request", event.request);
        addText("job", event.job);
        addText("worker", event.worker);
        addText("note", event.note);
        if (event.configRevision)
            row["revision"] = event.configRevision;
        if (event.attempt)
            row["attempt"] = event.attempt;
        return row;
    }

    Common::Resources usedBy(const Scheduler::WorkerReport& report)
    {
        Common::Resources used;
        for (const Scheduler::TaskReport& task : report.tasks) {
            if (task.state == Scheduler::TaskState::Running)
                used += Common::largerOf(task.declared, task.used);
        }
        return used;
    }

    int64_t runningTasks(const Scheduler::WorkerReport& report)
    {
        return std::count_if(report.tasks.begin(), report.tasks.end(),
            [](const Scheduler::TaskReport& task) { return task.state == Scheduler::TaskState::Running; });
    }

} // namespace

OperatorApi::OperatorApi(Node& node, Common::Metrics& metrics, std::function<void()> drain)
    : m_node(node)
    , m_metrics(metrics)
    , m_drain(std::move(drain))
{
}

void OperatorApi::addRoutes(RouteTable& routes)
{
    routes.add("GET", "/v1/workers", [this](const ApiCall&, const ApiReply& reply) { workers(reply); });
    routes.add("GET", "/v1/hosts", [this](const ApiCall&, const ApiReply& reply) { hosts(reply); });
    routes.add("GET", "/v1/timeline", [this](const ApiCall& call, const ApiReply& reply) { timeline(call, reply); });
    routes.add("POST", "/v1/drain", [this](const ApiCall&, const ApiReply& reply) { drain(reply); });
    routes.add("GET", "/healthz", [](const ApiCall&, const ApiReply& reply) {
        reply(jsonResponse(200, { { "ok", true } }));
    });
    routes.add("GET", "/readyz", [this](const ApiCall&, const ApiReply& reply) { ready(reply); });
    routes.add("GET", "/metrics", [this](const ApiCall&, const ApiReply& reply) {
        Http::Response response;
        response.headers.set("Content-Type", "text/plain; version=0.0.4");
        response.body = m_metrics.toPrometheusText();
        reply(response);
    });
}

void OperatorApi::workers(const ApiReply& reply)
{
    const std::string self = m_node.membership().self().id.value();
    const Common::MonotonicTime now = m_node.now();
    json rows = json::array();
    for (const Membership::FleetService::WorkerSummary& summary : m_node.fleet().summaries()) {
        const bool owned = summary.state == Membership::WorkerOwnership::State::Owned;
        const char* state = "live";
        if (summary.leaving)
            state = "leaving";
        else if (!summary.reachable)
            state = "unreachable";
        else if (owned && !m_node.health().admits(summary.host.worker, now))
            state = "ejected";
        rows.push_back({ { "worker", summary.host.worker.value() }, { "address", summary.host.address },
            { "rack", summary.report.rack.value() }, { "domain", summary.host.domain.value() },
            { "owner", owned ? self : summary.assignedOwner.value() }, { "owned", owned }, { "state", state },
            { "boot", summary.report.boot.value() }, { "capacity", resourcesToJson(summary.report.capacity) },
            { "used", resourcesToJson(usedBy(summary.report)) }, { "tasks", runningTasks(summary.report) } });
    }
    reply(jsonResponse(200, { { "daemon", self }, { "workers", rows } }));
}

void OperatorApi::hosts(const ApiReply& reply)
{
    json rows = json::array();
    for (const Scheduler::PeerInfo& peer : m_node.membership().livePeers()) {
        rows.push_back({ { "daemon", peer.id.value() }, { "address", peer.address }, { "domain", peer.domain.value() },
            { "region", peer.region.value() }, { "draining", peer.draining },
            { "configRevision", peer.configRevision.value }, { "freeSlots", peer.freeSlots },
            { "totalSlots", peer.totalSlots }, { "queuedRequests", peer.queuedRequests } });
    }
    reply(jsonResponse(200, { { "daemon", m_node.membership().self().id.value() }, { "hosts", rows } }));
}

void OperatorApi::timeline(const ApiCall& call, const ApiReply& reply)
{
    Common::Event filter;
    filter.request = queryParameter(call, "request");
    filter.job = queryParameter(call, "job");
    filter.worker = queryParameter(call, "worker");
    filter.configRevision = queryNumber(call, "revision", 0);
    std::vector<Common::Event> events = m_node.timeline().select(filter, {});
    const size_t limit = queryNumber(call, "limit", defaultTimelineLimit);
    const size_t first = events.size() > limit ? events.size() - limit : 0;
    json rows = json::array();
    for (size_t i = first; i < events.size(); ++i)
        rows.push_back(eventToJson(events[i]));
    const json body { { "process", m_node.membership().self().id.value() }, { "dropped", m_node.timeline().dropped() },
        { "events", rows } };
    reply(jsonResponse(200, body));
}

void OperatorApi::drain(const ApiReply& reply)
{
    reply(jsonResponse(200, { { "daemon", m_node.membership().self().id.value() }, { "draining", true } }));
    m_drain();
}

void OperatorApi::ready(const ApiReply& reply)
{
    const bool ready = m_node.ready();
    reply(jsonResponse(ready ? 200 : 503, { { "ready", ready }, { "draining", m_node.draining() } }));
}

} // namespace Daemon
