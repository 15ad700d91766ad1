// A job in the memory of its cell's owner.
#pragma once

#include "Cells/LiveOccurrence.h"
#include "Cells/TaskTransfer.h"
#include "Common/Units.h"
#include "Jobs/JobRecord.h"
#include "Jobs/TaskName.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cells {

/// Keeps the progress of its tasks. Decides neither where nor when they run.
/// Invariant: a job that is final has no occurrences.
class LiveJob {
public:
    /// `recovered`: an earlier owner may have started tasks of the job.
    LiveJob(Jobs::JobRecord record, bool recovered, Common::MonotonicTime now, int64_t wallMilliseconds);

    const Common::JobId& id() const { return m_record.id; }
    const Jobs::JobPolicy& policy() const { return m_record.policy; }
    const Jobs::JobSpec& spec() const { return m_record.spec; }
    Jobs::JobPhase phase() const { return m_record.phase; }
    int64_t finishedMilliseconds() const { return m_record.finishedMilliseconds; }
    bool recovered() const { return m_recovered; }
    bool isPart() const { return m_record.isPart; }
    const std::set<std::string>& partCells() const { return m_record.partCells; }
    uint32_t transfersSent() const { return m_record.transfersSent; }
    const std::map<uint32_t, LiveOccurrence>& occurrences() const { return m_occurrences; }
    std::map<uint32_t, LiveOccurrence>& occurrences() { return m_occurrences; }

    /// Begins the occurrences that are due at the wall clock time; yields when the next one is due.
    std::optional<int64_t> openDueOccurrences(Common::MonotonicTime now, int64_t wallMilliseconds);
    /// Null when the occurrence isn't open or there is no such task.
    LiveTask* find(const Jobs::TaskName&);
    const Jobs::StepSpec& stepSpec(uint32_t step) const { return m_record.spec.steps.at(step); }
    /// Whether the tasks of the step may start: all that it comes after is done.
    bool isStartable(const LiveOccurrence&, uint32_t step) const;
    bool hasStartedTask() const { return m_begun; }

    /// The attempt number was used; later runs get higher ones.
    void recordAttempt(const Jobs::TaskName&, Common::AttemptNumber);
    /// A run is ordered. The task must be waiting.
    void beginRun(const Jobs::TaskName&, TaskRun);
    /// A run that an earlier owner started, or that was given up too early, is there.
    void adoptRun(const Jobs::TaskName&, TaskRun);
    /// The task's run is gone; it waits again, unless it is done.
    void clearRun(const Jobs::TaskName&);
    /// One run ended well; for a gang that ends the whole step. True when it was news.
    bool markDone(const Jobs::TaskName&);
    /// One run failed. True when the job has failed with it.
    bool markFailed(const Jobs::TaskName&, Common::AttemptNumber);
    /// Progress that a run reported as saved. Not worth a write by itself.
    void updateCheckpoint(const Jobs::TaskName&, const std::string& checkpoint);
    /// The same of a run that has ended.
    void saveCheckpoint(const Jobs::TaskName&, const std::string& checkpoint);
    void finish(Jobs::JobPhase, int64_t wallMilliseconds);
    /// All occurrences have ended well.
    bool isComplete() const;

    /// Lets go of waiting tasks of a long-running step for the sake of another cell.
    TaskTransfer transferTasks(
        uint32_t occurrence, uint32_t step, const std::vector<uint32_t>& tasks, const CellId& from, const CellId& to);
    /// The other cell hasn't got them after all.
    void revertTransfer(const TaskTransfer&);
    /// Takes the tasks over, unless that gift or a later one of its giver was received before.
    void receiveTransfer(const TaskTransfer&);
    /// The record of a cancelled job for a cell that was given tasks of it, or will be.
    Jobs::JobRecord cancelledPart() const;

    /// The longest chain of estimated work that an occurrence still has before it.
    Common::Duration remainingCriticalPath(const LiveOccurrence&) const;
    /// The longest chain of a whole occurrence.
    Common::Duration totalCriticalPath() const;
    /// How long after its beginning an occurrence should have ended.
    Common::Duration objective() const { return m_objective; }

    Jobs::JobRecord toRecord() const;

    /// Counts the changes that the store should know of.
    uint64_t changes() const { return m_changes; }
    /// The store has the state as of that change.
    void committed(uint64_t changes);
    uint64_t committedChanges() const { return m_committedChanges; }
    bool isDurable() const { return m_committedChanges == m_changes; }

private:
    LiveOccurrence open(uint32_t occurrence, Common::MonotonicTime now, int64_t wallMilliseconds) const;
    LiveStep* stepOf(const Jobs::TaskName&);
    template <typename Change> void forEachGiven(const TaskTransfer&, const Change&);
    void closeFinished(uint32_t occurrence);
    Common::Duration chainFrom(const LiveOccurrence*, uint32_t step) const;

    /// Without `progress`, which is kept in `m_occurrences`.
    Jobs::JobRecord m_record;
    std::map<uint32_t, LiveOccurrence> m_occurrences;
    Common::Duration m_objective {};
    bool m_recovered = false;
    bool m_begun = false;
    uint64_t m_changes = 1;
    uint64_t m_committedChanges = 0;
};

} // namespace Cells
