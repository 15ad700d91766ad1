// Runs the jobs of one cell. CellOwnership creates one engine for each cell that its host owns. The engine places tasks
// on workers, processes the workers' reports and records the progress of jobs.
#pragma once

#include "Cells/AcceptOutcome.h"
#include "Cells/CellCommitter.h"
#include "Cells/CellId.h"
#include "Cells/CellLoad.h"
#include "Cells/CellSettings.h"
#include "Cells/CellWorkers.h"
#include "Cells/LiveJob.h"
#include "Cells/PartMessage.h"
#include "Cells/PromisedRoom.h"
#include "Cells/RoomQuestion.h"
#include "Cells/RoomSearchCounts.h"
#include "Cells/ServiceRoom.h"
#include "Cells/TaskTransfer.h"
#include "Cells/WantedRoom.h"
#include "Cells/WorkerChanges.h"
#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Common/Result.h"
#include "Jobs/JobRecord.h"
#include "Policy/BackfillAdmission.h"
#include "Policy/BackfillPace.h"
#include "Policy/GangPlacement.h"
#include "Policy/RoomMaking.h"
#include "Policy/RoomOffer.h"
#include "Policy/ServiceFit.h"
#include "Policy/StartObstacle.h"
#include "Policy/StartOrder.h"
#include "Policy/TailLatencyModel.h"
#include "Policy/WorkerChoice.h"
#include "Policy/WorkerHealth.h"
#include "Policy/WorkerOffer.h"
#include "Scheduler/Runtime.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cells {

/// Exists from the takeover of a cell until it is released or lost.
/// Invariant: a run that may be on a worker has an allocation on that worker; a task has at most one run.
class CellEngine {
public:
    /// State of the cell that a new owner has read from the store.
    struct RecoveredCell {
        CellRecord record;
        Common::StoreRevision fence;
        std::vector<Jobs::JobRecord> jobs;
        /// Transfers to the cell that it hasn't received durably yet.
        std::vector<TaskTransfer> transfers;
        /// The former owner provably grants no leases any more: it released the cell, or another process runs in its
        /// place.
        bool formerOwnerStopped = false;
        /// Workers on which runs of earlier owners may still be.
        std::vector<RecordedWorker> workers;
        /// When the call by which the store confirmed the claim was sent, on the clock that includes suspended time.
        Common::MonotonicTime confirmedAt;
        /// When the store had confirmed the claim, on the runtime's clock: later it confirms no earlier owner.
        Common::MonotonicTime claimedAt;
        /// What earlier owners learned about the interference of backfill images with services.
        std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimates;
    };

    /// How the engine reaches the owners of peer cells.
    struct PeerCells {
        /// Number of tasks of the step, for a job of the service, that each peer cell has room for.
        std::function<std::map<CellId, size_t>(
            const CellId& self, const Common::ServiceName&, const Jobs::StepSpec&, CellLoad::RoomKind)>
            taskSlots;
        /// Age of the oldest load of a peer cell; zero if none is known.
        std::function<Common::Duration(const CellId& self)> oldestLoad;
        /// Asks the peer cell's owner for room. Its answer, or a failure, arrives later.
        std::function<void(const CellId&, const RoomQuestion&, Common::Callback<Policy::RoomOffer>)> askForRoom;
        /// What peer cells want that fits into the room, as far as their owners have told.
        std::function<std::vector<WantedRoom>(const CellId& self, const Common::Resources& room)> wantedRoom;
        /// Tells the peer cell's owner of room that is kept for its tasks. Its answer, or a failure, arrives later.
        std::function<void(const CellId&, const PromisedRoom&, Common::Callback<TakenRoom>)> offerRoom;
        /// Whether the peer cell's owner can hold tasks of a scheduled job; see CellLoad::takesScheduledTasks.
        std::function<bool(const CellId&)> takesScheduledTasks;
        /// Room in all peer cells whose owners' heartbeats arrive, by service.
        std::function<ServiceRooms(const CellId& self)> serviceRooms;
        /// Sends a durable transfer to the owner of the receiving cell; retried until it is acknowledged.
        std::function<void(const TaskTransfer&)> sendTransfer;
        /// Asks the peer cell's owner to read its transfers of the job from the store: an earlier owner of the sending
        /// cell may not have sent them.
        std::function<void(const CellId&, const Common::JobId&)> requestTransferCheck;
        /// Sends the record of the cancelled part to the peer cell's owner; retried until it is acknowledged, which
        /// `handled` reports.
        std::function<void(const CellId&, const Jobs::JobRecord&, std::function<void()> handled)> cancel;
        /// Has another host poll a worker of the cell; see CellWorkers::Hooks::pollThroughHost.
        std::function<std::string(
            const CellId& self, const PollForHost&, const std::string& address, Common::Callback<RunReport>)>
            pollThroughHost;
    };

