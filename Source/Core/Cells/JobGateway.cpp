// Submissions, phase queries and cancellations, and the peer calls that carry them.
#include "Cells/JobGateway.h"

#include "Cells/RoomQuestion.h"
#include "Cells/RunReportCodec.h"
#include "Cells/StoreKeys.h"
#include "Common/Hash.h"
#include "Common/Log.h"
#include "Policy/CellChoice.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace Cells {

namespace {

    using Json = nlohmann::json;

    constexpr const char* submitMethod = "job.submit";
    constexpr const char* phaseMethod = "job.phase";
    constexpr const char* cancelMethod = "job.cancel";
    constexpr const char* partMethod = "job.part";
    constexpr const char* ownerMethod = "cell.owner";
    constexpr const char* reliefMethod = "cell.relief";
    constexpr const char* choiceMethod = "cell.choice";
    constexpr const char* pendingMethod = "job.pending";
    constexpr const char* pollMethod = "worker.poll";
    constexpr const char* roomMethod = "cell.room";
    constexpr const char* takeRoomMethod = "cell.take-room";
    constexpr const char* cellMember = "cell";
    /// Time for the owner of a cell to say whether it can make room; it makes no call of its own for that.
    constexpr Common::Duration roomTimeout = std::chrono::milliseconds(300);
    /// Time for a host that knows the loads of all cells to choose one; it makes no call of its own for that.
    constexpr Common::Duration choiceTimeout = std::chrono::milliseconds(300);
    /// Hosts that are asked in turn.
    constexpr size_t maximumAskedHosts = 2;
    /// Time for one owner to accept a job; short enough that another owner can be tried before the caller's deadline.
    constexpr Common::Duration submitTimeout = std::chrono::milliseconds(1300);
    /// The part of it after which the owner is asked again: longer than CommitterSettings::acceptTimeout, within which
    /// an owner answers, so that only silence is taken for it.
    constexpr Common::Duration firstSubmitTimeout = std::chrono::milliseconds(1000);
    /// Time for the job's tasks to stop, within the timeout of the call that asks for the cancellation.
    constexpr Common::Duration stopTimeout = std::chrono::milliseconds(2500);
    constexpr Common::Duration callTimeout = std::chrono::milliseconds(1000);
    /// During this period after its start a host holds submissions back until all cells have owners and capacity, but
    /// only while more than the margin is left before the caller's deadline.
    constexpr Common::Duration startupPeriod = std::chrono::seconds(12);
    constexpr Common::Duration startupMargin = std::chrono::milliseconds(1500);
    constexpr Common::Duration startupPollInterval = std::chrono::milliseconds(150);
    constexpr size_t maximumTriedCells = 3;
    /// How long a submission of unknown outcome may still be accepted: until a cell's owner has read back or given up
    /// its write. An owner that has lost the store for longer has lost the cell as well.
    constexpr Common::Duration unclearSubmissionRetention = std::chrono::seconds(30);
    constexpr Common::Duration retryAfterNoOwner = std::chrono::seconds(1);
    /// Cached job locations; a hundredth of a day's jobs of the largest fleet.
    constexpr size_t maximumCachedLocations = 4000;

    Common::Failure failure(Common::ErrorCode code, std::string detail)
    {
        return Common::Failure { code, std::move(detail), std::nullopt };
    }

    /// Whether the call may have been served although it failed here.
    bool mayHaveTakenEffect(Common::ErrorCode code)
    {
        using Common::ErrorCode;
        return code == ErrorCode::Timeout || code == ErrorCode::ConnectionLost || code == ErrorCode::TruncatedAnswer
            || code == ErrorCode::OutcomeUnknown || code == ErrorCode::ProtocolError || code == ErrorCode::Internal;
    }

    Policy::JobDemand demandOf(const Jobs::JobSpec& spec)
    {
        Policy::JobDemand demand;
        for (const Jobs::StepSpec& step : spec.steps) {
            int64_t& demandOfKind = step.backfill ? demand.backfill : demand.regular;
            demandOfKind = std::max(demandOfKind, step.resources.milliCores * step.taskCount);
            demand.serves = demand.serves || (step.longRunning && step.latencyTarget > Common::Duration::zero());
        }
        return demand;
    }

    /// The image of the first step that has one.
    std::string imageOf(const Jobs::JobSpec& spec)
    {
        for (const Jobs::StepSpec& step : spec.steps) {
            if (!step.image.empty())
                return step.image;
        }
        return {};
    }

    int64_t valueOr(const std::map<std::string, int64_t>& values, const std::string& key, int64_t fallback)
    {
        const auto found = values.find(key);
        return found == values.end() ? fallback : found->second;
    }

    /// Upper bound of the capacity of the workers on which all steps of the job may run, in thousandths of a core.
    int64_t suitableMilliCores(const CellLoad& load, const Jobs::JobRecord& job)
    {
        int64_t least = load.capacityMilliCores;
        for (const Jobs::StepSpec& step : job.spec.steps)
            least = std::min(least, load.capacityFor(job.policy.service, step));
        return least;
    }

