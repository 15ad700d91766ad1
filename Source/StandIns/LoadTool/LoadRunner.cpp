// Sends the requests of a load run and counts their outcomes.
#include "StandIns/LoadTool/LoadRunner.h"

#include "Http/ErrorBody.h"
#include "Http/EventLoop.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace StandIns {

namespace {

    using Common::ErrorCode;
    using nlohmann::json;

    constexpr std::chrono::seconds clockInterval { 1 };
    constexpr std::chrono::milliseconds startWindow { 3000 };
    /// Time after the last deadline until requests without an outcome are reported as unfinished.
    constexpr std::chrono::seconds finalWait { 2 };
    /// A client waits this much longer than the deadline it sends, so that refusals still arrive.
    constexpr std::chrono::milliseconds deadlineSlack { 500 };
    constexpr const char* directDeclared = R"({"slots":1,"milliCores":100,"memoryMb":16})";

} // namespace

LoadRunner::LoadRunner(Http::EventLoop& loop, Settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_client(loop, { m_settings.connections, std::chrono::seconds(1) })
    , m_random(m_settings.seed)
    , m_idPrefix("load-" + std::to_string(m_settings.seed) + "-" + std::to_string(loop.wallMilliseconds()) + "-")
{
}

void LoadRunner::start(std::function<void()> finished)
{
    m_finished = std::move(finished);
    if (m_settings.direct)
        readWorkerClocks();
    else
        begin();
}

Common::Duration LoadRunner::elapsed() const { return m_endedAt - m_startedAt; }

void LoadRunner::begin()
{
    m_begun = true;
    m_startedAt = m_loop.now();
    m_endedAt = m_startedAt + m_settings.duration;
    m_loop.schedule(m_settings.duration, [this] { checkFinished(); });
    m_loop.schedule(m_settings.duration + m_settings.deadline + deadlineSlack + finalWait, [this] {
        if (const auto finished = std::exchange(m_finished, nullptr))
            finished();
    });
    if (m_settings.rate > 0) {
        scheduleArrival(m_startedAt);
        return;
    }
    for (int i = 0; i < m_settings.connections; ++i)
        arrive(m_startedAt);
}

// ---- Workers' clocks ----

void LoadRunner::readWorkerClocks()
{
    for (const std::string& target : m_settings.targets)
        readWorkerClock(target);
    m_loop.schedule(clockInterval, [this] { readWorkerClocks(); });
}

void LoadRunner::readWorkerClock(const std::string& target)
{
    Http::Request sync;
    sync.method = "POST";
    sync.target = "/sync";
    sync.body = R"({"daemon":"","address":""})";
    const Common::MonotonicTime sentAt = m_loop.now();
    m_client.send(target, std::move(sync), clockInterval, [this, target, sentAt](const auto& answer) {
        if (!answer || answer->status != 200)
            return;
        const json report = json::parse(answer->body);
        m_clocks[target]
            = WorkerClock { report.at("boot").get<std::string>(), report.at("clock").get<int64_t>(), sentAt };
        if (!m_begun && m_clocks.size() == m_settings.targets.size())
            begin();
    });
}

// ---- Arrivals ----

void LoadRunner::scheduleArrival(Common::MonotonicTime previous)
{
    std::exponential_distribution<double> gap(m_settings.rate);
    const auto wait = std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(gap(m_random)));
    const Common::MonotonicTime due = previous + wait;
    if (due >= m_endedAt)
        return;
    m_loop.schedule(std::max(due - m_loop.now(), Common::Duration::zero()), [this, due] {
        arrive(due);
        scheduleArrival(due);
    });
}

void LoadRunner::arrive(Common::MonotonicTime due)
{
    auto caller = std::make_shared<Caller>();
    caller->id = m_idPrefix + std::to_string(++m_lastCaller);
    caller->due = due;
    caller->attemptsLeft = m_settings.retries;
    m_stats.countSent();
    attempt(caller);
}

void LoadRunner::attempt(const CallerPtr& caller)
{
    std::uniform_int_distribution<size_t> choice(0, m_settings.targets.size() - 1);
    const std::string& target = m_settings.targets[choice(m_random)];
    m_stats.countAttempt();
    m_client.send(target, request(*caller, target), attemptTimeout(),
        [this, caller](const auto& answer) { finishAttempt(caller, answer); });
}

