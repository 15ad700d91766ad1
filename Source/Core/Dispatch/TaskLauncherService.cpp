// Reservations, starts and views of batch tasks, on this daemon's workers and by calls to peers.
#include "Dispatch/TaskLauncherService.h"

#include "Dispatch/TaskMessages.h"
#include "Dispatch/WorkerPool.h"
#include "Ledger/JobService.h"
#include "Ledger/ShardOwners.h"
#include "Policy/Placement.h"
#include "Policy/WorkerHealth.h"
#include "Scheduler/ClusterConfig.h"
#include "Scheduler/ConfigView.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/StartCommand.h"
#include "Scheduler/WorkerPort.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Dispatch {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using nlohmann::json;
using Scheduler::WorkerFleet;

namespace {

    constexpr const char* reserveMethod = "tasks.reserve";
    constexpr const char* startMethod = "tasks.start";
    constexpr const char* releaseMethod = "tasks.release";
    constexpr const char* controlMethod = "tasks.control";
    constexpr const char* acknowledgeMethod = "tasks.acknowledge";
    constexpr const char* watchMethod = "tasks.watch";
    constexpr const char* viewMethod = "tasks.view";
    constexpr const char* evictMethod = "tasks.evict";

    const Failure malformed { ErrorCode::ProtocolError, "a message about tasks is malformed" };

    json tasksToJson(const std::vector<Common::TaskId>& tasks)
    {
        json names = json::array();
        for (const Common::TaskId& task : tasks)
            names.push_back(task.value());
        return names;
    }

    std::vector<Common::TaskId> tasksFromJson(const json& names)
    {
        std::vector<Common::TaskId> tasks;
        for (const json& name : names) {
            if (name.is_string())
                tasks.emplace_back(name.get<std::string>());
        }
        return tasks;
    }

    std::string textMember(const json& object, const char* name)
    {
        const auto member = object.find(name);
        return member != object.end() && member->is_string() ? member->get<std::string>() : std::string();
    }

    bool isInScope(const Scheduler::PeerInfo& self, const Scheduler::PeerInfo& peer, Scheduler::SpillScope scope)
    {
        switch (scope) {
        case Scheduler::SpillScope::Domain:
            return peer.domain == self.domain;
        case Scheduler::SpillScope::Region:
            return peer.region == self.region;
        case Scheduler::SpillScope::Everywhere:
            return true;
        }
        return false;
    }

    /// 0 in the same failure domain, 1 in the same region, 2 otherwise.
    int distance(const Scheduler::PeerInfo& self, const Scheduler::PeerInfo& peer)
    {
        if (peer.domain == self.domain)
            return 0;
        return peer.region == self.region ? 1 : 2;
    }

    Scheduler::WorkerView makeView(const Scheduler::WorkerReport& report)
    {
        Scheduler::WorkerView view { report.worker, report.boot, report.clock, {} };
        for (const Scheduler::TaskReport& task : report.tasks) {
            if (task.kind == Scheduler::TaskKind::Batch)
                view.tasks.push_back(task);
        }
        return view;
    }

    /// The part of a view whose change makes it worth sending: everything but the clock.
    std::string contentOf(const Scheduler::WorkerView& view)
    {
        json content = toJson(view);
        content.erase("clock");
        return content.dump();
    }

} // namespace

TaskLauncherService::TaskLauncherService(
    const Scheduler::ServiceContext& context, const Dependencies& dependencies, const Settings& settings)
    : m_context(context)
    , m_dependencies(dependencies)
    , m_settings(settings)
{
}

void TaskLauncherService::start()
{
    m_dependencies.fleet.onChange(m_lifetime.guard(
        [this](WorkerFleet::Change change, const Scheduler::OwnedWorker& worker) { onFleetChange(change, worker); }));
    servePeers();
}