    /// Share of the job's work, 0 to 1, whose preferred rack isn't in the cell.
    double farShare(const CellLoad& load, const Jobs::JobSpec& spec)
    {
        double total = 0;
        double remote = 0;
        for (const Jobs::StepSpec& step : spec.steps) {
            const double work = static_cast<double>(step.taskCount) * static_cast<double>(step.estimate.count())
                * static_cast<double>(step.resources.milliCores);
            total += work;
            if (!step.preferredRack.empty() && !load.hasRack(step.preferredRack))
                remote += work;
        }
        return total > 0 ? remote / total : 0;
    }

    int64_t shareOf(int64_t total, double share) { return static_cast<int64_t>(static_cast<double>(total) * share); }

    /// A member of another host's answer; empty if it isn't a text.
    std::string textOf(const Json& answer, const char* member)
    {
        const auto found = answer.is_object() ? answer.find(member) : answer.end();
        return found != answer.end() && found->is_string() ? found->get<std::string>() : std::string {};
    }

    bool isTrue(const Json& answer, const char* member)
    {
        const auto found = answer.is_object() ? answer.find(member) : answer.end();
        return found != answer.end() && *found == true;
    }

    std::optional<uint32_t> countOf(const Json& answer, const char* member)
    {
        const auto found = answer.is_object() ? answer.find(member) : answer.end();
        if (found == answer.end() || !found->is_number_unsigned() || found->get<uint64_t>() > UINT32_MAX)
            return std::nullopt;
        return found->get<uint32_t>();
    }

    Common::Result<AcceptOutcome> acceptFrom(const Common::Result<Json>& answer)
    {
        if (!answer)
            return answer.reason();
        if (const std::string cell = textOf(*answer, "elsewhere"); !cell.empty())
            return AcceptOutcome(AlreadyAccepted { CellId(cell) });
        return AcceptOutcome(Accepted {});
    }

} // namespace

/// A submission in progress and the cells tried so far.
struct JobGateway::Submission {
    Jobs::JobRecord record;
    Policy::JobDemand demand;
    Common::MonotonicTime deadline;
    Common::Callback<Common::Done> callback;
    std::set<CellId> tried;
    /// Address of the owner of the cell that another host chose; this host may not know it yet.
    std::string ownerAddress;
    /// An owner may have accepted the job although its call failed.
    bool outcomeUnknown = false;
};

struct JobGateway::Lookup {
    Common::JobId job;
    Common::Duration timeout {};
    Common::Callback<Jobs::JobPhase> callback;
};

JobGateway::JobGateway(Scheduler::Runtime& runtime, RecordStore& store, Scheduler::PeerPort& peers,
    CellOwnership& cellOwnership, const HostSettings& settings)
    : m_runtime(runtime)
    , m_store(store)
    , m_peers(peers)
    , m_cellOwnership(cellOwnership)
    , m_settings(settings)
    , m_pendingCancellations(
          runtime, [this](const Common::JobId& job, Common::Duration timeout, Common::Callback<Common::Done> callback) {
              attemptCancellation(job, timeout, std::move(callback));
          })
{
}

JobGateway::~JobGateway() = default;

