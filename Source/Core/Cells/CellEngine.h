// Runs the jobs of one cell: the part of its owner that decides what starts, where, and what follows from reports.
#pragma once

#include "Cells/AcceptOutcome.h"
#include "Cells/CellCommitter.h"
#include "Cells/CellId.h"
#include "Cells/CellLoad.h"
#include "Cells/CellSettings.h"
#include "Cells/CellWorkers.h"
#include "Cells/LiveJob.h"
#include "Cells/TaskTransfer.h"
#include "Cells/WorkerChanges.h"
#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Common/Result.h"
#include "Jobs/JobRecord.h"
#include "Policy/BackfillPace.h"
#include "Policy/GangPlacement.h"
#include "Policy/ServiceFit.h"
#include "Policy/StartOrder.h"
#include "Policy/TailLatencyModel.h"
#include "Policy/WorkerHealth.h"
#include "Policy/WorkerOffer.h"
#include "Scheduler/Runtime.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Cells {

/// Exists from the takeover of a cell until it is released or lost.
/// A run that may be on a worker is in that worker's occupants; a task has at most one run.
class CellEngine {
public:
    /// What a successor has read of the cell.
    struct RecoveredCell {
        CellRecord record;
        Common::StoreRevision fence;
        std::vector<Jobs::JobRecord> jobs;
        /// Tasks that the cell was given and hasn't taken over yet.
        std::vector<TaskTransfer> transfers;
        /// The owner before has surely stopped: it released the cell, or another process runs in its place.
        bool formerOwnerStopped = false;
        /// Workers on which tasks of the cell may run.
        std::vector<WorkerEntry> workers;
        /// What earlier owners learned of images that disturb each other.
        std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimates;
    };

    /// How the engine reaches the owners of other cells.
    struct PeerCells {
        /// How many tasks of the step, of a job of the service, each other cell has room for.
        std::function<std::map<CellId, size_t>(const CellId& self, const Common::ServiceName&, const Jobs::StepSpec&)>
            taskSlots;
        /// Tells the owner of the other cell of a gift that is durable, until it has heard.
        std::function<void(const TaskTransfer&)> sendTransfer;
        /// Has it read the cell's gifts of the job, which an earlier owner of the giver may not have told it of.
        std::function<void(const CellId&, const Common::JobId&)> requestTransferCheck;
        /// Tells it that the job was cancelled, by the cancelled part's record, until it has heard.
        std::function<void(const CellId&, const Jobs::JobRecord&)> cancel;
    };

    CellEngine(Scheduler::Runtime&, RecordStore&, WorkerOrders&, CellId, const CellSettings&, RecoveredCell, PeerCells,
        std::function<void()> lost);
    ~CellEngine();

    const CellId& id() const { return m_id; }
    FencingToken token() const { return m_token; }

    /// Brings the cell's part of the platform's list up to date.
    void listWorker(const WorkerEntry&);
    void unlistWorker(const Common::WorkerId&);

    enum class Fit {
        Any,
        /// Long-running tasks must find room at once: otherwise WorkerFull, and the job isn't accepted here.
        Required,
    };
    /// Accepts the job once it is durable.
    void submit(Jobs::JobRecord, Fit, Common::Callback<AcceptOutcome>);
    /// Nothing when the cell doesn't have the job.
    std::optional<Jobs::JobPhase> phase(const Common::JobId&) const;
    /// Done once the cancellation is durable, or the job was final already. UnknownJob when it isn't here.
    void cancel(const Common::JobId&, Common::Callback<Common::Done>);
    CellLoad load() const;
    /// Durable tasks that this cell was given of a job of another one, or the record of its cancelled part, which may
    /// come before the tasks. Done when it was taken in; heard again, it changes nothing.
    using PartMessage = std::variant<TaskTransfer, Jobs::JobRecord>;
    void handlePartMessage(const PartMessage&, const Common::Callback<Common::Done>&);

    /// What was learned of images that disturb each other, for other cells, and from them.
    std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimates(size_t most) const
    {
        return m_tails.pressureEstimates(most);
    }
    void adopt(const CellId& other, const std::vector<Policy::TailLatencyModel::PressureEstimate>& pressureEstimates)
    {
        m_tails.adopt(other.value(), pressureEstimates);
    }

    /// Each worker on which an earlier owner's runs may be was heard, or can't run anything any more.
    bool hasContactedInheritedWorkers() const { return !hasUncontactedWorkers(); }
    /// The owner before can't grant leases any more: another process runs in its place.
    void formerOwnerStopped() { m_workers.endInheritedAuthority(); }

    /// Starts nothing more, writes what is left and marks the cell as released.
    void release(std::function<void()> done);

private:
    struct Candidate {
        LiveJob* job = nullptr;
        uint32_t occurrence = 0;
        uint32_t step = 0;
        Policy::StartRank rank;
    };

