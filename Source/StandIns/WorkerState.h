// Simulates a worker: claims, leased tasks, interference, checkpoints and lagging reports of use. Uses no sockets.
// WorkerServer puts it on the network; NodeSchedule runs it under a virtual clock.
#pragma once

#include "Common/Result.h"
#include "Scheduler/StartCommand.h"
#include "Scheduler/SyncRequest.h"
#include "Scheduler/TaskControl.h"
#include "Scheduler/WorkerReport.h"
#include "StandIns/JournalEntry.h"
#include "StandIns/TaskWork.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace StandIns {

/// Refuses late starts, starts for another boot and repeated task ids. Starts are not checked against claims, and by
/// default not against free capacity, so that the journal can show an overload.
class WorkerState {
public:
    struct Settings {
        Common::WorkerId worker;
        Common::WorkerBootId boot;
        Common::RackId rack;
        Common::Resources capacity;
        /// Age of the samples in reports.
        std::chrono::milliseconds usageLag {};
        /// Refuses starts that exceed the capacity.
        bool refuseWhenFull = false;
        uint64_t seed = 1;
    };
    struct Faults {
        /// Every task fails after at most 5 ms of work.
        bool failAll = false;
        bool refuseStarts = false;
        bool leaving = false;
    };
    struct RequestCommand {
        Common::TaskId task;
        Common::WorkerBootId boot;
        Common::WorkerTime startBy;
        Common::Resources declared;
    };
    using Clock = std::function<Common::MonotonicTime()>;
    using Journal = std::function<void(const JournalEntry&)>;
    /// `succeeded` is true when the request's work finished without failure.
    using RequestEnd = std::function<void(bool succeeded)>;

    /// Ended tasks are reported for this long unless acknowledged earlier.
    static constexpr std::chrono::minutes endedTaskRetention { 10 };

    WorkerState(Settings, Clock, Journal);

    Scheduler::WorkerReport sync(const Scheduler::SyncRequest&);
    Common::Result<Common::Done> start(const Scheduler::StartCommand&);
    /// Starts a request. `ended` is called once, from advance() or a later call.
    Common::Result<Common::Done> startRequest(const RequestCommand&, const TaskWork&, RequestEnd ended);
    void control(Scheduler::TaskControl, const std::vector<Common::TaskId>&);
    void setFaults(Faults faults) { m_faults = faults; }

    /// Updates progress, ends and expired leases to the current time. sync(), start(), startRequest() and control() do
    /// so first.
    void advance();
    /// When the next task ends or loses its lease; nothing while no task runs.
    std::optional<Common::MonotonicTime> nextEvent() const;

    Common::WorkerTime clock() const;
    const Settings& settings() const { return m_settings; }
    size_t running() const { return m_running.size(); }
    const Common::Resources& declaredTotal() const { return m_declaredTotal; }
    const Common::Resources& usedTotal() const { return m_usedTotal; }
    const Common::Resources& declaredPeak() const { return m_declaredPeak; }
    const Common::Resources& usedPeak() const { return m_usedPeak; }

private:
    struct Sample {
        Common::WorkerTime since;
        Common::Resources used;
        int64_t speedPerMille = 1000;
    };
    struct Running {
        Scheduler::TaskReport report;
        TaskWork work;
        /// Work in microseconds of run time alone on the worker. Invariant: done <= total.
        int64_t total = 0;
        int64_t done = 0;
        int64_t speedPerMille = 1000;
        bool failsEarly = false;
        /// Batch tasks only.
        std::optional<Common::MonotonicTime> leaseExpiresAt;
        RequestEnd ended;
        /// Use and speed with their start times, oldest first. Of samples older than the lag only the newest is kept.
        std::deque<Sample> samples;
    };
    struct Ended {
        Scheduler::TaskReport report;
        Common::MonotonicTime forgetAt;
    };
    using RunningTasks = std::map<Common::TaskId, Running>;

    Common::Result<Common::Done> checkStart(const Common::TaskId&, const Common::WorkerBootId&,
        Common::WorkerTime startBy, const Common::Resources& declared) const;
    void add(const Common::TaskId&, Common::WorkerTime startBy, Running);
    void remove(RunningTasks::iterator, Scheduler::TaskState, const std::string& reason);
    void updateClaim(const Scheduler::SyncRequest&);
    void addProgress(Common::Duration elapsed);
    void endDueTasks(Common::MonotonicTime at);
    void updateSpeeds();
    void recordPeak();
    void writeToJournal(JournalEvent, const Running&, const std::string& reason);
    Common::Resources useOf(const Running&) const;
    int64_t speedOf(const Running&) const;
    Scheduler::TaskReport reportOf(const Running&) const;
    Common::MonotonicTime endOf(const Running&) const;
    int64_t drawRunTime(const TaskWork&);
    Common::WorkerTime toWorkerTime(Common::MonotonicTime) const;

    Settings m_settings;
    Clock m_clock;
    Journal m_journal;
    std::mt19937_64 m_random;
    Faults m_faults;
    Common::MonotonicTime m_bootedAt;
    /// The time up to which progress of all running tasks is counted.
    Common::MonotonicTime m_advancedTo;
    std::map<Common::DaemonId, Scheduler::WorkerClaim> m_claims;
    RunningTasks m_running;
    std::map<Common::TaskId, Ended> m_ended;
    /// Task ids that must not start again, with the time at which they may be forgotten, well after their start
    /// deadline.
    std::map<Common::TaskId, Common::WorkerTime> m_seen;
    std::deque<std::pair<Common::WorkerTime, Common::TaskId>> m_seenOrder;
    /// Sums over m_running.
    Common::Resources m_declaredTotal;
    Common::Resources m_usedTotal;
    int64_t m_noiseTotal = 0;
    Common::Resources m_declaredPeak;
    Common::Resources m_usedPeak;
};

} // namespace StandIns
