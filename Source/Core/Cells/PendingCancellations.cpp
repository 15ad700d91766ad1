// Repeats cancellations with growing pauses and answers their callers.
#include "Cells/PendingCancellations.h"

#include "Common/Log.h"
#include "Scheduler/Runtime.h"

#include <algorithm>
#include <utility>

namespace Cells {

namespace {

    /// Time for one attempt: the tasks' stops, which workers list within half a second, and one commit. Short enough
    /// that a caller's usual timeout of 3 s leaves time for a second attempt when the first one meets a silent
    /// connection.
    constexpr Common::Duration attemptTimeout = std::chrono::milliseconds(1200);
    /// Pause after the first attempt that failed; doubles up to the longest one.
    constexpr Common::Duration firstPause = std::chrono::milliseconds(250);
    constexpr Common::Duration longestPause = std::chrono::seconds(2);
    /// How long a cancellation is attempted after a caller has asked for it: several times the longest takeover of a
    /// cell (15 s, when workers of the cell can't be asked).
    constexpr Common::Duration attemptPeriod = std::chrono::seconds(60);
    /// Bounds memory and the calls for attempts, 500 a second at the longest pause.
    constexpr size_t maximumPending = 1000;
    constexpr Common::Duration retryAfterOverload = std::chrono::seconds(1);

} // namespace

PendingCancellations::PendingCancellations(Scheduler::Runtime& runtime, Attempt attempt)
    : m_runtime(runtime)
    , m_attempt(std::move(attempt))
{
}

void PendingCancellations::add(
    const Common::JobId& job, Common::Duration timeout, Common::Callback<Common::Done> callback)
{
    const auto known = m_cancellations.find(job);
    const bool isNew = known == m_cancellations.end();
    if (isNew && m_cancellations.size() >= maximumPending) {
        callback(Common::Failure {
            Common::ErrorCode::Overloaded, "too many cancellations are pending", retryAfterOverload });
        return;
    }
    Cancellation& cancellation = isNew ? m_cancellations[job] : known->second;
    const uint64_t number = ++m_calls;
    cancellation.callers.push_back({ number, cancellation.attempts + 1, std::move(callback) });
    cancellation.lastCallAt = m_runtime.now();
    m_runtime.schedule(timeout, m_lifetime.guard([this, job, number] { expireCaller(job, number); }));
    if (isNew)
        attempt(job);
}

void PendingCancellations::expireCaller(const Common::JobId& job, uint64_t number)
{
    const auto cancellation = m_cancellations.find(job);
    if (cancellation == m_cancellations.end())
        return;
    std::vector<Caller>& callers = cancellation->second.callers;
    const auto caller
        = std::find_if(callers.begin(), callers.end(), [number](const Caller& row) { return row.number == number; });
    if (caller == callers.end())
        return;
    const Common::Callback<Common::Done> callback = std::move(caller->callback);
    callers.erase(caller);
    callback(Common::Failure {
        Common::ErrorCode::OutcomeUnknown, "the cancellation isn't confirmed yet; it goes on", std::nullopt });
}

void PendingCancellations::attempt(const Common::JobId& job)
{
    ++m_cancellations.at(job).attempts;
    m_attempt(job, attemptTimeout,
        m_lifetime.guard([this, job](const Common::Result<Common::Done>& outcome) { onAttempted(job, outcome); }));
}

void PendingCancellations::onAttempted(const Common::JobId& job, const Common::Result<Common::Done>& outcome)
{
    Cancellation& cancellation = m_cancellations.at(job);
    if (outcome) {
        end(job, End::Done, outcome);
        return;
    }
    const bool isUnknownJob = outcome.reason().code == Common::ErrorCode::UnknownJob;
    const bool hasLaterCaller = std::any_of(cancellation.callers.begin(), cancellation.callers.end(),
        [&](const Caller& caller) { return caller.firstAttempt > cancellation.attempts; });
    if (isUnknownJob && !hasLaterCaller) {
        end(job, End::UnknownJob, outcome);
        return;
    }
    if (isUnknownJob) {
        retryAfter(job, Common::Duration::zero());
        return;
    }
    if (m_runtime.now() - cancellation.lastCallAt >= attemptPeriod) {
        end(job, End::GivenUp,
            Common::Failure { Common::ErrorCode::OutcomeUnknown, "the cancellation was given up", std::nullopt });
        return;
    }
    if (cancellation.attempts == 1) {
        LC_WARN(Jobs,
            "event=cancellation-pending job=" << job.value() << " reason=" << Common::errorName(outcome.reason().code)
                                              << " detail=" << outcome.reason().detail);
    }
    cancellation.pause = std::clamp(2 * cancellation.pause, firstPause, longestPause);
    retryAfter(job, cancellation.pause);
}

void PendingCancellations::retryAfter(const Common::JobId& job, Common::Duration pause)
{
    m_runtime.schedule(pause, m_lifetime.guard([this, job] { attempt(job); }));
}

void PendingCancellations::end(const Common::JobId& job, End end, const Common::Result<Common::Done>& outcome)
{
    const auto ended = m_cancellations.extract(job);
    if (ended.mapped().attempts > 1) {
        const char* const name = end == End::Done ? "done" : end == End::UnknownJob ? "unknown-job" : "given-up";
        LC_INFO(Jobs,
            "event=cancellation-ended job=" << job.value() << " outcome=" << name
                                            << " attempts=" << ended.mapped().attempts);
    }
    for (const Caller& caller : ended.mapped().callers)
        caller.callback(outcome);
}

} // namespace Cells