    /// `lost` is called once, when the engine learns that it no longer owns the cell.
    CellEngine(Scheduler::Runtime&, RecordStore&, WorkerOrders&, CellId, const CellSettings&, RecoveredCell, PeerCells,
        std::function<void()> lost);
    ~CellEngine();

    const CellId& id() const { return m_id; }
    FencingToken token() const { return m_token; }

    /// Adds or updates a worker that the platform lists.
    void listWorker(const WorkerEntry&);
    /// Sets what is called, again while it lasts, when the entry of a worker is of a former life of it. The present one
    /// is to be passed to listWorker().
    void onOutdatedEntry(std::function<void(const Common::WorkerId&)> hook) { m_onOutdatedEntry = std::move(hook); }
    /// Marks a worker as no longer listed by the platform; it gets no new runs.
    void unlistWorker(const Common::WorkerId&);
    bool knowsWorker(const Common::WorkerId& id) const { return m_workers.all().contains(id); }
    /// The worker belongs to another cell: it gets no new runs here, and is left alone unless jobs of this cell have
    /// runs on it.
    void disownWorker(const Common::WorkerId&);
    /// Marks all workers but those of a complete list as no longer listed.
    void unlistOthers(const std::map<Common::WorkerId, WorkerEntry>& listed);

    enum class Fit {
        Any,
        /// Long-running tasks must find room at once; otherwise the submission fails with WorkerFull.
        Required,
    };
    /// Accepts the job and answers once it is durable. Submissions of the same id share one outcome.
    /// Errors: NotOwner while the cell is released or lost, WorkerFull (see Fit), and those of CellCommitter::accept.
    void submit(Jobs::JobRecord, Fit, Common::Callback<AcceptOutcome>);
    /// Phase of the job; a final phase is shown as Running until it is durable. Empty if the cell doesn't have the job
    /// or holds only a part of it.
    std::optional<Jobs::JobPhase> phase(const Common::JobId&) const;
    /// Answers once the cancellation is durable, or the final phase that the job had already. Errors: UnknownJob if the
    /// cell doesn't have the job or holds only a part of it; StoreUnavailable while its submission is in progress.
    void cancel(const Common::JobId&, Common::Callback<Common::Done>);
    enum class StopScope {
        ThisCell,
        /// Also the cells to which tasks of the job were transferred from here.
        AllCells,
    };
    /// Answers once nothing of the cancelled job runs any more as far as the workers can say. Errors: NotOwner when the
    /// cell is released or lost meanwhile.
    void awaitStopped(const Common::JobId&, StopScope, Common::Callback<Common::Done>);
    /// Load of the cell as its heartbeats report it.
    CellLoad load() const;
    /// Room on the workers that accept runs, by service.
    ServiceRooms serviceRooms() const;
    /// Takes the message in; idempotent. Fails with NotOwner while the cell is released or lost.
    void handlePartMessage(const PartMessage&, const Common::Callback<Common::Done>&);

    /// How the cell would make room for the task now. For a few seconds after an offer the cell gives the tasks of the
    /// step to no other cell.
    Policy::RoomOffer offerRoom(const RoomQuestion&);
    /// Steps whose long-running tasks have lost their run and find no room here; random ones if there are more than
    /// `most`.
    std::vector<WantedRoom> wantedRoom(size_t most);
    /// Transfers tasks to room that another cell keeps for them.
    TakenRoom takeRoom(const PromisedRoom&);

    /// At most `most` estimates of the interference between images, to be sent to peer cells.
    std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimates(size_t most) const
    {
        return m_tails.pressureEstimates(most);
    }
    /// Takes in the estimates of a peer cell.
    void adopt(const CellId& other, const std::vector<Policy::TailLatencyModel::PressureEstimate>& pressureEstimates)
    {
        m_tails.adopt(other.value(), pressureEstimates);
    }