void JobGateway::start()
{
    m_startedAt = m_runtime.now();
    m_cellOwnership.setMessenger([this](const std::string& address, const CellId& cell, const PartMessage& message,
                                     Common::Duration timeout, const Common::Callback<Common::Done>& onHandled) {
        Json params { { "cell", cell.value() } };
        if (const auto* const transfer = std::get_if<TaskTransfer>(&message))
            params["gift"] = transfer->encode();
        else
            params["cancelled"] = std::get<Jobs::JobRecord>(message).encode();
        m_peers.call(address, partMethod, params, timeout, [onHandled](const Common::Result<Json>& answer) {
            if (answer)
                onHandled(Common::Done {});
            else
                onHandled(answer.reason());
        });
    });
    m_cellOwnership.setOwnerProbe([this](const std::string& address, const CellId& cell, Common::Duration timeout,
                                      Common::Callback<CellOwnership::ProbeAnswer> callback) {
        m_peers.call(address, ownerMethod, Json { { "cell", cell.value() } }, timeout,
            [callback = std::move(callback)](const Common::Result<Json>& answer) {
                if (!answer)
                    callback(answer.reason());
                else
                    callback(CellOwnership::ProbeAnswer {
                        Common::DaemonId(textOf(*answer, "process")), isTrue(*answer, "holds") });
            });
    });
    m_cellOwnership.setReliefRequest([this](const std::string& address, const CellId& cell) {
        m_peers.call(
            address, reliefMethod, Json { { "cell", cell.value() } }, callTimeout, [](const Common::Result<Json>&) {});
    });
    m_cellOwnership.setPollMessenger(
        [this](const std::string& address, const PollForHost& poll, Common::Callback<RunReport> callback) {
            m_peers.call(address, pollMethod, pollForHostToJson(poll), callTimeout,
                [callback = std::move(callback)](const Common::Result<Json>& answer) {
                    callback(answer ? runReportFromJson(*answer) : Common::Result<RunReport>(answer.reason()));
                });
        });
    m_cellOwnership.setRoomMessenger([this](const std::string& address, const CellId& cell,
                                         const RoomQuestion& question, Common::Callback<Policy::RoomOffer> callback) {
        Json params = roomQuestionToJson(question);
        params[cellMember] = cell.value();
        m_peers.call(address, roomMethod, params, roomTimeout,
            [callback = std::move(callback)](const Common::Result<Json>& answer) {
                callback(answer ? roomOfferFromJson(*answer) : Common::Result<Policy::RoomOffer>(answer.reason()));
            });
    });
    m_cellOwnership.setPromiseMessenger([this](const std::string& address, const CellId& cell, const PromisedRoom& room,
                                            Common::Callback<TakenRoom> callback) {
        Json params = promisedRoomToJson(room);
        params[cellMember] = cell.value();
        m_peers.call(address, takeRoomMethod, params, roomTimeout,
            [callback = std::move(callback)](const Common::Result<Json>& answer) {
                callback(answer ? takenRoomFromJson(*answer) : Common::Result<TakenRoom>(answer.reason()));
            });
    });
    m_peers.serve(takeRoomMethod,
        [this](const Json& params, const Scheduler::PeerPort::Reply& reply) { serveTakeRoom(params, reply); });
    m_peers.serve(
        roomMethod, [this](const Json& params, const Scheduler::PeerPort::Reply& reply) { serveRoom(params, reply); });
    m_peers.serve(pollMethod, [this](const Json& params, const Scheduler::PeerPort::Reply& reply) {
        const auto poll = pollForHostFromJson(params);
        if (!poll) {
            reply(poll.reason());
            return;
        }
        m_cellOwnership.pollForHost(*poll, [reply](const Common::Result<RunReport>& report) {
            reply(report ? Common::Result<Json>(runReportToJson(*report)) : Common::Result<Json>(report.reason()));
        });
    });
    m_peers.serve(reliefMethod, [this](const Json& params, const Scheduler::PeerPort::Reply& reply) {
        m_cellOwnership.releaseIfLate(CellId(params.value("cell", std::string {})));
        reply(Json::object());
    });
    m_peers.serve(ownerMethod, [this](const Json& params, const Scheduler::PeerPort::Reply& reply) {
        const bool holds = m_cellOwnership.holds(CellId(params.value("cell", std::string {})));
        reply(Json { { "process", m_settings.id.value() }, { "holds", holds } });
    });
    m_peers.serve(
        partMethod, [this](const Json& params, const Scheduler::PeerPort::Reply& reply) { servePart(params, reply); });
    m_peers.serve(submitMethod,
        [this](const Json& params, const Scheduler::PeerPort::Reply& reply) { serveSubmit(params, reply); });
    m_peers.serve(choiceMethod,
        [this](const Json& params, const Scheduler::PeerPort::Reply& reply) { serveChoice(params, reply); });
    m_peers.serve(pendingMethod, [this](const Json& params, const Scheduler::PeerPort::Reply& reply) {
        if (m_cellOwnership.receivesLoads())
            reply(Json { { "count", knownPending(params.value("route", std::string {})) } });
        else
            reply(failure(Common::ErrorCode::NotOwner, "this host doesn't know the loads of cells"));
    });
    m_peers.serve(phaseMethod,
        [this](const Json& params, const Scheduler::PeerPort::Reply& reply) { servePhase(params, reply); });
    m_peers.serve(cancelMethod,
        [this](const Json& params, const Scheduler::PeerPort::Reply& reply) { serveCancel(params, reply); });
}

// Calls of other hosts.

void JobGateway::serveSubmit(const Json& params, const Scheduler::PeerPort::Reply& reply)
{
    CellEngine* const engine = m_cellOwnership.engine(CellId(params.value("cell", std::string {})));
    if (!engine) {
        reply(failure(Common::ErrorCode::NotOwner, "this host doesn't own the cell"));
        return;
    }
    auto record = Jobs::submissionFromJson(params.value("job", Json::object()));
    if (!record) {
        reply(record.reason());
        return;
    }
    const auto fit = params.value("fit", false) ? CellEngine::Fit::Required : CellEngine::Fit::Any;
    engine->submit(std::move(*record), fit, [reply](const Common::Result<AcceptOutcome>& outcome) {
        if (!outcome) {
            reply(outcome.reason());
            return;
        }
        Json answer = Json::object();
        if (const auto* const alreadyAccepted = std::get_if<AlreadyAccepted>(&*outcome))
            answer["elsewhere"] = alreadyAccepted->cell.value();
        reply(answer);
    });
}

/// Chooses a cell for a submission of a host that doesn't know the loads of cells.
void JobGateway::serveChoice(const Json& params, const Scheduler::PeerPort::Reply& reply)
{
    if (!m_cellOwnership.receivesLoads()) {
        reply(failure(Common::ErrorCode::NotOwner, "this host doesn't know the loads of cells"));
        return;
    }
    auto record = Jobs::submissionFromJson(params.value("job", Json::object()));
    if (!record) {
        reply(record.reason());
        return;
    }
    if (areCellsStarting() && !params.value("now", false)) {
        reply(Json { { "starting", true } });
        return;
    }
    Submission submission;
    submission.demand = demandOf(record->spec);
    submission.record = std::move(*record);
    for (const std::string& cell : params.value("tried", std::vector<std::string> {}))
        submission.tried.insert(CellId(cell));
    const std::optional<CellId> cell = chooseCell(submission, Common::DomainId(params.value("domain", std::string {})));
    if (!cell) {
        reply(Json::object());
        return;
    }
    const CellOwnership::Owner* const owner = m_cellOwnership.liveOwner(*cell);
    reply(Json { { "cell", cell->value() },
        { "owner", owner && !m_cellOwnership.engine(*cell) ? owner->address : m_settings.address } });
}