    // Reports.
    void onReport(CellWorker&, const RunReport&, Common::MonotonicTime askedAt);
    void onEnd(CellWorker&, const EndedTask&);
    void onDone(LiveJob&, const EndedTask&);
    void onFailed(LiveJob&, CellWorker&, const EndedTask&);
    void onRunning(CellWorker&, const RunningTask&);
    void adopt(CellWorker&, const RunningTask&, LiveJob*);
    void removeAbsentRuns(CellWorker&, const RunReport&, Common::MonotonicTime askedAt);
    void onRunsCleared(CellWorker&, bool rebooted);
    void dropRun(CellWorker&, const RunKey&);
    void acknowledge(CellWorker&);
    void noteOutcome(CellWorker&, const LiveJob&, bool ok);
    void moveStuckRuns(CellWorker&);
    void evacuate(CellWorker&);
    void learnTails(CellWorker&);
    void moveStarvedRuns(CellWorker&);
    void paceBackfill(CellWorker&);
    bool shouldPollFrequently(const CellWorker&) const;

    // Starts.
    void placeSoon();
    void place();
    std::vector<Candidate> candidates();
    void placeStep(const Candidate&, std::vector<Candidate>& blocked);
    void noteBlocked(LiveJob&, const Candidate&);
    void transferTasks(LiveJob&, const Candidate&);
    void receiveTransfer(const TaskTransfer&);
    void cancelPart(const Jobs::JobRecord&, const Common::Callback<Common::Done>&);
    std::optional<std::pair<CellId, size_t>> roomElsewhere(const Common::ServiceName&, const Jobs::StepSpec&);
    void notifyParts(const LiveJob&) const;
    void placeGang(const Candidate&);
    void startGang(const Candidate&, const Common::RackId&);
    std::vector<Policy::GangOffer> gangOffers(const LiveJob&, const Candidate&);
    enum class GangMembers {
        All,
        /// Whose start hasn't been reported: those that were end by themselves when one of them has ended.
        NotSeen,
    };
    void breakGang(LiveJob&, const RunKey& missing, GangMembers);
    bool mayRunOn(const CellWorker&, const LiveJob&, const Jobs::StepSpec&);
    Policy::WorkerOffer offerOf(const CellWorker&, const Jobs::StepSpec&, const Jobs::TaskName&) const;
    /// `rack`: only workers on it; empty: on any.
    CellWorker* choose(const LiveJob&, const Jobs::TaskName&, const LiveTask&, const Common::RackId& rack = {});
    void order(LiveJob&, const Jobs::TaskName&, CellWorker&, Common::AttemptNumber);
    void onOrderAnswer(const Common::WorkerId&, const RunKey&, OrderVerdict);
    bool mayGrant() const;
    bool hasUncontactedWorkers() const;

    // Jobs.
    LiveJob* findJob(const Common::JobId&);
    LiveJob& addJob(Jobs::JobRecord, bool recovered);
    void finishJob(LiveJob&, Jobs::JobPhase, Common::Callback<Common::Done>);
    void cancelKnown(LiveJob&, Common::Callback<Common::Done>);
    void stopRun(CellWorker&, const RunKey&);
    void stopRunsOf(const Common::JobId&);
    void markChanged(LiveJob&);
    void writeWorkers();
    /// What long-running tasks that wait, or are about to be accepted, will hold.
    int64_t promisedMilliCores() const;
    bool fits(const Jobs::JobSpec&) const;
    void addBackfillRooms(CellLoad&) const;
    static void addWaiting(const LiveJob&, CellLoad&);
    void sweep();
    void lose();

    Scheduler::Runtime& m_runtime;
    CellId m_id;
    FencingToken m_token;
    const CellSettings& m_settings;
    std::map<Common::JobId, std::unique_ptr<LiveJob>> m_jobs;
    /// Submissions under way, with those who asked for the same id again.
    std::map<Common::JobId, std::vector<Common::Callback<AcceptOutcome>>> m_submissions;
    std::map<Common::JobId, Jobs::JobRecord> m_submitted;
    Policy::TailLatencyModel m_tails;
    Policy::WorkerHealth m_health;
    CellCommitter m_committer;
    CellWorkers m_workers;
    /// Workers on which runs of an earlier owner may be.
    std::set<Common::WorkerId> m_inheritedWorkers;
    std::string m_writtenWorkers;
    /// Workers that the store's record of the cell names: only these get runs.
    std::set<Common::WorkerId> m_recordedWorkers;
    std::function<void()> m_lost;
    PeerCells m_peerCells;
    struct RecentTransfer {
        Common::MonotonicTime at;
        size_t tasks = 0;
    };
    /// Tasks that were given to a cell and that its beats may not show yet.
    std::map<CellId, RecentTransfer> m_recentTransfers;
    /// Since when long-running tasks of a job have found no room.
    std::map<Common::JobId, Common::MonotonicTime> m_blockedSince;
    Common::MonotonicTime m_tailsNoted;
    Common::MonotonicTime m_blockedNoted;
    bool m_placingSoon = false;
    bool m_releasing = false;
    bool m_closed = false;
    std::optional<Scheduler::TimerId> m_dueTimer;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