void TaskLauncherService::servePeers()
{
    using Reply = Scheduler::PeerPort::Reply;
    const auto serve = [this](const char* method, auto handler) {
        m_dependencies.peers.serve(method, m_lifetime.guard(std::move(handler)));
    };
    serve(reserveMethod, [this](const json& params, const Reply& reply) {
        const auto spec = specFromJson(params);
        if (!spec)
            return reply(malformed);
        const Result<Scheduler::Reservation> reservation = reserveHere(*spec);
        reservation ? reply(toJson(*reservation)) : reply(reservation.reason());
    });
    serve(startMethod, [this](const json& params, const Reply& reply) {
        const auto reservation = reservationFromJson(params.value("reservation", json::object()));
        const auto spec = specFromJson(params.value("spec", json::object()));
        if (!reservation || !spec)
            return reply(malformed);
        startHere(*reservation, *spec,
            [reply](const Result<Common::Done>& done) { done ? reply(json::object()) : reply(done.reason()); });
    });
    serve(releaseMethod, [this](const json& params, const Reply& reply) {
        if (const auto reservation = reservationFromJson(params))
            release(*reservation);
        reply(json::object());
    });
    serve(controlMethod, [this](const json& params, const Reply& reply) {
        const Common::WorkerId worker(textMember(params, "worker"));
        const int action = params.value("action", -1);
        if (action < 0 || action > static_cast<int>(Scheduler::TaskControl::Stop))
            return reply(malformed);
        controlHere(
            worker, static_cast<Scheduler::TaskControl>(action), tasksFromJson(params.value("tasks", json::array())));
        reply(json::object());
    });
    serve(acknowledgeMethod, [this](const json& params, const Reply& reply) {
        const Common::WorkerId worker(textMember(params, "worker"));
        if (m_dependencies.fleet.ownedWorker(worker))
            m_dependencies.fleet.acknowledge(worker, tasksFromJson(params.value("tasks", json::array())));
        reply(json::object());
    });
    serve(watchMethod, [this](const json& params, const Reply& reply) {
        watchHere(Common::WorkerId(textMember(params, "worker")), Common::DaemonId(textMember(params, "by")));
        reply(json::object());
    });
    serve(viewMethod, [this](const json& params, const Reply& reply) {
        if (const auto view = viewFromJson(params.value("view", json::object())))
            receiveView(*view, Common::DaemonId(textMember(params, "from")));
        reply(json::object());
    });
    serve(evictMethod, [this](const json& params, const Reply& reply) {
        if (m_evict)
            m_evict(Common::TaskId(textMember(params, "task")));
        reply(json::object());
    });
}

Policy::PlacementRequest TaskLauncherService::placementRequestFor(const Scheduler::TaskSpec& spec) const
{
    Policy::PlacementRequest request {
        .declared = spec.declared,
        .kind = Scheduler::TaskKind::Batch,
        .workClass = Policy::classOfJobs(spec.team, spec.profile),
        .avoid = spec.avoid,
    };
    if (spec.urgent)
        request.priority = Scheduler::Priority::Urgent;
    return request;
}

Result<Scheduler::Reservation> TaskLauncherService::reserveHere(const Scheduler::TaskSpec& spec)
{
    if (m_dependencies.placement.workerCount() > 0 && !m_dependencies.placement.fitsAnywhere(spec.declared))
        return Failure { ErrorCode::JobFitsNoWorker, "no worker, even an empty one, could hold the task" };
    const auto placed = m_placed.find(spec.task);
    const bool onlyReserved = placed != m_placed.end() && !placed->second.startSent;
    // This is a late copy of the call. A new reservation could be released while the task may run.
    if (m_dependencies.placement.workerOf(spec.task) && !onlyReserved)
        return Failure { ErrorCode::DuplicateId, "the task was already started" };
    const Result<TaskPlacement> placement = m_dependencies.pool.place(spec.task, placementRequestFor(spec));
    if (!placement)
        return placement.reason();
    m_dependencies.pool.keepUntilReported(spec.task);
    m_placed[spec.task] = PlacedTask { spec, m_context.runtime.now() };
    return Scheduler::Reservation { spec.task, placement->worker, placement->boot, placement->startBy,
        m_dependencies.membership.self().id };
}

void TaskLauncherService::reserve(const Scheduler::TaskSpec& spec, Common::Callback<Scheduler::Reservation> callback)
{
    const Result<Scheduler::Reservation> here = reserveHere(spec);
    if (here) {
        callback(here);
        return;
    }
    const auto search = std::make_shared<Search>();
    search->spec = spec;
    search->callback = std::move(callback);
    search->neverFits = here.reason().code == ErrorCode::JobFitsNoWorker;
    search->candidates = candidatesFor(spec);
    if (!search->neverFits && search->candidates.size() > m_settings.maximumPeersAsked) {
        search->candidates.resize(m_settings.maximumPeersAsked);
        search->incomplete = true;
    }
    askNext(search);
}

