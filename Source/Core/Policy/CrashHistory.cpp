// Judges tasks under which workers crashed.
#include "Policy/CrashHistory.h"

namespace Policy {

namespace {

    constexpr size_t requiredIsolationCrashes = 2;
    /// Crashes after which a task is given up if one of them can have no other cause.
    constexpr size_t provenCrashes = 3;
    constexpr size_t unprovenCrashes = 4;
    constexpr Common::Duration usualProbation = std::chrono::seconds(3);
    constexpr Common::Duration suspectProbation = std::chrono::seconds(10);
    constexpr size_t smallestCommonLoss = 3;

} // namespace

void CrashHistory::add(const Crash& crash)
{
    ++crashes;
    started += crash.started ? 1 : 0;
    fresh += crash.fresh ? 1 : 0;
    alone += crash.alone ? 1 : 0;
    workers.insert(crash.worker);
}

CrashHistory::Isolation CrashHistory::isolation() const
{
    if (crashes + unconfirmed >= requiredIsolationCrashes)
        return Isolation::Required;
    return fresh + unconfirmed > 0 ? Isolation::Preferred : Isolation::None;
}

Common::Duration CrashHistory::probation() const
{
    return crashes + unconfirmed >= requiredIsolationCrashes ? suspectProbation : usualProbation;
}

bool CrashHistory::isGivenUp() const
{
    // A worker that crashes by itself proves nothing about its only run.
    const bool proven = alone > 0 && workers.size() > 1;
    return (proven && started >= provenCrashes) || crashes >= unprovenCrashes;
}

bool CrashHistory::counts(Common::Duration ran, bool longRunning, bool besideNewerRuns) const
{
    if (ran < probation())
        return true;
    return !longRunning && (!besideNewerRuns || crashes < requiredIsolationCrashes);
}

bool CrashHistory::awaitsConfirmation() const { return unconfirmed > 0 && crashes + unconfirmed >= provenCrashes; }

bool isCommonCause(size_t lost, size_t size) { return size >= smallestCommonLoss && lost >= size; }

} // namespace Policy