    /// Whether each worker that may hold runs of an earlier owner has reported or is provably idle.
    bool hasContactedInheritedWorkers() const { return !hasUncontactedWorkers(); }
    /// Whether a worker that doesn't answer may hold runs, so that a successor would have to wait for its leases.
    bool hasSilentWorkersWithRuns() const;
    /// Whether the store has confirmed the ownership recently enough to start runs.
    bool mayGrantLeases() const { return mayGrant(); }
    /// Called when the former owner can't grant leases any more because another process runs in its place.
    void formerOwnerStopped() { m_workers.earlierOwnersStopped(); }

    /// Starts no more runs, writes pending changes and marks the cell as released in the store.
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
    void requestOwnEntry(CellWorker&);
    void onEnd(CellWorker&, const EndedTask&);
    void delayRestart(LiveJob&, const EndedTask&);
    void onDone(LiveJob&, const EndedTask&);
    void onFailed(LiveJob&, CellWorker&, const EndedTask&);
    void onRunning(CellWorker&, const RunningTask&);
    void adopt(CellWorker&, const RunningTask&, LiveJob*);
    void removeAbsentRuns(CellWorker&, const RunReport&, Common::MonotonicTime askedAt);
    void onRunsCleared(CellWorker&, bool rebooted);
    bool awaitsUnreadEnd(const CellWorker&, const RunKey&, const RunAllocation&) const;
    void dropRun(CellWorker&, const RunKey&);
    bool awaitsLateStart(const CellWorker&, const RunKey&, const RunAllocation&) const;
    void noteHeldRuns(CellWorker&);
    void acknowledge(CellWorker&);
    void recordRunOutcome(CellWorker&, const LiveJob&, bool ok);
    void moveStuckRuns(CellWorker&);
    void evacuate(CellWorker&);
    void updateTailModel(CellWorker&);
    void moveStarvedRuns(CellWorker&);
    void paceBackfill(CellWorker&);
    bool shouldPollFrequently(const CellWorker&) const;

    // Crashes of workers.
    struct LostRun {
        RunKey run;
        /// The worker had confirmed the start.
        bool started = false;
        /// How long it had lasted when the worker last reported.
        Common::Duration ran {};
    };
    /// A worker with the runs that it had when they were cleared.
    struct LostWorker {
        Common::WorkerId id;
        std::string address;
        Common::RackId rack;
        int64_t startedAtMilliseconds = 0;
        Common::MonotonicTime lastReportAt;
        Common::MonotonicTime clearedAt;
        std::vector<LostRun> runs;
    };
    struct WorkerCrash {
        Common::WorkerId worker;
        Common::RackId rack;
        /// Wall clock of the start after the crash.
        int64_t startedAtMilliseconds = 0;
        Common::MonotonicTime noticedAt;
    };
    static LostWorker snapshotOf(const CellWorker&, Common::MonotonicTime now);
    static std::vector<LostRun> runsThatMayHaveStarted(const CellWorker&);
    void onRunsLost(const CellWorker&, const std::vector<RunKey>& gone, bool rebooted);
    void suspectRunsOf(const LostWorker&);
    void noticeReplacement(const WorkerEntry&);
    void onWorkerCrash(LostWorker, int64_t startedAgainMilliseconds);
    void judgeCrash(const LostWorker&, int64_t startedAgainMilliseconds);
    bool hasCommonCause(const LostWorker&, int64_t startedAgainMilliseconds) const;
    void judgeRun(const LostWorker&, const LostRun&, bool commonCause);
    void giveUpTask(LiveJob&, const Jobs::TaskName&);
    void giveUpTasksOf(const Common::JobId&);
    bool mayStart(const LiveJob&, const Jobs::TaskName&, const LiveTask&) const;
    bool isQuarantinedFor(const CellWorker&, const LiveJob&, const Jobs::TaskName&) const;
    bool hasNewRuns(const CellWorker&, const LiveJob&, const Jobs::TaskName& except, Common::Duration probation) const;
    size_t quarantinedWorkers() const;
    /// Places the step's suspects by themselves: a quarantine that keeps other tasks out may admit them. Returns
    /// whether nothing else of the step is to be placed.
    bool placeSuspects(const Candidate&);
    /// A worker for a suspect: null if none has room, empty while the task waits for one on which it is isolated.
    std::optional<CellWorker*> chooseForSuspect(
        LiveJob&, const Jobs::TaskName&, LiveTask&, Policy::CrashHistory::Isolation, const Common::RackId&);
    CellWorker* leastDisturbed(const Policy::CrashHistory&, const std::vector<CellWorker*>&);
    static void endQuarantine(CellWorker&, const Jobs::TaskName&);
    void quarantineForStart(CellWorker&, LiveJob&, const Jobs::TaskName&);