Common::Duration LoadRunner::attemptTimeout() const
{
    if (m_settings.giveUpAfter.count() > 0)
        return m_settings.giveUpAfter;
    return m_settings.deadline + deadlineSlack;
}

Http::Request LoadRunner::request(const Caller& caller, const std::string& target) const
{
    Http::Request request;
    request.method = "POST";
    request.headers.set("Content-Type", "application/json");
    json body { { "runMs", m_settings.requestTime.count() }, { "echo", caller.id } };
    if (m_settings.answerBytes > 0)
        body["answerBytes"] = m_settings.answerBytes;
    request.body = body.dump();
    if (m_settings.direct) {
        addDirectHeaders(request, caller, target);
        return request;
    }
    request.target = "/v1/services/" + m_settings.service + "/requests";
    request.headers.set("X-Request-Id", caller.id);
    request.headers.set("X-Deadline-Ms", std::to_string(m_settings.deadline.count()));
    request.headers.set("X-Idempotent", m_settings.idempotent ? "true" : "false");
    return request;
}

void LoadRunner::addDirectHeaders(Http::Request& request, const Caller& caller, const std::string& target) const
{
    const WorkerClock& clock = m_clocks.at(target);
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now() - clock.readAt);
    request.target = "/run";
    request.headers.set("X-Task", caller.id + "#" + std::to_string(m_settings.retries - caller.attemptsLeft));
    request.headers.set("X-Boot", clock.boot);
    request.headers.set("X-Start-By", std::to_string(clock.milliseconds + since.count() + startWindow.count()));
    request.headers.set("X-Service", m_settings.service);
    request.headers.set("X-Declared", directDeclared);
}

// ---- Ends ----

void LoadRunner::finishAttempt(const CallerPtr& caller, const Common::Result<Http::Response>& answer)
{
    if (answer) {
        const LoadOutcome outcome = classify(*caller, *answer);
        if (!Http::succeeded(*answer))
            m_stats.countError(std::string(Common::errorName(Http::failureFrom(*answer).code)));
        if (outcome == LoadOutcome::NotRun)
            retryOrEnd(caller, outcome);
        else
            end(caller, outcome);
        return;
    }
    const ErrorCode code = answer.reason().code;
    m_stats.countError(std::string(Common::errorName(code)));
    const bool gaveUp = code == ErrorCode::Timeout && m_settings.giveUpAfter.count() > 0;
    if (code == ErrorCode::ConnectFailed)
        retryOrEnd(caller, LoadOutcome::NotRun);
    else if (gaveUp)
        retryOrEnd(caller, LoadOutcome::GaveUp);
    else
        end(caller, LoadOutcome::Unknown);
}

LoadOutcome LoadRunner::classify(const Caller& caller, const Http::Response& response) const
{
    const auto outcome = response.headers.get("X-Outcome");
    if (outcome == "not-run")
        return LoadOutcome::NotRun;
    if (!Http::succeeded(response)) {
        const ErrorCode code = Http::failureFrom(response).code;
        const bool refused
            = code == ErrorCode::StartTooLate || code == ErrorCode::WorkerRebooted || code == ErrorCode::WorkerFull;
        return m_settings.direct && refused ? LoadOutcome::NotRun : LoadOutcome::Unknown;
    }
    const json body = json::parse(response.body, nullptr, false);
    const bool own = body.is_object() && body.value("echo", std::string()) == caller.id;
    const bool whole = body.is_object()
        && body.value("padding", std::string()).size() >= static_cast<size_t>(m_settings.answerBytes);
    return own && whole ? LoadOutcome::Answer : LoadOutcome::WrongAnswer;
}

void LoadRunner::retryOrEnd(const CallerPtr& caller, LoadOutcome outcome)
{
    if (caller->attemptsLeft == 0) {
        end(caller, outcome);
        return;
    }
    --caller->attemptsLeft;
    attempt(caller);
}

void LoadRunner::end(const CallerPtr& caller, LoadOutcome outcome)
{
    m_stats.countOutcome(outcome, m_loop.now() - caller->due);
    if (m_settings.rate <= 0 && !isOver())
        arrive(m_loop.now());
    else
        checkFinished();
}

bool LoadRunner::isOver() const { return m_loop.now() >= m_endedAt; }

void LoadRunner::checkFinished()
{
    if (!isOver() || m_stats.ended() < m_stats.sent())
        return;
    if (const auto finished = std::exchange(m_finished, nullptr))
        finished();
}

} // namespace StandIns
