// Metrics of RequestService.
#include "Dispatch/RequestCounters.h"

#include "Common/Metrics.h"

#include <string>

namespace Dispatch {

namespace {

    constexpr const char* outcomesName = "lavendercart_request_outcomes_total";
    constexpr const char* outcomesHelp = "Requests by final outcome and reason";

    prometheus::Counter& simpleCounter(Common::Metrics& metrics, const char* name, const char* help)
    {
        return metrics.counter(name, help);
    }

} // namespace

RequestCounters::RequestCounters(Common::Metrics& metrics)
    : attempts(simpleCounter(metrics, "lavendercart_request_attempts_total", "Requests sent to workers"))
    , retries(simpleCounter(metrics, "lavendercart_request_retries_total", "Attempts beyond the first of a request"))
    , joined(simpleCounter(metrics, "lavendercart_request_joined_total", "Repeats that joined a request under way"))
    , forwarded(simpleCounter(metrics, "lavendercart_request_forwarded_total", "Requests passed on to another daemon"))
    , cancelled(simpleCounter(metrics, "lavendercart_request_cancelled_total", "Requests given up by their callers"))
    , m_metrics(metrics)
    , m_answered(metrics.counter(outcomesName, outcomesHelp, { { "outcome", "answer" }, { "reason", "none" } }))
    , m_answerSeconds(metrics.latencyHistogram("lavendercart_request_answer_seconds", "Time from arrival to answer"))
{
}

void RequestCounters::countOutcome(const RequestOutcome& outcome, double seconds)
{
    if (const auto* const notRun = std::get_if<NotRun>(&outcome)) {
        reason("not-run", notRun->reason.code).Increment();
    } else if (const auto* const unknown = std::get_if<OutcomeUnknown>(&outcome)) {
        reason("unknown", unknown->reason.code).Increment();
    } else {
        m_answered.Increment();
        m_answerSeconds.Observe(seconds);
    }
}

prometheus::Counter& RequestCounters::reason(const char* outcome, Common::ErrorCode code)
{
    auto& known = outcome[0] == 'n' ? m_notRun : m_unknown;
    prometheus::Counter*& counter = known[static_cast<int>(code)];
    if (!counter) {
        const std::string name(Common::errorName(code));
        counter = &m_metrics.counter(outcomesName, outcomesHelp, { { "outcome", outcome }, { "reason", name } });
    }
    return *counter;
}

} // namespace Dispatch