    // Reservations of room.
    /// A worker that is expected to have room for a task after the wait.
    struct ExpectedRoom {
        CellWorker* worker = nullptr;
        Common::Duration wait {};
    };
    void reserveRoom(const std::vector<Candidate>& ranked);
    /// A step that waits for a reservation.
    struct ReservationClaim {
        const Candidate* candidate = nullptr;
        bool longRunning = false;
        double share = 0;
        Common::MonotonicTime due;
    };
    std::vector<ReservationClaim> reservationClaims(const std::vector<Candidate>& ranked) const;
    double shareOfWorker(const Common::Resources& needed) const;
    /// Whether the candidate, too, has no suitable worker if the other one has none.
    static bool needsNoLess(const Candidate&, const Candidate& other);
    CellWorker* displaceableFor(const ReservationClaim&);
    void reserve(const ExpectedRoom&, const Candidate&);
    /// The worker on which room is reserved for the task's step; null if there is none.
    CellWorker* reservedWorker(const Jobs::TaskName&) const;
    /// The step must have an available task.
    Jobs::TaskName firstAvailableTask(const Candidate&) const;
    std::optional<Common::Duration> timeUntilRoom(const CellWorker&, const Common::Resources& needed) const;
    std::optional<ExpectedRoom> earliestRoom(const LiveJob&, const Jobs::TaskName&, const CellWorker* displaced) const;
    void endOutdatedReservations();
    const char* reasonToEndReservation(const CellWorker&);
    void endReservation(CellWorker&, const char* reason);
    void endReservationForStart(LiveStep&, const Jobs::TaskName&, CellWorker& started);

    // Room that is made by stops.
    void makeRoom(const std::vector<Candidate>& ranked);
    std::optional<Jobs::TaskName> taskToMakeRoomFor(const Candidate&);
    bool transferToUntriedCell(const Candidate&);
    std::vector<Policy::RoomHolder> roomHolders(const CellWorker&) const;
    /// Stops the runs on one worker whose stops cost least, and reserves the room; false if there is no such worker.
    bool makeRoomFor(const Candidate&, const Jobs::TaskName&);
    /// The runs to stop on a worker, and what that costs.
    struct RoomPlan {
        CellWorker* worker = nullptr;
        std::vector<RunKey> stopped;
        Policy::StopCost cost;
    };
    enum class ReservedWorkers {
        LeaveOut,
        /// Those reserved for steps that aren't long-running count as well.
        TakeOver,
    };
    std::optional<RoomPlan> planRoom(const RoomQuestion&, ReservedWorkers) const;
    /// The same, if need be on a worker that is reserved.
    std::optional<RoomPlan> planRoom(const RoomQuestion&) const;
    /// Whether the worker could take the task if it had room.
    bool isOpenTo(const CellWorker&, const RoomQuestion&) const;
    static RoomQuestion roomQuestion(const LiveJob&, const Jobs::TaskName&);
    /// The step's first waiting task if it is a long-running one that has run, or may have run under an earlier owner
    /// or in another cell, and that may start.
    std::optional<Jobs::TaskName> taskWithoutRun(const Candidate&) const;
    /// The same, also if it is a suspect of a crash that may share a worker.
    std::optional<Jobs::TaskName> taskForFreeRoom(const Candidate&) const;
    bool mayTakeOver(const CellWorker::Reservation&) const;

    // Questions to other cells about room.
    void inquireForRoom(LiveJob&, const Candidate&);
    std::vector<Policy::RoomInquiry::Peer> peersToAsk(const LiveJob&, const Jobs::StepSpec&, const LiveStep&) const;
    void noteRoomOffer(const Jobs::TaskName&, uint64_t round, const CellId&, const Common::Result<Policy::RoomOffer>&);
    void concludeInquiry(LiveJob&, const Jobs::TaskName&);
    void logRoomSearches();
    uint32_t tasksWithRoom(const CellWorker&, const RoomQuestion&) const;
    uint32_t keepFreeRoom(const RoomQuestion&);
    Policy::RoomOffer offerRoomByEnds(const RoomQuestion&);
    /// Whether the cell has lately offered room for the step, so that its tasks stay here for now.
    bool hasOfferedRoom(const LiveJob&, const Candidate&) const;
    /// Whether room on the worker was offered for another task that is on its way or waits here.
    bool isOfferedToOther(const CellWorker&, const Jobs::TaskName&) const;

