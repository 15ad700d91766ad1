// A job in memory, as the CellEngine of its cell tracks it.
#pragma once

#include "Cells/LiveOccurrence.h"
#include "Cells/TaskTransfer.h"
#include "Common/Units.h"
#include "Jobs/JobRecord.h"
#include "Jobs/TaskName.h"
#include "Policy/CrashHistory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cells {

/// Tracks the progress of its tasks; CellEngine decides where and when they run.
/// Invariant: a job that is final has no occurrences.
class LiveJob {
public:
    /// `recovered`: an earlier owner may have started tasks of the job.
    LiveJob(Jobs::JobRecord record, bool recovered, Common::MonotonicTime now, int64_t wallMilliseconds);

    const Common::JobId& id() const { return m_record.id; }
    const Jobs::JobPolicy& policy() const { return m_record.policy; }
    const Jobs::JobSpec& spec() const { return m_record.spec; }
    Jobs::JobPhase phase() const { return m_record.phase; }
    /// Wall clock at which the job became final, in milliseconds.
    int64_t finishedMilliseconds() const { return m_record.finishedMilliseconds; }
    bool recovered() const { return m_recovered; }
    /// Whether the job belongs to another cell, which has transferred tasks of it here.
    bool isPart() const { return m_record.isPart; }
    /// Cells to which tasks of the job were transferred.
    const std::set<std::string>& partCells() const { return m_record.partCells; }
    /// The cell to which a part returns ended tasks; see JobRecord::homeCell.
    const std::string& homeCell() const { return m_record.homeCell; }
    /// Number of transfers of the job's tasks that this cell has begun.
    uint32_t transfersSent() const { return m_record.transfersSent; }
    /// Number of transfers to other cells since a task last began a run here, or was returned done.
    uint32_t transfersWithoutProgress() const { return m_transfersWithoutProgress; }
    const std::map<uint32_t, LiveOccurrence>& occurrences() const { return m_occurrences; }
    std::map<uint32_t, LiveOccurrence>& occurrences() { return m_occurrences; }

    /// Opens the occurrences that are due at the wall clock time. Returns the wall clock time, in milliseconds, at
    /// which the next one is due; empty if none is left. A part opens none: transfers bring it its occurrences.
    std::optional<int64_t> openDueOccurrences(Common::MonotonicTime now, int64_t wallMilliseconds);
    /// Opens an occurrence of which a worker has reported a run: an earlier owner, whose clock was ahead, took it for
    /// due. No effect if it is open or finished, or the job is final or a part.
    void openStarted(uint32_t occurrence, Common::MonotonicTime now, int64_t wallMilliseconds);
    /// Null if the occurrence isn't open or the task doesn't exist.
    LiveTask* find(const Jobs::TaskName&);
    const Jobs::StepSpec& stepSpec(uint32_t step) const { return m_record.spec.steps.at(step); }
    /// False for a task of a step that the job doesn't have.
    bool isLongRunning(const Jobs::TaskName& name) const
    {
        return name.step < m_record.spec.steps.size() && stepSpec(name.step).longRunning;
    }
    /// Whether the tasks of the step may start: all steps that it depends on are complete.
    bool isStartable(const LiveOccurrence&, uint32_t step) const;
    bool hasStartedTask() const { return m_hasStartedTask; }

    /// Records that the attempt number was used; later runs get higher ones.
    void recordAttempt(const Jobs::TaskName&, Common::AttemptNumber);
    /// Records that a run is being started. The task must be waiting.
    void beginRun(const Jobs::TaskName&, TaskRun);
    /// Assigns a run that an earlier owner started, or that was given up too early, to its task if that is waiting.
    void adoptRun(const Jobs::TaskName&, TaskRun);
    /// Records that a worker, which refuses calls of earlier owners by now, lists the task's run, which this owner has
    /// just adopted. Earlier owners can't learn of its end any more: they haven't started the task again, nor, unless
    /// an earlier run of it may have ended done, what depends on its step.
    void noteListed(const Jobs::TaskName&, uint32_t lastAttemptBefore);
    /// Removes the task's run; the task waits again unless it is done.
    void clearRun(const Jobs::TaskName&);
    /// Records that a run succeeded; for a gang this completes the whole step. Returns whether anything changed. No
    /// effect for long-running tasks, which are never done.
    bool markDone(const Jobs::TaskName&);
    /// Records that an attempt failed; each attempt counts once. Returns whether the job's retry limit is used up.
    bool markFailed(const Jobs::TaskName&, Common::AttemptNumber);
    /// Records that an attempt was lost in a crash of its worker. Returns whether that was unknown; each attempt counts
    /// once, for a gang as a whole.
    bool recordCrash(const Jobs::TaskName&, Common::AttemptNumber, const Jobs::TaskCrash&);
    /// Crashes under the task, or under any member of its gang. The task must exist.
    Policy::CrashHistory crashHistory(const Jobs::TaskName&) const;
    /// Records a checkpoint that a run reported. Doesn't count as a change, so it causes no write by itself.
    void updateCheckpoint(const Jobs::TaskName&, const std::string& checkpoint);
    /// Records the last checkpoint of a run that has ended; counts as a change. No effect if it is empty.
    void saveCheckpoint(const Jobs::TaskName&, const std::string& checkpoint);
    /// Makes the job final and closes its occurrences. `reason`: see JobRecord::failureReason.
    void finish(Jobs::JobPhase, int64_t wallMilliseconds, const std::string& reason = {});
    /// Whether all occurrences have succeeded.
    bool isComplete() const;

