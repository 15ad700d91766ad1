// Repeats cancellations with growing pauses and answers their callers.
#include "Cells/PendingCancellations.h"

#include "Common/Log.h"
#include "Scheduler/Runtime.h"

#include <algorithm>
#include <memory>
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
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [callback = std::move(callback), answered](const Common::Result<Common::Done>& outcome) {
        if (!std::exchange(*answered, true))
            callback(outcome);
    };
    Cancellation& cancellation = isNew ? m_cancellations[job] : known->second;
    cancellation.callers.push_back(answer);
    cancellation.askedAt = m_runtime.now();
    m_runtime.schedule(timeout, m_lifetime.guard([answer] {
        answer(Common::Failure {
            Common::ErrorCode::OutcomeUnknown, "the cancellation isn't confirmed yet; it goes on", std::nullopt });
    }));
    if (isNew)
        attempt(job);
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
    if (outcome || outcome.reason().code == Common::ErrorCode::UnknownJob) {
        end(job, outcome, outcome ? "done" : "unknown-job");
        return;
    }
    if (m_runtime.now() - cancellation.askedAt >= attemptPeriod) {
        end(job, outcome, "given-up");
        return;
    }
    if (cancellation.attempts == 1) {
        LC_WARN(Jobs,
            "event=cancellation-pending job=" << job.value() << " reason=" << Common::errorName(outcome.reason().code));
    }
    cancellation.pause = std::clamp(2 * cancellation.pause, firstPause, longestPause);
    m_runtime.schedule(cancellation.pause, m_lifetime.guard([this, job] { attempt(job); }));
}

void PendingCancellations::end(
    const Common::JobId& job, const Common::Result<Common::Done>& outcome, const char* outcomeName)
{
    const auto ended = m_cancellations.extract(job);
    if (ended.mapped().attempts > 1) {
        LC_INFO(Jobs,
            "event=cancellation-ended job=" << job.value() << " outcome=" << outcomeName
                                            << " attempts=" << ended.mapped().attempts);
    }
    for (const auto& caller : ended.mapped().callers)
        caller(outcome);
}

} // namespace Cells