void JobGateway::servePhase(const Json& params, const Scheduler::PeerPort::Reply& reply)
{
    const CellEngine* const engine = m_cellOwnership.engine(CellId(params.value("cell", std::string {})));
    if (!engine) {
        reply(failure(Common::ErrorCode::NotOwner, "this host doesn't own the cell"));
        return;
    }
    const auto phase = engine->phase(Common::JobId(params.value("job", std::string {})));
    if (!phase)
        reply(failure(Common::ErrorCode::UnknownJob, "the cell doesn't have the job"));
    else
        reply(Json { { "phase", Jobs::phaseName(*phase) } });
}

void JobGateway::serveCancel(const Json& params, const Scheduler::PeerPort::Reply& reply)
{
    CellEngine* const engine = m_cellOwnership.engine(CellId(params.value("cell", std::string {})));
    if (!engine) {
        reply(failure(Common::ErrorCode::NotOwner, "this host doesn't own the cell"));
        return;
    }
    cancelOwned(*engine, engine->id(), Common::JobId(params.value("job", std::string {})), stopTimeout,
        [reply](const Common::Result<Common::Done>& outcome) {
            if (outcome)
                reply(Json::object());
            else
                reply(outcome.reason());
        });
}

/// Answers whether a cell of this host has or makes room for another cell's task.
void JobGateway::serveRoom(const Json& params, const Scheduler::PeerPort::Reply& reply)
{
    CellEngine* const engine = m_cellOwnership.engine(CellId(params.value(cellMember, std::string {})));
    if (!engine) {
        reply(failure(Common::ErrorCode::NotOwner, "this host doesn't own the cell"));
        return;
    }
    if (const auto question = roomQuestionFromJson(params))
        reply(roomOfferToJson(engine->offerRoom(*question)));
    else
        reply(question.reason());
}

/// Transfers tasks of a cell of this host to room that another cell keeps for them.
void JobGateway::serveTakeRoom(const Json& params, const Scheduler::PeerPort::Reply& reply)
{
    CellEngine* const engine = m_cellOwnership.engine(CellId(params.value(cellMember, std::string {})));
    if (!engine) {
        reply(failure(Common::ErrorCode::NotOwner, "this host doesn't own the cell"));
        return;
    }
    if (const auto room = promisedRoomFromJson(params))
        reply(takenRoomToJson(engine->takeRoom(*room)));
    else
        reply(room.reason());
}

/// Handles a transfer of tasks to a cell of this host, or the cancellation of transferred tasks.
void JobGateway::servePart(const Json& params, const Scheduler::PeerPort::Reply& reply)
{
    CellEngine* const engine = m_cellOwnership.engine(CellId(params.value("cell", std::string {})));
    if (!engine) {
        reply(failure(Common::ErrorCode::NotOwner, "this host doesn't own the cell"));
        return;
    }
    const auto onHandled = [reply](const Common::Result<Common::Done>& done) {
        if (done)
            reply(Json::object());
        else
            reply(done.reason());
    };
    if (params.contains("gift")) {
        if (const auto transfer = TaskTransfer::decode(params.value("gift", std::string {})))
            engine->handlePartMessage(*transfer, onHandled);
        else
            reply(transfer.reason());
        return;
    }
    if (const auto part = Jobs::JobRecord::decode(params.value("cancelled", std::string {})))
        engine->handlePartMessage(*part, onHandled);
    else
        reply(part.reason());
}

// Submissions.

void JobGateway::submit(Jobs::JobRecord record, Common::Duration timeout, Common::Callback<Common::Done> callback)
{
    auto submission = std::make_shared<Submission>();
    submission->demand = demandOf(record.spec);
    submission->record = std::move(record);
    submission->deadline = m_runtime.now() + timeout;
    submission->callback = std::move(callback);
    tryCell(submission);
}