    // Free room that is offered to tasks of other cells.
    /// A step whose long-running tasks have lost their run and find no room.
    struct WaitingStep {
        const LiveJob* job = nullptr;
        const LiveStep* step = nullptr;
        Jobs::TaskName task;
    };
    std::vector<WaitingStep> stepsWithoutRun() const;
    /// Workers with room that is kept for tasks of other cells: room that is free, and room that runs are expected to
    /// leave.
    struct KeptWorkers {
        size_t promised = 0;
        size_t mostPromised = 0;
        size_t expected = 0;
        size_t mostExpected = 0;
    };
    KeptWorkers keptWorkers() const;
    void offerFreeRoom();
    bool expectRoom(const WantedRoom&);
    void promiseExpectedRoom();
    size_t promiseRoom(const WantedRoom&, uint32_t waiting, size_t mostWorkers);
    void promise(const WantedRoom&, uint32_t waiting, const std::vector<std::pair<CellWorker*, uint32_t>>& rooms);
    void notePromiseAnswer(const CellId&, const Jobs::TaskName& step, const Common::Result<TakenRoom>&);
    uint32_t tasksWithoutPromise(const WantedRoom&) const;

    // Starts.
    void schedulePlacement();
    void place();
    void updateLightlyLoaded();
    /// Decides whether tasks that may be on workers of earlier owners are held until these have reported.
    void updateHold();
    size_t waitingElsewhere() const;
    Common::AttemptNumber nextAttempt(const LiveTask&) const;
    /// Whether the task waits and can't be on a worker that hasn't reported, so that it may be started or given away.
    bool isAvailable(const LiveTask&) const;
    bool hasAvailableTask(const LiveStep&) const;
    std::vector<Candidate> candidates();
    /// A kind of task for which one look at all workers has found no room.
    struct BlockedKind {
        const Common::ServiceName* service = nullptr;
        const Jobs::StepSpec* spec = nullptr;
        Policy::BackfillAdmission admission;
    };
    bool isBlockedLike(const BlockedKind&, const LiveJob&, const Candidate&) const;
    void placeStep(const Candidate&, std::vector<BlockedKind>& blocked);
    void handleBlockedStep(LiveJob&, const Candidate&);
    void logBlockedStep(const LiveJob&, const Candidate&) const;
    void transferIfBlockedForLong(LiveJob&, const Candidate&);
    void transferTasks(LiveJob&, const Candidate&);
    uint32_t giveTasks(LiveJob&, const Candidate&, const CellId&, size_t most);
    void commitTransfer(LiveJob&, const TaskTransfer&);
    /// Returns the part's ended tasks shortly, together with others that end until then.
    void scheduleReturn(const Common::JobId&);
    void returnEndedTasks(LiveJob&);
    void tellHolderOfFailure(LiveJob&, const Jobs::TaskName&);
    void returnAllEndedTasks();
    void receiveTransfer(const TaskTransfer&);
    void stopRunsOfDoneTasks(LiveJob&);
    void continueWait(const TaskTransfer&);
    void onTasksReturned(LiveJob&);
    bool isWorthWaitingForRack(const Jobs::StepSpec&, const LiveStep&) const;
    void cancelPart(const Jobs::JobRecord&, const Common::Callback<Common::Done>&);
    std::optional<std::pair<CellId, size_t>> findCellWithCapacity(
        const LiveJob&, const Jobs::StepSpec&, const LiveStep&, CellLoad::RoomKind = CellLoad::RoomKind::Free);
    /// Whether a task of the step may start here once runs that aren't long-running have ended.
    bool canMakeRoom(const LiveJob&, const Candidate&) const;
    void notifyParts(const LiveJob&);
    void onPartCancelled(const Common::JobId&, const CellId&);
    bool mayRun(const Common::JobId&, StopScope) const;
    void answerStopWaiters();
    void refuseStopWaiters();
    void placeGang(const Candidate&);
    void startGang(const Candidate&, const Common::RackId&);
    std::vector<Policy::GangOffer> gangOffers(const LiveJob&, const Candidate&);
    enum class GangMembers {
        All,
        /// Members that no report has listed as running. Members that run end by themselves when another member ends.
        NotReported,
    };
    void stopOtherGangMembers(LiveJob&, const RunKey& missing, GangMembers);
    /// What keeps all tasks of the step off the worker, whatever room it has.
    std::optional<Policy::StartObstacle> obstacleAtWorker(
        const CellWorker&, const LiveJob&, const Jobs::StepSpec&) const;
    bool mayRunOn(const CellWorker&, const LiveJob&, const Jobs::StepSpec&) const;
    std::optional<Policy::StartObstacle> obstacleAtWorker(
        const CellWorker&, const Common::ServiceName&, const Jobs::StepSpec&) const;
    Policy::BackfillAdmission admissionOf(const LiveJob&, uint32_t occurrence, uint32_t step) const;
    Policy::TaskRequirements requirementsOf(const LiveJob&, const Jobs::TaskName&) const;
    Policy::WorkerOffer offerOf(const CellWorker&, const Jobs::StepSpec&, const Jobs::TaskName&) const;
    enum class QuarantineRule {
        KeepOut,
        /// Workers in a quarantine that isn't strict count as well.
        ShareLenient,
    };
    /// Workers that may run the task and have room for it.
    std::vector<CellWorker*> admissibleWorkers(
        const LiveJob&, const Jobs::TaskName&, const Common::RackId& rack, QuarantineRule);
    /// As `choose`; empty while a suspect waits for a worker, see chooseForSuspect, or the task for an earlier order
    /// that may be carried out late, see CallsUnderWay.
    std::optional<CellWorker*> chooseForStart(LiveJob&, const Jobs::TaskName&, const Common::RackId& rack = {});
    /// Whether the task may be started on the worker although it may also carry out an earlier order for it.
    bool mayStartBesideLateStart(const CellWorker&, const LiveJob&, const Jobs::TaskName&, const LiveTask&) const;
    /// Best worker for the task, on `rack` only unless it is empty. Null if no worker has room.
    CellWorker* choose(const LiveJob&, const Jobs::TaskName&, const LiveTask&, const Common::RackId& rack = {});
    void order(LiveJob&, const Jobs::TaskName&, CellWorker&, Common::AttemptNumber);
    void onOrderAnswer(const Common::WorkerId&, const RunKey&, OrderVerdict);
    bool mayGrant() const { return authorityLeft() > Common::Duration::zero(); }
    /// How long this owner may still start runs and grant leases, and how long these may last; not above zero if its
    /// authority has ended.
    Common::Duration authorityLeft() const;
    bool hasUncontactedWorkers() const;