std::vector<Scheduler::PeerInfo> TaskLauncherService::candidatesFor(const Scheduler::TaskSpec& spec) const
{
    const Scheduler::PeerInfo& self = m_dependencies.membership.self();
    Scheduler::SpillScope scope = Scheduler::SpillScope::Region;
    if (const auto config = m_dependencies.config.current()) {
        const auto profile = config->profiles.find(spec.profile);
        if (profile != config->profiles.end())
            scope = profile->second.spill;
    }
    std::vector<Scheduler::PeerInfo> candidates;
    for (const Scheduler::PeerInfo& peer : m_dependencies.membership.livePeers()) {
        if (peer.id != self.id && !peer.draining && peer.freeSlots > 0 && isInScope(self, peer, scope))
            candidates.push_back(peer);
    }
    std::sort(candidates.begin(), candidates.end(), [&](const Scheduler::PeerInfo& a, const Scheduler::PeerInfo& b) {
        return std::pair(distance(self, a), -a.freeSlots) < std::pair(distance(self, b), -b.freeSlots);
    });
    return candidates;
}

void TaskLauncherService::askNext(const std::shared_ptr<Search>& search)
{
    if (search->next == search->candidates.size()) {
        endSearch(search);
        return;
    }
    const Scheduler::PeerInfo peer = search->candidates[search->next++];
    m_dependencies.peers.call(peer.address, reserveMethod, toJson(search->spec), m_settings.peerTimeout,
        m_lifetime.guard([this, search](const Result<json>& answer) {
            const auto reservation = answer ? reservationFromJson(*answer) : std::nullopt;
            if (reservation) {
                search->callback(*reservation);
                return;
            }
            search->neverFits = search->neverFits && !answer && answer.reason().code == ErrorCode::JobFitsNoWorker;
            askNext(search);
        }));
}

void TaskLauncherService::endSearch(const std::shared_ptr<Search>& search)
{
    if (search->neverFits && !search->incomplete)
        search->callback(Failure { ErrorCode::JobFitsNoWorker, "no worker, even an empty one, could hold the task" });
    else
        search->callback(Failure { ErrorCode::NoWorker, "no worker has room for the task now" });
}

void TaskLauncherService::start(
    const Scheduler::Reservation& reservation, const Scheduler::TaskSpec& spec, Common::Callback<Common::Done> callback)
{
    if (reservation.owner == m_dependencies.membership.self().id) {
        startHere(reservation, spec, callback);
        return;
    }
    const auto owner = m_dependencies.membership.find(reservation.owner);
    if (!owner) {
        callback(Failure { ErrorCode::ConnectFailed, "the owner of the worker is not alive" });
        return;
    }
    const json params { { "reservation", toJson(reservation) }, { "spec", toJson(spec) } };
    m_dependencies.peers.call(owner->address, startMethod, params, m_settings.peerTimeout,
        m_lifetime.guard([callback = std::move(callback)](const Result<json>& answer) {
            answer ? callback(Common::Done {}) : callback(answer.reason());
        }));
}

void TaskLauncherService::startHere(const Scheduler::Reservation& reservation, const Scheduler::TaskSpec& spec,
    const Common::Callback<Common::Done>& callback)
{
    const Result<TaskPlacement> placement = m_dependencies.pool.confirm(reservation.task);
    if (!placement) {
        m_dependencies.pool.recordEnd(reservation.task);
        callback(placement.reason());
        return;
    }
    const auto placed = m_placed.find(reservation.task);
    if (placed != m_placed.end())
        placed->second.startSent = true;
    const Scheduler::StartCommand command {
        .task = reservation.task,
        .boot = reservation.boot,
        .startBy = reservation.startBy,
        .leaseTimeToLive = m_settings.taskLease,
        .declared = spec.declared,
        .checkpoint = spec.checkpoint,
        .command = spec.command,
    };
    m_dependencies.workers.start(placement->address, command,
        m_lifetime.guard([this, task = reservation.task, callback](const Result<Common::Done>& started) {
            if (!started && Scheduler::provesNotRun(started.reason().code)) {
                m_dependencies.pool.recordEnd(task);
                m_placed.erase(task);
            }
            callback(started);
        }));
}