std::optional<CellId> JobGateway::chooseCell(const Submission& submission, const Common::DomainId& callersDomain) const
{
    const Common::RegionId callersRegion = m_cellOwnership.regionOf(callersDomain);
    std::vector<CellId> cells;
    std::vector<Policy::CellOffer> offers;
    const auto offer = [&](const CellId& cell, const CellLoad& load, Common::MonotonicTime loadReceivedAt) {
        SentDemand& sent = m_sentDemand[cell];
        if (sent.loadReceivedAt != loadReceivedAt)
            sent = SentDemand { loadReceivedAt, 0, 0, {} };
        Policy::CellOffer row;
        row.capacity = suitableMilliCores(load, submission.record);
        const double share
            = static_cast<double>(row.capacity) / static_cast<double>(std::max<int64_t>(load.capacityMilliCores, 1));
        row.free = shareOf(load.freeMilliCores, share) - sent.regular;
        row.backfill = shareOf(load.backfillMilliCores, share) - sent.backfill;
        row.farShare = farShare(load, submission.record.spec);
        if (submission.demand.serves) {
            const std::string image = imageOf(submission.record.spec);
            row.sameImage = valueOr(load.serving, image, 0) + valueOr(sent.serving, image, 0);
            row.tieBreak = static_cast<double>(Common::rendezvousWeight(image, cell.value()))
                / static_cast<double>(std::numeric_limits<uint64_t>::max());
        } else if (submission.demand.backfill > 0) {
            row.imageBackfillCapacity = valueOr(load.backfillCapacity, imageOf(submission.record.spec), -1);
            if (row.imageBackfillCapacity >= 0)
                row.imageBackfillCapacity = std::max<int64_t>(row.imageBackfillCapacity - sent.backfill, 0);
        }
        row.waitingRegular = load.waitingRegular;
        row.waitingBackfill = load.waitingBackfill;
        const Common::DomainId domain = m_cellOwnership.layout().domainOf(cell);
        row.sameDomain = domain == callersDomain;
        row.sameRegion = row.sameDomain || m_cellOwnership.regionOf(domain) == callersRegion;
        cells.push_back(cell);
        offers.push_back(row);
    };
    for (const CellId& cell : m_cellOwnership.layout().cells()) {
        if (submission.tried.contains(cell))
            continue;
        if (const CellEngine* const engine = m_cellOwnership.engine(cell))
            offer(cell, engine->load(), m_runtime.now());
        else if (const CellOwnership::Owner* const owner = m_cellOwnership.liveOwner(cell))
            offer(cell, owner->load, owner->loadReceivedAt);
    }
    const auto chosen = Policy::chooseCell(submission.demand, offers);
    if (!chosen)
        return std::nullopt;
    m_sentDemand[cells[*chosen]].regular += submission.demand.regular;
    m_sentDemand[cells[*chosen]].backfill += submission.demand.backfill;
    if (submission.demand.serves)
        m_sentDemand[cells[*chosen]].serving[imageOf(submission.record.spec)] += submission.demand.regular;
    return cells[*chosen];
}

bool JobGateway::areCellsStarting() const
{
    if (m_runtime.now() - m_startedAt > startupPeriod)
        return false;
    const std::vector<CellId> cells = m_cellOwnership.layout().cells();
    return cells.empty() || std::any_of(cells.begin(), cells.end(), [this](const CellId& cell) {
        if (const CellEngine* const engine = m_cellOwnership.engine(cell))
            return engine->load().capacityMilliCores == 0;
        const CellOwnership::Owner* const owner = m_cellOwnership.liveOwner(cell);
        return !owner || owner->load.capacityMilliCores == 0;
    });
}

void JobGateway::tryCell(const std::shared_ptr<Submission>& submission)
{
    const bool timeLeft = m_runtime.now() < submission->deadline && submission->tried.size() < maximumTriedCells;
    submission->ownerAddress.clear();
    if (!timeLeft)
        submitTo(std::nullopt, submission);
    else if (!m_cellOwnership.receivesLoads())
        askForCell(submission, m_cellOwnership.loadHolders(), 0);
    // The first jobs arrive together and would all go to the first cell that has an owner.
    else if (areCellsStarting() && mayWaitForCells(*submission))
        m_runtime.schedule(startupPollInterval, m_lifetime.guard([this, submission] { tryCell(submission); }));
    else if (const auto cell = chooseCell(*submission, m_settings.domain))
        submitTo(cell, submission);
    // Hosts that differ for a moment on which of them may own cells send this one no loads.
    else
        submitTo(anyCell(*submission, Candidates::WithoutLoad), submission);
}

bool JobGateway::mayWaitForCells(const Submission& submission) const
{
    return m_runtime.now() + startupMargin < submission.deadline;
}

/// Lets a host that knows the loads of all cells choose. Nothing has been submitted yet when that fails.
void JobGateway::askForCell(const std::shared_ptr<Submission>& submission, std::vector<std::string> hosts, size_t asked)
{
    if (asked >= std::min(hosts.size(), maximumAskedHosts)) {
        submitTo(anyCell(*submission, Candidates::All), submission);
        return;
    }
    std::vector<std::string> tried;
    for (const CellId& cell : submission->tried)
        tried.push_back(cell.value());
    const Json params { { "job", Jobs::submissionToJson(submission->record) }, { "tried", std::move(tried) },
        { "domain", m_settings.domain.value() }, { "now", !mayWaitForCells(*submission) } };
    const std::string address = hosts[asked];
    m_peers.call(address, choiceMethod, params, std::min(choiceTimeout, submission->deadline - m_runtime.now()),
        m_lifetime.guard([this, submission, hosts = std::move(hosts), asked](
                             const Common::Result<Json>& answer) mutable {
            if (!answer) {
                askForCell(submission, std::move(hosts), asked + 1);
                return;
            }
            if (isTrue(*answer, "starting")) {
                m_runtime.schedule(startupPollInterval, m_lifetime.guard([this, submission] { tryCell(submission); }));
                return;
            }
            const std::string cell = textOf(*answer, "cell");
            submission->ownerAddress = textOf(*answer, "owner");
            submitTo(cell.empty() ? std::nullopt : std::optional(CellId(cell)), submission);
        }));
}

