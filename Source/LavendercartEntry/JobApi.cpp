// Routing, execution and logging of callers' job calls.
#include "LavendercartEntry/JobApi.h"

#include "Common/Log.h"
#include "Common/Overloaded.h"
#include "Common/WorkTimes.h"

#include <algorithm>
#include <variant>

namespace Entry {

namespace {

    /// Timeout of calls whose callers send none.
    constexpr Common::Duration defaultTimeout = std::chrono::seconds(3);
    /// Taken off a caller's timeout, so that the answer still reaches the caller.
    constexpr Common::Duration answerMargin = std::chrono::milliseconds(60);
    constexpr Common::Duration retryAfterNoConfig = std::chrono::seconds(1);
    /// A stopping process takes no call that it would have to answer sooner than this: a call passes through another
    /// host and the store.
    constexpr Common::Duration shortestTimeWhenStopping = std::chrono::milliseconds(300);

} // namespace

struct JobApi::Call {
    uint64_t number = 0;
    Http::Server::Responder respond;
    Common::MonotonicTime arrivedAt;
    Common::Duration timeout {};
    std::string method;
    std::string job;
    std::string route;
    int64_t configVersion = -1;
};

JobApi::JobApi(
    Scheduler::Runtime& runtime, Cells::JobGateway& jobGateway, Cells::ConfigFollower& config, Common::Metrics& metrics)
    : m_runtime(runtime)
    , m_jobGateway(jobGateway)
    , m_config(config)
    , m_metrics(metrics)
    , m_submitSeconds(metrics.latencyHistogram(
          "lavendercart_call_seconds", "Time from a caller's call to its answer", { { "call", "submit" } }))
    , m_cancelSeconds(metrics.latencyHistogram(
          "lavendercart_call_seconds", "Time from a caller's call to its answer", { { "call", "cancel" } }))
    , m_otherSeconds(metrics.latencyHistogram(
          "lavendercart_call_seconds", "Time from a caller's call to its answer", { { "call", "other" } }))
{
}

void JobApi::serve(const Http::Request& request, const Http::Server::Responder& respond)
{
    const Common::WorkTimes::Scope work(Common::WorkKind::CallerCalls);
    auto call = std::make_shared<Call>();
    call->number = ++m_calls;
    m_underWay.emplace(call->number, call);
    call->respond = respond;
    call->arrivedAt = m_runtime.now();
    call->method = request.method;
    const std::shared_ptr<const Cells::ServingConfig> config = m_config.current();
    if (!config) {
        fail(call, { Common::ErrorCode::NoConfiguration, "there is no configuration yet", retryAfterNoConfig });
        return;
    }
    call->configVersion = config->version;
    const std::string_view path = Platform::pathOf(request);
    const Cells::JobRoute* const route = config->find(Platform::hostOf(request), path);
    if (!route) {
        fail(call, { Common::ErrorCode::UnknownRoute, "no route has this host and path", std::nullopt });
        return;
    }
    call->route = route->policy.route;
    call->timeout = Platform::timeoutOf(request, defaultTimeout) - answerMargin;
    const std::string_view rest = path.substr(route->prefix.size());
    call->job = std::string(rest);
    if (m_answersEnd) {
        const Common::Duration left = *m_answersEnd - call->arrivedAt;
        if (left < shortestTimeWhenStopping) {
            fail(call, { Common::ErrorCode::Draining, "the process is stopping", std::nullopt });
            return;
        }
        call->timeout = std::min(call->timeout, left - answerMargin);
    }
    auto read = Platform::readCall(request, rest);
    if (!read)
        fail(call, read.reason());
    else
        dispatch(call, std::move(*read), *route);
}

void JobApi::dispatch(const std::shared_ptr<Call>& call, Platform::JobCall&& read, const Cells::JobRoute& route)
{
    std::visit(Common::Overloaded {
                   [&](Platform::SubmitCall& submission) { submit(call, std::move(submission), route); },
                   [&](const Platform::PhaseCall& query) {
                       m_jobGateway.phase(
                           query.job, call->timeout, [this, call](const Common::Result<Jobs::JobPhase>& phase) {
                               if (phase)
                                   answer(call, Platform::phaseAnswer(*phase), "state");
                               else
                                   fail(call, phase.reason());
                           });
                   },
                   [&](const Platform::CancelCall& cancelled) {
                       m_jobGateway.cancel(
                           cancelled.job, call->timeout, [this, call](const Common::Result<Common::Done>& done) {
                               if (done)
                                   answer(call, Platform::acceptedAnswer(), "cancelled");
                               else
                                   fail(call, done.reason());
                           });
                   },
                   [&](const Platform::PendingCall&) {
                       m_jobGateway.pending(
                           route.policy.route, call->timeout, [this, call](const Common::Result<uint32_t>& count) {
                               if (count)
                                   answer(call, Platform::pendingAnswer(*count), "pending");
                               else
                                   fail(call, count.reason());
                           });
                   },
               },
        read);
}

void JobApi::submit(const std::shared_ptr<Call>& call, Platform::SubmitCall&& submission, const Cells::JobRoute& route)
{
    Jobs::JobRecord record;
    record.id = submission.job;
    record.policy = route.policy;
    record.spec = std::move(submission.spec);
    record.acceptedMilliseconds = m_runtime.wallMilliseconds();
    m_jobGateway.submit(std::move(record), call->timeout, [this, call](const Common::Result<Common::Done>& done) {
        if (done)
            answer(call, Platform::acceptedAnswer(), "accepted");
        else
            fail(call, done.reason());
    });
}

void JobApi::answer(const std::shared_ptr<Call>& call, Http::Response response, const char* outcome)
{
    // The outcome of a call may become known after its final answer.
    if (m_underWay.erase(call->number) == 0)
        return;
    m_lastAnswerAt = m_runtime.now();
    const Common::Duration took = m_lastAnswerAt - call->arrivedAt;
    secondsOf(call->method).Observe(std::chrono::duration<double>(took).count());
    m_metrics.counter("lavendercart_calls_total", "Callers' calls by outcome", { { "outcome", outcome } }).Increment();
    // Successful reads change nothing and are by far the most frequent calls, so they are not logged.
    const bool isSuccessfulRead = call->method == "GET" && response.status < 400;
    if (!isSuccessfulRead) {
        LC_INFO(Requests,
            "event=call-answered method=" << call->method << " job=" << call->job << " route=" << call->route
                                          << " config=" << call->configVersion << " status=" << response.status
                                          << " outcome=" << outcome << " took-us=" << took.count());
    }
    call->respond(std::move(response));
}

prometheus::Histogram& JobApi::secondsOf(const std::string& method) const
{
    if (method == "POST")
        return m_submitSeconds;
    return method == "DELETE" ? m_cancelSeconds : m_otherSeconds;
}

void JobApi::fail(const std::shared_ptr<Call>& call, const Common::Failure& failure)
{
    answer(call, Platform::failureAnswer(failure), std::string(Common::errorName(failure.code)).c_str());
}

void JobApi::answerAllBy(Common::MonotonicTime time)
{
    m_answersEnd = time;
    m_runtime.schedule(time - m_runtime.now(), m_lifetime.guard([this] { answerAll(); }));
}

void JobApi::answerAll()
{
    // A copy, as each answer removes its call.
    for (const auto& [number, call] : std::map(m_underWay)) {
        if (call->method == "GET")
            fail(call, { Common::ErrorCode::Draining, "the process stops before the answer is known", std::nullopt });
        else
            fail(call,
                { Common::ErrorCode::OutcomeUnknown, "the process stops before the outcome is known", std::nullopt });
    }
}

} // namespace Entry