void TaskLauncherService::release(const Scheduler::Reservation& reservation)
{
    if (reservation.owner == m_dependencies.membership.self().id) {
        const auto placed = m_placed.find(reservation.task);
        if (placed == m_placed.end() || placed->second.startSent)
            return;
        m_dependencies.pool.recordEnd(reservation.task);
        m_placed.erase(placed);
        return;
    }
    if (const auto owner = m_dependencies.membership.find(reservation.owner))
        m_dependencies.peers.call(
            owner->address, releaseMethod, toJson(reservation), m_settings.peerTimeout, [](const auto&) {});
}

void TaskLauncherService::control(
    const Common::WorkerId& worker, Scheduler::TaskControl action, const std::vector<Common::TaskId>& tasks)
{
    if (m_dependencies.fleet.ownedWorker(worker)) {
        controlHere(worker, action, tasks);
        return;
    }
    const json params { { "worker", worker.value() }, { "action", static_cast<int>(action) },
        { "tasks", tasksToJson(tasks) } };
    callOwner(worker, controlMethod, params);
}

void TaskLauncherService::controlHere(
    const Common::WorkerId& worker, Scheduler::TaskControl action, const std::vector<Common::TaskId>& tasks)
{
    const auto ownedWorker = m_dependencies.fleet.ownedWorker(worker);
    if (!ownedWorker || tasks.empty())
        return;
    m_dependencies.workers.control(ownedWorker->address, action, tasks,
        m_lifetime.guard([this, worker](const Result<Common::Done>&) { m_dependencies.fleet.requestSync(worker); }));
}

void TaskLauncherService::acknowledge(const Common::WorkerId& worker, const std::vector<Common::TaskId>& tasks)
{
    if (m_dependencies.fleet.ownedWorker(worker)) {
        m_dependencies.fleet.acknowledge(worker, tasks);
        return;
    }
    callOwner(worker, acknowledgeMethod, json { { "worker", worker.value() }, { "tasks", tasksToJson(tasks) } });
}

void TaskLauncherService::requestView(const Common::WorkerId& worker)
{
    const Common::DaemonId self = m_dependencies.membership.self().id;
    if (m_dependencies.fleet.ownedWorker(worker)) {
        watchHere(worker, self);
        return;
    }
    callOwner(worker, watchMethod, json { { "worker", worker.value() }, { "by", self.value() } });
}

void TaskLauncherService::watchHere(const Common::WorkerId& worker, const Common::DaemonId& by)
{
    if (!m_dependencies.fleet.ownedWorker(worker))
        return;
    m_views[worker].interestedUntil[by] = m_context.runtime.now() + m_settings.viewInterestDuration;
    m_dependencies.fleet.requestSync(worker);
}

void TaskLauncherService::callOwner(const Common::WorkerId& worker, const std::string& method, const json& params)
{
    std::vector<Scheduler::PeerInfo> targets;
    if (const auto assigned = m_dependencies.fleet.assignedOwner(worker)) {
        if (const auto peer = m_dependencies.membership.find(*assigned))
            targets.push_back(*peer);
    }
    const auto sender = m_lastViewSender.find(worker);
    if (sender != m_lastViewSender.end()) {
        if (const auto peer = m_dependencies.membership.find(sender->second.daemon))
            targets.push_back(*peer);
    }
    if (targets.empty())
        targets = m_dependencies.membership.livePeers();
    std::set<Common::DaemonId> called { m_dependencies.membership.self().id };
    for (const Scheduler::PeerInfo& target : targets) {
        if (called.insert(target.id).second)
            m_dependencies.peers.call(target.address, method, params, m_settings.peerTimeout, [](const auto&) {});
    }
}

void TaskLauncherService::onView(std::function<void(const Scheduler::WorkerView&)> receiver)
{
    m_receiver = std::move(receiver);
}

void TaskLauncherService::onFleetChange(WorkerFleet::Change change, const Scheduler::OwnedWorker& worker)
{
    if (change == WorkerFleet::Change::Lost) {
        m_views.erase(worker.worker);
        m_recordedEnds.erase(worker.worker);
        std::erase_if(m_placed, [&](const auto& row) { return !m_dependencies.placement.workerOf(row.first); });
        return;
    }
    recordOutcomes(worker);
    publishViews(worker);
}