/// A random cell with a live owner, of this host's domain if there is one; nothing when there is none.
std::optional<CellId> JobGateway::anyCell(const Submission& submission, Candidates use) const
{
    std::vector<CellId> near;
    std::vector<CellId> others;
    for (const CellId& cell : m_cellOwnership.layout().cells()) {
        const CellOwnership::Owner* const owner = m_cellOwnership.liveOwner(cell);
        const bool isOwned = m_cellOwnership.engine(cell) || owner;
        const bool isLoadKnown = m_cellOwnership.engine(cell) || (owner && owner->loadVersion > 0);
        if (isOwned && !submission.tried.contains(cell) && (use == Candidates::All || !isLoadKnown))
            (m_cellOwnership.layout().domainOf(cell) == m_settings.domain ? near : others).push_back(cell);
    }
    const std::vector<CellId>& cells = near.empty() ? others : near;
    if (cells.empty())
        return std::nullopt;
    return cells[m_runtime.random()() % cells.size()];
}

void JobGateway::submitTo(const std::optional<CellId>& cell, const std::shared_ptr<Submission>& submission)
{
    if (!cell) {
        if (submission->outcomeUnknown) {
            answerUnclear(*submission, "no cell owner answered in time");
            return;
        }
        Common::Failure refusal = failure(Common::ErrorCode::PeerUnavailable, "no cell can take the job now");
        refusal.retryAfter = retryAfterNoOwner;
        submission->callback(refusal);
        return;
    }
    submission->tried.insert(*cell);
    sendSubmission(*cell, submission,
        m_lifetime.guard([this, submission, cell = *cell](const Common::Result<AcceptOutcome>& outcome) {
            onSubmitted(submission, cell, outcome);
        }));
}

/// The last cell to be tried accepts the job even if it doesn't fit at present.
CellEngine::Fit JobGateway::fitOf(const Submission& submission) const
{
    const size_t reachable = std::min(maximumTriedCells, m_cellOwnership.servedCells());
    return submission.tried.size() < reachable ? CellEngine::Fit::Required : CellEngine::Fit::Any;
}

void JobGateway::sendSubmission(
    const CellId& cell, const std::shared_ptr<Submission>& submission, Common::Callback<AcceptOutcome> callback)
{
    if (CellEngine* const engine = m_cellOwnership.engine(cell)) {
        engine->submit(submission->record, fitOf(*submission), std::move(callback));
        return;
    }
    const CellOwnership::Owner* const owner = m_cellOwnership.liveOwner(cell);
    if (!owner && submission->ownerAddress.empty()) {
        // The owner was taken for dead after the cell was chosen: time advances between the two checks.
        callback(failure(Common::ErrorCode::PeerUnavailable, "the cell's owner is silent"));
        return;
    }
    const std::string address = owner ? owner->address : submission->ownerAddress;
    const Json params { { "cell", cell.value() }, { "job", Jobs::submissionToJson(submission->record) },
        { "fit", fitOf(*submission) == CellEngine::Fit::Required } };
    const Common::MonotonicTime end = std::min(m_runtime.now() + submitTimeout, submission->deadline);
    m_peers.call(address, submitMethod, params, std::min(firstSubmitTimeout, end - m_runtime.now()),
        m_lifetime.guard([this, address, params, end, submission, callback = std::move(callback)](
                             const Common::Result<Json>& answer) {
            const Common::Duration left = end - m_runtime.now();
            if (answer || answer.reason().code != Common::ErrorCode::Timeout || left <= Common::Duration::zero()) {
                callback(acceptFrom(answer));
                return;
            }
            // The connection may be silent, and the next call opens a new one. The owner accepts a job only once, but
            // whatever it answers now, it may have the first request as well.
            submission->outcomeUnknown = true;
            m_peers.call(address, submitMethod, params, left,
                [callback](const Common::Result<Json>& second) { callback(acceptFrom(second)); });
        }));
}

void JobGateway::onSubmitted(
    const std::shared_ptr<Submission>& submission, const CellId& cell, const Common::Result<AcceptOutcome>& outcome)
{
    const Common::JobId& job = submission->record.id;
    if (outcome) {
        const auto* const alreadyAccepted = std::get_if<AlreadyAccepted>(&*outcome);
        cacheLocation(job, alreadyAccepted ? alreadyAccepted->cell : cell);
        submission->callback(Common::Done {});
        return;
    }
    const Common::ErrorCode code = outcome.reason().code;
    LC_INFO(Jobs,
        "event=submission-failed job=" << job.value() << " cell=" << cell.value()
                                       << " reason=" << Common::errorName(code));
    if (mayHaveTakenEffect(code))
        submission->outcomeUnknown = true;
    // The owner's write failed. Another owner would use the same failing store, and an early failure lets the caller
    // retry sooner.
    const bool storeFailed = code == Common::ErrorCode::StoreUnavailable || code == Common::ErrorCode::OutcomeUnknown;
    if (storeFailed && submission->outcomeUnknown) {
        answerUnclear(*submission, "the store's answer to the write was lost");
        return;
    }
    const bool refused = storeFailed || code == Common::ErrorCode::Overloaded
        || code == Common::ErrorCode::DeadlineUnreachable || code == Common::ErrorCode::JobFitsNoWorker;
    if (refused && !submission->outcomeUnknown) {
        submission->callback(outcome.reason());
        return;
    }
    // The location record in the store keeps a second cell from accepting a job that the first one has written.
    tryCell(submission);
}