    /// Transfers tasks without runs, or none, to another cell; returns the transfer to be stored, which holds what is
    /// known of the progress of all tasks.
    TaskTransfer transferTasks(const std::vector<Jobs::TaskName>&, const CellId& from, const CellId& to);
    /// Takes the tasks back after the transfer couldn't be stored.
    void revertTransfer(const TaskTransfer&);
    /// Takes the tasks over with their progress, and notes which other tasks are done, unless this transfer was
    /// received before. The job may be complete, or have a task without attempts left, afterwards. Opens the
    /// occurrences of the tasks in a part.
    void receiveTransfer(const TaskTransfer&, Common::MonotonicTime now, int64_t wallMilliseconds);
    bool hasReceived(const TaskTransfer&) const;
    /// Closes the occurrences of a scheduled job's part whose tasks were all returned. Must not be called while a
    /// transfer isn't durable, which may have to be reverted.
    void closeReturned();
    /// Counts that the sender found no room for the waiting tasks that the transfer brought to a new part.
    void noteRefusals(const TaskTransfer&);
    /// Counts the wait of the step's tasks from `since` on, unless it counts from an earlier time already. No effect if
    /// the occurrence isn't open.
    void continueWait(uint32_t occurrence, uint32_t step, Common::MonotonicTime since);
    /// Tasks of a part that have ended here and haven't been returned: done, or without attempts left.
    std::vector<Jobs::TaskName> endedTasks() const;
    /// Whether a task of this cell has failed as often as it may.
    bool hasUsedUpTask() const;
    /// Whether a task of the job has a run in this cell.
    bool hasRun() const;
    /// The record of the final job for a cell that tasks of it were, or will be, transferred to: a cancelled part.
    Jobs::JobRecord cancelledPart() const;

    /// Estimated duration of the longest chain of dependent steps that the occurrence hasn't completed.
    Common::Duration remainingCriticalPath(const LiveOccurrence&) const;
    /// Estimated duration of the longest chain of dependent steps of a whole occurrence.
    Common::Duration totalCriticalPath() const;
    /// How long after LiveOccurrence::objectiveStartsAt an occurrence should end.
    Common::Duration objective() const { return m_objective; }

    /// The job as it is stored, with the progress of its open occurrences.
    Jobs::JobRecord toRecord() const;

    /// Number of changes that must be written to the store so far.
    uint64_t changes() const { return m_changes; }
    /// Records that the store has the state as of that change.
    void committed(uint64_t changes);
    uint64_t committedChanges() const { return m_committedChanges; }
    bool isDurable() const { return m_committedChanges == m_changes; }

private:
    LiveOccurrence open(uint32_t occurrence, Common::MonotonicTime now, int64_t wallMilliseconds) const;
    LiveStep* stepOf(const Jobs::TaskName&);
    bool isNotCompleteForEarlierOwners(const Jobs::TaskName&, uint32_t attempt) const;
    void openTransferred(const TaskTransfer&, Common::MonotonicTime now, int64_t wallMilliseconds);
    template <typename Change> void forEachTask(const TaskTransfer&, const Change&);
    template <typename Condition> bool hasTask(const Condition&) const;
    /// Parts keep their occurrences, whose tasks are yet to be returned.
    void closeFinished(uint32_t occurrence);
    void updateUsedUpTasks(uint32_t step, LiveStep&) const;
    /// Null: none of the steps is complete.
    Common::Duration criticalPathFrom(const LiveOccurrence*, uint32_t step) const;

    /// `progress` is empty in it; `m_occurrences` holds the progress.
    Jobs::JobRecord m_record;
    std::map<uint32_t, LiveOccurrence> m_occurrences;
    Common::Duration m_objective {};
    bool m_recovered = false;
    bool m_hasStartedTask = false;
    uint32_t m_transfersWithoutProgress = 0;
    uint64_t m_changes = 1;
    uint64_t m_committedChanges = 0;
};

} // namespace Cells