void TaskLauncherService::recordOutcomes(const Scheduler::OwnedWorker& worker)
{
    std::unordered_set<Common::TaskId>& recorded = m_recordedEnds[worker.worker];
    std::unordered_set<Common::TaskId> listed;
    for (const Scheduler::TaskReport& task : worker.report.tasks) {
        if (task.kind != Scheduler::TaskKind::Batch || task.state == Scheduler::TaskState::Running)
            continue;
        listed.insert(task.task);
        if (recorded.contains(task.task))
            continue;
        const auto job = Ledger::JobService::jobOfTask(task.task);
        if (job && task.state != Scheduler::TaskState::Stopped)
            m_dependencies.health.recordOutcome(
                worker.worker, job->value(), task.state == Scheduler::TaskState::Finished, m_context.runtime.now());
        m_placed.erase(task.task);
    }
    recorded = std::move(listed);
}

void TaskLauncherService::publishViews(const Scheduler::OwnedWorker& worker)
{
    const Common::MonotonicTime now = m_context.runtime.now();
    const Scheduler::WorkerView view = makeView(worker.report);
    ViewState& state = m_views[worker.worker];
    std::erase_if(state.interestedUntil, [&](const auto& row) { return row.second < now; });
    std::set<Common::DaemonId> receivers;
    for (const auto& [daemon, until] : state.interestedUntil)
        receivers.insert(daemon);
    std::string content = contentOf(view);
    if (content != state.lastContent || now - state.sentAt >= m_settings.viewRepeatInterval) {
        state.lastContent = std::move(content);
        state.sentAt = now;
        for (const Scheduler::TaskReport& task : view.tasks) {
            const auto shard = Ledger::JobService::shardOfTask(task.task);
            const auto owner = shard ? m_dependencies.shards.assignedOwner(*shard) : std::nullopt;
            if (owner)
                receivers.insert(owner->id);
        }
    }
    for (const Common::DaemonId& receiver : receivers)
        sendView(receiver, view);
}

void TaskLauncherService::sendView(const Common::DaemonId& receiver, const Scheduler::WorkerView& view)
{
    const Common::DaemonId self = m_dependencies.membership.self().id;
    if (receiver == self) {
        receiveView(view, self);
        return;
    }
    if (const auto peer = m_dependencies.membership.find(receiver)) {
        const json params { { "from", self.value() }, { "view", toJson(view) } };
        m_dependencies.peers.call(peer->address, viewMethod, params, m_settings.peerTimeout, [](const auto&) {});
    }
}

void TaskLauncherService::receiveView(const Scheduler::WorkerView& view, const Common::DaemonId& from)
{
    if (const auto sender = m_dependencies.membership.find(from))
        m_lastViewSender[view.worker] = ViewSender { from, sender->domain };
    if (m_receiver)
        m_receiver(view);
}

bool TaskLauncherService::isDomainReachable(const Common::WorkerId& worker) const
{
    if (m_dependencies.fleet.addressOf(worker))
        return true;
    const auto sender = m_lastViewSender.find(worker);
    if (sender == m_lastViewSender.end())
        return false;
    const auto peers = m_dependencies.membership.livePeers();
    return std::any_of(peers.begin(), peers.end(),
        [&](const Scheduler::PeerInfo& peer) { return peer.domain == sender->second.domain; });
}

void TaskLauncherService::requestEviction(const Common::TaskId& task)
{
    if (m_evict && m_evict(task))
        return;
    const auto shard = Ledger::JobService::shardOfTask(task);
    const auto owner = shard ? m_dependencies.shards.assignedOwner(*shard) : std::nullopt;
    if (owner && owner->id != m_dependencies.membership.self().id)
        m_dependencies.peers.call(
            owner->address, evictMethod, json { { "task", task.value() } }, m_settings.peerTimeout, [](const auto&) {});
}

const TaskLauncherService::PlacedTask* TaskLauncherService::placed(const Common::TaskId& task) const
{
    const auto found = m_placed.find(task);
    return found == m_placed.end() ? nullptr : &found->second;
}

} // namespace Dispatch