void JobGateway::answerUnclear(const Submission& submission, const char* detail)
{
    std::erase_if(m_unclearSubmissions,
        [now = m_runtime.now()](const auto& row) { return now - row.second > unclearSubmissionRetention; });
    if (m_unclearSubmissions.size() < maximumCachedLocations)
        m_unclearSubmissions[submission.record.id] = m_runtime.now();
    submission.callback(failure(Common::ErrorCode::OutcomeUnknown, detail));
}

bool JobGateway::mayStillBeAccepted(const Common::JobId& job) const
{
    const auto unclear = m_unclearSubmissions.find(job);
    return unclear != m_unclearSubmissions.end() && m_runtime.now() - unclear->second <= unclearSubmissionRetention;
}

// Locations.

void JobGateway::cacheLocation(const Common::JobId& job, const CellId& cell)
{
    if (m_locations.size() >= maximumCachedLocations)
        m_locations.erase(m_locations.begin());
    m_locations[job] = cell;
}

void JobGateway::locate(const Common::JobId& job, Common::Callback<Location> callback)
{
    if (const auto known = m_locations.find(job); known != m_locations.end()) {
        callback(Location(known->second));
        return;
    }
    for (const auto& [cell, engine] : m_cellOwnership.engines()) {
        if (engine->phase(job)) {
            callback(Location(cell));
            return;
        }
    }
    locateInStore(job, Freshness::Stale, std::move(callback));
}

void JobGateway::locateInStore(const Common::JobId& job, Freshness freshness, Common::Callback<Location> callback)
{
    m_store.get(StoreKeys::jobLocation(job), freshness,
        m_lifetime.guard([this, job, freshness, callback = std::move(callback)](
                             const Common::Result<std::optional<Scheduler::StoreValue>>& found) mutable {
            if (found && *found) {
                const CellId cell((*found)->value);
                cacheLocation(job, cell);
                callback(Location(cell));
            } else if (freshness == Freshness::Stale) {
                // A stale read may be older than the job.
                locateInStore(job, Freshness::Linearizable, std::move(callback));
            } else if (found) {
                callback(Location(std::nullopt));
            } else {
                callback(found.reason());
            }
        }));
}

// Phase queries.

void JobGateway::phase(const Common::JobId& job, Common::Duration timeout, Common::Callback<Jobs::JobPhase> callback)
{
    auto lookup = std::make_shared<Lookup>(Lookup { job, timeout, std::move(callback) });
    locate(job, m_lifetime.guard([this, lookup](const Common::Result<Location>& location) {
        if (!location)
            lookup->callback(location.reason());
        else if (!*location)
            lookup->callback(failure(Common::ErrorCode::UnknownJob, "there is no such job"));
        else
            phaseAt(**location, lookup);
    }));
}

void JobGateway::phaseAt(const CellId& cell, const std::shared_ptr<Lookup>& lookup)
{
    if (const CellEngine* const engine = m_cellOwnership.engine(cell)) {
        if (const auto phase = engine->phase(lookup->job))
            lookup->callback(*phase);
        else
            phaseFromStore(cell, lookup);
        return;
    }
    const CellOwnership::Owner* const owner = m_cellOwnership.liveOwner(cell);
    if (!owner) {
        phaseFromStore(cell, lookup);
        return;
    }
    const Json params { { "cell", cell.value() }, { "job", lookup->job.value() } };
    m_peers.call(owner->address, phaseMethod, params, std::min(callTimeout, lookup->timeout),
        m_lifetime.guard([this, cell, lookup](const Common::Result<Json>& answer) {
            const auto phase = answer ? Jobs::phaseFromName(textOf(*answer, "phase")) : std::nullopt;
            if (phase)
                lookup->callback(*phase);
            else
                phaseFromStore(cell, lookup);
        }));
}

/// Reads the last durable phase when the cell's owner doesn't answer.
void JobGateway::phaseFromStore(const CellId& cell, const std::shared_ptr<Lookup>& lookup)
{
    m_store.get(StoreKeys::job(cell, lookup->job), Freshness::Linearizable,
        m_lifetime.guard([this, cell, lookup](const Common::Result<std::optional<Scheduler::StoreValue>>& found) {
            if (!found) {
                lookup->callback(found.reason());
                return;
            }
            if (!*found) {
                lookup->callback(failure(Common::ErrorCode::UnknownJob, "the job's record has expired"));
                return;
            }
            const auto record = Jobs::JobRecord::decode((*found)->value);
            if (!record)
                lookup->callback(record.reason());
            else if (record->isPart)
                phaseAtHome(cell, lookup);
            else
                lookup->callback(record->phase);
        }));
}

/// Queries the cell that the job's location record names, as `wrongCell` holds only a part of the job.
void JobGateway::phaseAtHome(const CellId& wrongCell, const std::shared_ptr<Lookup>& lookup)
{
    m_locations.erase(lookup->job);
    locateInStore(lookup->job, Freshness::Linearizable,
        m_lifetime.guard([this, wrongCell, lookup](const Common::Result<Location>& location) {
            if (!location)
                lookup->callback(location.reason());
            else if (!*location || **location == wrongCell)
                lookup->callback(failure(Common::ErrorCode::UnknownJob, "the cell has only a part of the job"));
            else
                phaseAt(**location, lookup);
        }));
}