    // Jobs.
    LiveJob* findJob(const Common::JobId&);
    LiveJob& addJob(Jobs::JobRecord, bool recovered);
    void finishJob(LiveJob&, Jobs::JobPhase, Common::Callback<Common::Done>, const std::string& reason = {});
    void cancelLocalJob(LiveJob&, Common::Callback<Common::Done>);
    void stopRun(CellWorker&, const RunKey&);
    void stopRunsOf(const Common::JobId&);
    void markChanged(LiveJob&);
    void writeWorkers();
    nlohmann::json lateStarts(const CellWorker&) const;
    bool isRecorded(const CellWorker&) const;
    /// Thousandths of a core that waiting long-running tasks and those of submissions in progress need.
    int64_t reservedMilliCores() const;
    bool fits(const Jobs::JobSpec&) const;
    void addBackfillCapacity(CellLoad&) const;
    static void addWaiting(const LiveJob&, CellLoad&);
    void sweep();
    void leaveDisownedWorkers();
    void stopAfterLoss();

    Scheduler::Runtime& m_runtime;
    CellId m_id;
    FencingToken m_token;
    const CellSettings& m_settings;
    std::map<Common::JobId, std::unique_ptr<LiveJob>> m_jobs;
    /// Submissions in progress, each with all callers that submitted the same id.
    std::map<Common::JobId, std::vector<Common::Callback<AcceptOutcome>>> m_submissions;
    /// Records of these submissions; kept when the outcome is unknown, as the write may still take effect.
    std::map<Common::JobId, Jobs::JobRecord> m_submitted;
    Policy::TailLatencyModel m_tails;
    Policy::WorkerHealth m_health;
    CellCommitter m_committer;
    CellWorkers m_workers;
    /// Workers that may hold runs of an earlier owner.
    std::set<Common::WorkerId> m_inheritedWorkers;
    /// Workers that belong to other cells, until no runs of this cell are on them.
    std::set<Common::WorkerId> m_disownedWorkers;
    /// Record of the cell's workers as last given to the committer.
    std::string m_writtenWorkers;
    /// Workers in the durable record of the cell, each with the start of the life that the record names. Only these
    /// lives get runs, so that a successor knows where runs may be.
    std::map<Common::WorkerId, int64_t> m_recordedWorkers;
    std::function<void()> m_lost;
    std::function<void(const Common::WorkerId&)> m_onOutdatedEntry;
    PeerCells m_peerCells;
    struct RecentTransfer {
        Common::MonotonicTime at;
        size_t tasks = 0;
    };
    /// Tasks transferred to a peer cell that its heartbeats may not account for yet.
    std::map<CellId, RecentTransfer> m_recentTransfers;
    struct FailedSearch {
        Common::MonotonicTime at;
        int64_t milliCores = 0;
    };
    /// Kind of task that peer cells are searched for; the image counts for backfill only.
    struct PeerSearch {
        Common::ServiceName service;
        std::string label;
        bool backfill = false;
        std::string image;
        bool scheduled = false;

