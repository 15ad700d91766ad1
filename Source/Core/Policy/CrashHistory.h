// Crashes of workers under one task: whether it may have caused them, and when it is given up.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstddef>
#include <set>

namespace Policy {

/// A crash says little about a task that shared the worker with other runs. One crash of a run that had been started
/// shortly before, or two of any kind, make the task a suspect; suspects are started where a further crash can have no
/// other cause.
struct CrashHistory {
    enum class Isolation {
        None,
        /// Isolated if a worker is free for it, otherwise beside other runs.
        Preferred,
        Required,
    };

    struct Crash {
        Common::WorkerId worker;
        /// The worker had confirmed the start of the run.
        bool started = false;
        /// The run had been started shortly before.
        bool fresh = false;
        /// Nothing else on the worker can have caused the crash.
        bool alone = false;
    };

    void add(const Crash&);
    /// Adds a crash that had a common cause. Only the first one is excused: tasks that crash their workers at the same
    /// time would otherwise excuse each other for ever.
    void addExcused() { ++excused; }
    bool mayBeExcused() const { return excused == 0; }

    Isolation isolation() const;
    /// How long a run must last before it no longer counts as the likely cause of a crash.
    Common::Duration probation() const;
    /// Whether a crash may have been caused by a run of the task that had lasted for `ran`. A run that has outlived its
    /// probation in isolation isn't blamed when newer runs were there.
    bool counts(Common::Duration ran, bool longRunning, bool besideNewerRuns) const;
    /// Whether the task isn't started any more.
    bool isGivenUp() const;
    /// Whether one more crash would probably end the task, so that its start waits for news of silent workers.
    bool awaitsConfirmation() const;

    size_t crashes = 0;
    /// Crashes of workers that had confirmed the start.
    size_t started = 0;
    /// Crashes of runs that had been started shortly before.
    size_t fresh = 0;
    /// Crashes that can have no other cause on the worker.
    size_t alone = 0;
    /// Runs lost with workers of which it isn't known whether they crashed.
    size_t unconfirmed = 0;
    /// Crashes with a common cause; not among `crashes`.
    size_t excused = 0;
    std::set<Common::WorkerId> workers;
};

/// Whether the loss of `lost` of the `size` workers of a rack at the same time has a cause outside of their tasks.
bool isCommonCause(size_t lost, size_t size);

} // namespace Policy