// Cancellations.

void JobGateway::cancel(const Common::JobId& job, Common::Duration timeout, Common::Callback<Common::Done> callback)
{
    m_pendingCancellations.add(job, timeout, std::move(callback));
}

void JobGateway::attemptCancellation(
    const Common::JobId& job, Common::Duration timeout, Common::Callback<Common::Done> callback)
{
    locate(job,
        m_lifetime.guard(
            [this, job, timeout, callback = std::move(callback)](const Common::Result<Location>& location) {
                if (!location)
                    callback(location.reason());
                else if (!*location && mayStillBeAccepted(job))
                    callback(failure(Common::ErrorCode::OutcomeUnknown, "the job may still be accepted"));
                else if (!*location)
                    callback(failure(Common::ErrorCode::UnknownJob, "there is no such job"));
                else
                    cancelAt(**location, job, timeout, callback);
            }));
}

void JobGateway::cancelAt(
    const CellId& cell, const Common::JobId& job, Common::Duration timeout, Common::Callback<Common::Done> callback)
{
    if (CellEngine* const engine = m_cellOwnership.engine(cell)) {
        cancelOwned(*engine, cell, job, timeout, callback);
        return;
    }
    const CellOwnership::Owner* const owner = m_cellOwnership.liveOwner(cell);
    if (!owner) {
        Common::Failure refusal = failure(Common::ErrorCode::PeerUnavailable,
            "the job's cell " + cell.value() + " has no owner now: " + m_cellOwnership.describeOwner(cell));
        refusal.retryAfter = retryAfterNoOwner;
        callback(refusal);
        return;
    }
    const Json params { { "cell", cell.value() }, { "job", job.value() } };
    m_peers.call(owner->address, cancelMethod, params, timeout,
        [callback = std::move(callback)](const Common::Result<Json>& answer) {
            if (answer)
                callback(Common::Done {});
            else
                callback(answer.reason());
        });
}

/// Cancels a job of a cell of this host and answers when nothing of it runs any more.
void JobGateway::cancelOwned(CellEngine& engine, const CellId& cell, const Common::JobId& job, Common::Duration timeout,
    const Common::Callback<Common::Done>& callback)
{
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [callback, answered](const Common::Result<Common::Done>& outcome) {
        if (!std::exchange(*answered, true))
            callback(outcome);
    };
    m_runtime.schedule(timeout, m_lifetime.guard([answer] {
        answer(failure(Common::ErrorCode::OutcomeUnknown, "tasks of the job may still run"));
    }));
    engine.cancel(job, m_lifetime.guard([this, cell, job, answer](const Common::Result<Common::Done>& durable) {
        CellEngine* const owner = m_cellOwnership.engine(cell);
        if (durable && owner)
            owner->awaitStopped(job, CellEngine::StopScope::AllCells, answer);
        else if (durable)
            answer(failure(Common::ErrorCode::OutcomeUnknown, "the cell was handed over during the cancellation"));
        else
            answer(durable);
    }));
}

void JobGateway::pending(const std::string& route, Common::Duration timeout, Common::Callback<uint32_t> callback)
{
    if (m_cellOwnership.receivesLoads())
        callback(knownPending(route));
    else
        askForPending(route, std::move(callback), m_cellOwnership.loadHolders(), 0, m_runtime.now() + timeout);
}

void JobGateway::askForPending(const std::string& route, Common::Callback<uint32_t> callback,
    std::vector<std::string> hosts, size_t asked, Common::MonotonicTime deadline)
{
    const Common::Duration left = deadline - m_runtime.now();
    if (asked >= std::min(hosts.size(), maximumAskedHosts) || left <= Common::Duration::zero()) {
        Common::Failure refusal
            = failure(Common::ErrorCode::PeerUnavailable, "no host that knows the loads of cells answers");
        refusal.retryAfter = retryAfterNoOwner;
        callback(refusal);
        return;
    }
    const std::string address = hosts[asked];
    m_peers.call(address, pendingMethod, Json { { "route", route } }, std::min(callTimeout, left),
        m_lifetime.guard([this, route, callback = std::move(callback), hosts = std::move(hosts), asked, deadline](
                             const Common::Result<Json>& answer) mutable {
            const auto count = answer ? countOf(*answer, "count") : std::nullopt;
            if (count)
                callback(*count);
            else
                askForPending(route, std::move(callback), std::move(hosts), asked + 1, deadline);
        }));
}

uint32_t JobGateway::knownPending(const std::string& route) const
{
    uint32_t count = 0;
    const auto add = [&](const CellLoad& load) {
        const auto found = load.pending.find(route);
        count += found == load.pending.end() ? 0 : found->second;
    };
    for (const CellId& cell : m_cellOwnership.layout().cells()) {
        if (const CellEngine* const engine = m_cellOwnership.engine(cell))
            add(engine->load());
        else if (const CellOwnership::Owner* const owner = m_cellOwnership.liveOwner(cell))
            add(owner->load);
    }
    return count;
}

} // namespace Cells
