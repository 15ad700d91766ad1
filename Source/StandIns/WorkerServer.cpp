// Serves a worker stand-in over HTTP.
#include "StandIns/WorkerServer.h"

#include "Http/ErrorBody.h"
#include "Http/EventLoop.h"
#include "Http/Target.h"
#include "StandIns/WorkerMessages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace StandIns {

namespace {

    using Common::ErrorCode;
    using Http::jsonResponse;
    using Http::Server;
    using nlohmann::json;

    constexpr size_t journalEntriesInMemory = 200'000;
    constexpr int64_t maximumAnswerBytes = int64_t { 64 } << 20;

    int64_t headerNumber(const Http::Headers& headers, std::string_view name)
    {
        const std::string text = headers.get(name).value_or("0");
        int64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    WorkerState::RequestCommand readRequestCommand(const Http::Headers& headers)
    {
        WorkerState::RequestCommand command;
        command.task = Common::TaskId(headers.get("X-Task").value_or(""));
        command.boot = Common::WorkerBootId(headers.get("X-Boot").value_or(""));
        command.startBy.milliseconds = headerNumber(headers, "X-Start-By");
        command.declared = readResources(json::parse(headers.get("X-Declared").value_or("{}")));
        return command;
    }

    /// Inputs of a request's answer, kept while it runs.
    struct AnswerPlan {
        std::string task;
        std::string worker;
        std::string contentType;
        /// Set when the body was not a JSON object; it is returned unchanged.
        std::optional<std::string> opaqueBody;
        TaskWork work;
    };

    Http::Response makeAnswer(AnswerPlan& plan)
    {
        Http::Response response;
        if (plan.opaqueBody) {
            response.headers.set(
                "Content-Type", plan.contentType.empty() ? "application/octet-stream" : plan.contentType);
            response.body = std::move(*plan.opaqueBody);
        } else {
            json body { { "task", plan.task }, { "worker", plan.worker } };
            if (plan.work.echo)
                body["echo"] = *plan.work.echo;
            const int64_t padding = std::clamp<int64_t>(plan.work.answerBytes, 0, maximumAnswerBytes);
            if (padding > 0)
                body["padding"] = std::string(static_cast<size_t>(padding), 'x');
            response = jsonResponse(200, body.dump());
        }
        response.headers.set("X-Task", plan.task);
        return response;
    }

    Http::Response failedAnswer(const std::string& task)
    {
        Http::Response response = Http::errorResponse(ErrorCode::WorkFailed, "the work failed");
        response.headers.set("X-Task", task);
        return response;
    }

    Http::Response malformed(const std::string& why) { return Http::errorResponse(ErrorCode::MalformedRequest, why); }

} // namespace

WorkerServer::WorkerServer(Http::EventLoop& loop, Settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_state(
          m_settings.worker, [&loop] { return loop.now(); }, [this](const JournalEntry& entry) { writeJournal(entry); })
    , m_server(loop, {},
          [this](const Http::Request& request, const Server::Responder& respond) { handle(request, respond); })
{
    if (!m_settings.journalFile.empty())
        m_journalFile.open(m_settings.journalFile, std::ios::app);
}

WorkerServer::~WorkerServer() { m_loop.cancel(Scheduler::TimerId { m_timer }); }

void WorkerServer::setFaults(const Faults& faults)
{
    m_faults = faults;
    m_state.setFaults(faults.state);
}

uint64_t WorkerServer::calls(const std::string& kind) const
{
    const auto found = m_calls.find(kind);
    return found == m_calls.end() ? 0 : found->second;
}

void WorkerServer::handle(const Http::Request& request, const Server::Responder& respond)
{
    const Http::Target target = Http::parseTarget(request.target);
    if (handleStandInCall(request, target, respond) || m_faults.silent)
        return;
    try {
        handleWorkerCall(request, target, delayed(respond));
    } catch (const json::exception& error) {
        respond(malformed(error.what()));
    }
    scheduleNextEvent();
}

bool WorkerServer::handleStandInCall(
    const Http::Request& request, const Http::Target& target, const Server::Responder& respond)
{
    if (target.path == "/stats")
        respond(jsonResponse(200, stats()));
    else if (target.path == "/journal")
        respond({ 200, {}, journalText() });
    else if (target.path == "/faults" && request.method == "POST")
        readFaults(request.body, respond);
    else
        return false;
    return true;
}

void WorkerServer::handleWorkerCall(
    const Http::Request& request, const Http::Target& target, const Server::Responder& respond)
{
    if (target.path == "/run")
        run(request, respond);
    else if (target.path == "/sync")
        sync(request.body, respond);
    else if (target.path == "/tasks")
        start(request.body, respond);
    else if (target.path == "/control")
        control(request.body, respond);
    else
        respond(Http::errorResponse(ErrorCode::UnknownRoute, target.path));
}

Server::Responder WorkerServer::delayed(Server::Responder respond)
{
    if (m_faults.slow == Common::Duration::zero())
        return respond;
    return [this, delay = m_faults.slow, respond = std::move(respond)](Http::Response response) {
        auto kept = std::make_shared<Http::Response>(std::move(response));
        m_loop.schedule(delay, [respond, kept] { respond(std::move(*kept)); });
    };
}

void WorkerServer::sync(const std::string& body, const Server::Responder& respond)
{
    ++m_calls["sync"];
    const auto report = m_state.sync(readSync(json::parse(body)));
    respond(jsonResponse(200, writeReport(report).dump()));
}

void WorkerServer::start(const std::string& body, const Server::Responder& respond)
{
    ++m_calls["start"];
    const auto command = readStart(json::parse(body));
    const auto started = m_state.start(command);
    if (!started) {
        refuse(started.reason(), command.task.value(), respond);
        return;
    }
    respond(jsonResponse(201, "{}"));
}

void WorkerServer::run(const Http::Request& request, const Server::Responder& respond)
{
    ++m_calls["run"];
    const auto command = readRequestCommand(request.headers);
    const int64_t requestTime = m_settings.requestTime.count();
    const auto work = TaskWork::parse(request.body, requestTime);
    auto plan = std::make_shared<AnswerPlan>();
    plan->task = command.task.value();
    plan->worker = m_settings.worker.worker.value();
    plan->contentType = request.headers.get("Content-Type").value_or("");
    plan->work.runMilliseconds = requestTime;
    if (work)
        plan->work = *work;
    else
        plan->opaqueBody = request.body;
    const auto started = m_state.startRequest(command, plan->work,
        [respond, plan](bool succeeded) { respond(succeeded ? makeAnswer(*plan) : failedAnswer(plan->task)); });
    if (!started)
        refuse(started.reason(), command.task.value(), respond);
}

void WorkerServer::control(const std::string& body, const Server::Responder& respond)
{
    ++m_calls["control"];
    const json wanted = json::parse(body);
    const auto action = taskControlFromName(wanted.at("action").get_ref<const std::string&>());
    if (!action) {
        respond(malformed("unknown action"));
        return;
    }
    std::vector<Common::TaskId> tasks;
    for (const json& task : wanted.at("tasks"))
        tasks.emplace_back(task.get<std::string>());
    m_state.control(*action, tasks);
    respond(jsonResponse(200, "{}"));
}

void WorkerServer::refuse(const Common::Failure& reason, const std::string& task, const Server::Responder& respond)
{
    ++m_refusals[std::string(Common::errorName(reason.code))];
    Http::Response response = Http::errorResponse(reason);
    response.headers.set("X-Task", task);
    respond(std::move(response));
}

void WorkerServer::readFaults(const std::string& body, const Server::Responder& respond)
{
    try {
        const json wanted = json::parse(body);
        Faults faults;
        faults.state.failAll = wanted.value("failAll", false);
        faults.state.refuseStarts = wanted.value("refuseStarts", false);
        faults.state.leaving = wanted.value("leaving", false);
        faults.silent = wanted.value("silent", false);
        faults.slow = std::chrono::milliseconds(wanted.value("slowMs", int64_t { 0 }));
        setFaults(faults);
        respond(jsonResponse(200, "{}"));
    } catch (const json::exception& error) {
        respond(malformed(error.what()));
    }
}

void WorkerServer::writeJournal(const JournalEntry& entry)
{
    const std::string event(journalEventName(entry.event));
    ++m_journalCounts[event];
    json line { { "event", event }, { "worker", m_settings.worker.worker.value() },
        { "boot", m_settings.worker.boot.value() }, { "clock", entry.clock.milliseconds },
        { "wallMs", m_loop.wallMilliseconds() }, { "declared", writeResources(entry.declared) },
        { "used", writeResources(entry.used) } };
    if (entry.event != JournalEvent::Peak) {
        line["task"] = entry.task.value();
        line["kind"] = taskKindName(entry.kind);
        line["doneMs"] = entry.doneMilliseconds;
    }
    if (entry.echo)
        line["echo"] = *entry.echo;
    if (!entry.reason.empty())
        line["reason"] = entry.reason;
    std::string text = line.dump();
    if (m_journalFile.is_open())
        m_journalFile << text << std::endl; // NOLINT: flush, so that a killed process leaves whole lines
    m_journal.push_back(std::move(text));
    if (m_journal.size() > journalEntriesInMemory)
        m_journal.pop_front();
}

std::string WorkerServer::journalText() const
{
    std::string text;
    for (const std::string& line : m_journal) {
        text += line;
        text += '\n';
    }
    return text;
}

std::string WorkerServer::stats()
{
    m_state.advance();
    const json body { { "worker", m_settings.worker.worker.value() }, { "boot", m_settings.worker.boot.value() },
        { "clock", m_state.clock().milliseconds }, { "running", m_state.running() },
        { "capacity", writeResources(m_settings.worker.capacity) },
        { "declared", writeResources(m_state.declaredTotal()) }, { "used", writeResources(m_state.usedTotal()) },
        { "declaredPeak", writeResources(m_state.declaredPeak()) }, { "usedPeak", writeResources(m_state.usedPeak()) },
        { "events", m_journalCounts }, { "calls", m_calls }, { "refusals", m_refusals } };
    return body.dump();
}

void WorkerServer::scheduleNextEvent()
{
    const auto next = m_state.nextEvent();
    if (next == m_timerDue)
        return;
    m_loop.cancel(Scheduler::TimerId { m_timer });
    m_timerDue = next;
    if (!next)
        return;
    const Common::Duration delay = std::max(*next - m_loop.now(), Common::Duration::zero());
    const auto timer = m_loop.schedule(delay, [this] {
        m_timerDue.reset();
        m_state.advance();
        scheduleNextEvent();
    });
    m_timer = timer.value;
}

} // namespace StandIns