        auto operator<=>(const PeerSearch&) const = default;
    };
    /// Recent searches for a peer cell with room that found none.
    std::map<PeerSearch, FailedSearch> m_failedSearches;
    /// Rounds of questions about room that are under way, each with the number of answers that it waits for.
    std::map<uint64_t, size_t> m_roomRounds;
    uint64_t m_lastRoomRound = 0;
    /// Since the last log line.
    RoomSearchCounts m_roomSearches;
    Common::MonotonicTime m_roomSearchesLoggedAt;
    /// When room was last offered to another cell, by step.
    std::map<Jobs::TaskName, Common::MonotonicTime> m_roomOffered;
    struct OfferedWorker {
        Jobs::TaskName task;
        Common::MonotonicTime at;
    };
    /// The last promise of free room to a step of another cell.
    struct Promise {
        /// When it was made and, once it is answered, when that was.
        Common::MonotonicTime at;
        bool answered = false;
        /// How many tasks of the step wait there by the answer.
        uint32_t tasksLeft = 0;
    };
    std::map<std::pair<CellId, Jobs::TaskName>, Promise> m_promises;
    Common::MonotonicTime m_freeRoomOfferedAt;
    /// Workers on which runs are expected to leave room for a step of another cell, which hasn't been told yet.
    std::map<Common::WorkerId, WantedRoom> m_expectedRoom;
    /// Workers on which room by stops was last offered to another cell.
    std::map<Common::WorkerId, OfferedWorker> m_offeredWorkers;
    /// Peer cells that haven't acknowledged the end of their parts, by job.
    std::map<Common::JobId, std::set<CellId>> m_partCancellations;
    struct StopWaiter {
        Common::JobId job;
        StopScope scope = StopScope::ThisCell;
        Common::Callback<Common::Done> callback;
    };
    std::vector<StopWaiter> m_stopWaiters;
    /// Services whose workers in all cells were lightly loaded at the last sweep, see Policy::lightLoadFreeShare.
    std::set<Common::ServiceName> m_lightlyLoaded;
    /// When tasks of a job first found no room.
    std::map<Common::JobId, Common::MonotonicTime> m_blockedSince;
    /// Workers whose runs were cleared while it wasn't known whether they had crashed.
    std::map<Common::WorkerId, LostWorker> m_lostWorkers;
    std::vector<WorkerCrash> m_recentCrashes;
    Common::MonotonicTime m_pressureEstimatesLoggedAt;
    /// When workers to reserve were last looked for.
    Common::MonotonicTime m_reservationsSearchedAt;
    /// When runs to stop were last looked for.
    Common::MonotonicTime m_roomMakingSearchedAt;
    /// Whether a worker that may hold runs of an earlier owner hasn't reported and isn't provably idle, as of the last
    /// placement; empty before the first.
    std::optional<bool> m_holdsTasks;
    /// A worker that may hold runs of an earlier owner counted as idle without a report.
    bool m_gaveUpInherited = false;
    bool m_placingSoon = false;
    bool m_releasing = false;
    bool m_closed = false;
    std::optional<Scheduler::TimerId> m_dueTimer;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
