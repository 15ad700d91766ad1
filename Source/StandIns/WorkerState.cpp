// Simulates the tasks, leases, claims and interference of a worker stand-in.
#include "StandIns/WorkerState.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace StandIns {

namespace {

    using Common::ErrorCode;
    using Common::Failure;
    using std::chrono::milliseconds;

    constexpr int64_t fullSpeed = 1000;
    constexpr int64_t microsecondsPerMillisecond = 1000;
    /// A throttled task's speed, processor use and noise are divided by this.
    constexpr int64_t throttleDivisor = 4;
    /// Work after which a task fails on a worker with the failAll fault.
    constexpr int64_t earlyFailureMicroseconds = 5 * microsecondsPerMillisecond;
    /// How long after its start deadline a task id is remembered.
    constexpr std::chrono::seconds seenRetention { 60 };
    constexpr int64_t defaultBatchMilliseconds = 1000;

    std::string checkpointToken(int64_t doneMicroseconds)
    {
        const nlohmann::json token { { "doneMs", doneMicroseconds / microsecondsPerMillisecond } };
        return token.dump();
    }

    int64_t doneAtCheckpoint(const std::string& token)
    {
        const nlohmann::json body = nlohmann::json::parse(token, nullptr, false);
        if (!body.is_object() || !body.contains("doneMs") || !body["doneMs"].is_number_integer())
            return 0;
        return body["doneMs"].get<int64_t>() * microsecondsPerMillisecond;
    }

    Failure refusal(ErrorCode code, const char* detail) { return { code, detail, std::nullopt }; }

    /// Divides `speed` by total / capacity when the total exceeds the capacity.
    int64_t slowedByOverload(int64_t speed, int64_t total, int64_t capacity)
    {
        if (total <= capacity)
            return speed;
        return speed * std::max<int64_t>(capacity, 1) / total;
    }

} // namespace

WorkerState::WorkerState(Settings settings, Clock clock, Journal journal)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_journal(std::move(journal))
    , m_random(m_settings.seed)
    , m_bootedAt(m_clock())
    , m_advancedTo(m_bootedAt)
{
}

Common::WorkerTime WorkerState::toWorkerTime(Common::MonotonicTime time) const
{
    return { std::chrono::duration_cast<milliseconds>(time - m_bootedAt).count() };
}

Common::WorkerTime WorkerState::clock() const { return toWorkerTime(m_clock()); }

// ---- Calls ----

Scheduler::WorkerReport WorkerState::sync(const Scheduler::SyncRequest& request)
{
    advance();
    updateClaim(request);
    for (const Common::TaskId& task : request.tasksToRenew) {
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.leaseExpiresAt)
            found->second.leaseExpiresAt = m_advancedTo + request.taskLeaseTimeToLive;
    }
    for (const Common::TaskId& task : request.tasksToAcknowledge)
        m_ended.erase(task);
    Scheduler::WorkerReport report;
    report.worker = m_settings.worker;
    report.boot = m_settings.boot;
    report.clock = toWorkerTime(m_advancedTo);
    report.rack = m_settings.rack;
    report.capacity = m_settings.capacity;
    report.leaving = m_faults.leaving;
    for (const auto& [daemon, claim] : m_claims)
        report.claims.push_back(claim);
    for (const auto& [id, task] : m_running)
        report.tasks.push_back(reportOf(task));
    for (const auto& [id, task] : m_ended)
        report.tasks.push_back(task.report);
    return report;
}

Common::Result<Common::Done> WorkerState::start(const Scheduler::StartCommand& command)
{
    advance();
    const auto allowed = checkStart(command.task, command.boot, command.startBy, command.declared);
    if (!allowed)
        return allowed.reason();
    Running task;
    task.report.kind = Scheduler::TaskKind::Batch;
    task.report.declared = command.declared;
    task.report.checkpoint = command.checkpoint;
    task.work = TaskWork::parse(command.command, defaultBatchMilliseconds).value_or(TaskWork {});
    task.total = drawRunTime(task.work);
    task.done = std::clamp<int64_t>(doneAtCheckpoint(command.checkpoint), 0, task.total);
    task.leaseExpiresAt = m_advancedTo + command.leaseTimeToLive;
    add(command.task, command.startBy, std::move(task));
    return Common::Done {};
}

Common::Result<Common::Done> WorkerState::startRequest(
    const RequestCommand& command, const TaskWork& work, RequestEnd ended)
{
    advance();
    const auto allowed = checkStart(command.task, command.boot, command.startBy, command.declared);
    if (!allowed)
        return allowed.reason();
    Running task;
    task.report.kind = Scheduler::TaskKind::Request;
    task.report.declared = command.declared;
    task.work = work;
    task.total = drawRunTime(work);
    task.ended = std::move(ended);
    add(command.task, command.startBy, std::move(task));
    return Common::Done {};
}

void WorkerState::control(Scheduler::TaskControl action, const std::vector<Common::TaskId>& tasks)
{
    advance();
    for (const Common::TaskId& id : tasks) {
        const auto found = m_running.find(id);
        if (found == m_running.end())
            continue;
        Running& task = found->second;
        switch (action) {
        case Scheduler::TaskControl::Checkpoint:
            task.report.checkpoint = checkpointToken(task.done);
            break;
        case Scheduler::TaskControl::Throttle:
            task.report.throttled = true;
            break;
        case Scheduler::TaskControl::Unthrottle:
            task.report.throttled = false;
            break;
        case Scheduler::TaskControl::Stop:
            remove(found, Scheduler::TaskState::Stopped, "control");
            break;
        }
    }
    updateSpeeds();
}

// ---- Starts ----

Common::Result<Common::Done> WorkerState::checkStart(const Common::TaskId& task, const Common::WorkerBootId& boot,
    Common::WorkerTime startBy, const Common::Resources& declared) const
{
    if (boot != m_settings.boot)
        return refusal(ErrorCode::WorkerRebooted, "the worker has another boot id");
    if (toWorkerTime(m_advancedTo) >= startBy)
        return refusal(ErrorCode::StartTooLate, "the start deadline has passed");
    if (m_seen.count(task) > 0 || m_running.count(task) > 0 || m_ended.count(task) > 0)
        return refusal(ErrorCode::DuplicateId, "a task with this id was started before");
    if (m_faults.refuseStarts)
        return refusal(ErrorCode::WorkerFull, "starts are refused by a fault");
    Common::Resources wanted = m_declaredTotal;
    wanted += declared;
    if (m_settings.refuseWhenFull && !Common::fits(wanted, m_settings.capacity))
        return refusal(ErrorCode::WorkerFull, "not enough free capacity");
    return Common::Done {};
}

void WorkerState::add(const Common::TaskId& id, Common::WorkerTime startBy, Running task)
{
    const Common::WorkerTime forgetAt = startBy + seenRetention;
    m_seen[id] = forgetAt;
    m_seenOrder.emplace_back(forgetAt, id);
    task.report.task = id;
    task.failsEarly = m_faults.failAll;
    if (task.failsEarly)
        task.total = std::min(task.total, task.done + earlyFailureMicroseconds);
    const auto added = m_running.emplace(id, std::move(task)).first;
    m_declaredTotal += added->second.report.declared;
    updateSpeeds();
    writeToJournal(JournalEvent::Start, added->second, {});
    recordPeak();
}

int64_t WorkerState::drawRunTime(const TaskWork& work)
{
    const int64_t run = std::max<int64_t>(work.runMilliseconds, 0) * microsecondsPerMillisecond;
    if (work.spreadPercent <= 0)
        return run;
    std::uniform_int_distribution<int64_t> percent(-work.spreadPercent, work.spreadPercent);
    return std::max<int64_t>(run + run * percent(m_random) / 100, 0);
}

// ---- Time ----

void WorkerState::advance()
{
    const Common::MonotonicTime now = m_clock();
    // Each end changes the speed of the remaining tasks, so progress is computed from one end to the next.
    for (auto next = nextEvent(); next && *next <= now; next = nextEvent()) {
        const Common::MonotonicTime at = std::max(*next, m_advancedTo);
        addProgress(at - m_advancedTo);
        m_advancedTo = at;
        endDueTasks(at);
    }
    if (now > m_advancedTo) {
        addProgress(now - m_advancedTo);
        m_advancedTo = now;
    }
    const Common::WorkerTime reading = toWorkerTime(now);
    for (auto claim = m_claims.begin(); claim != m_claims.end();)
        claim = claim->second.expiresAt <= reading ? m_claims.erase(claim) : std::next(claim);
    for (auto task = m_ended.begin(); task != m_ended.end();)
        task = task->second.forgetAt <= now ? m_ended.erase(task) : std::next(task);
    while (!m_seenOrder.empty() && m_seenOrder.front().first <= reading) {
        m_seen.erase(m_seenOrder.front().second);
        m_seenOrder.pop_front();
    }
}

std::optional<Common::MonotonicTime> WorkerState::nextEvent() const
{
    std::optional<Common::MonotonicTime> next;
    for (const auto& [id, task] : m_running) {
        Common::MonotonicTime at = endOf(task);
        if (task.leaseExpiresAt)
            at = std::min(at, *task.leaseExpiresAt);
        next = std::min(next.value_or(at), at);
    }
    return next;
}

Common::MonotonicTime WorkerState::endOf(const Running& task) const
{
    const int64_t left = task.total - task.done;
    const int64_t speed = std::max<int64_t>(task.speedPerMille, 1);
    return m_advancedTo + Common::Duration((left * fullSpeed + speed - 1) / speed);
}

void WorkerState::addProgress(Common::Duration elapsed)
{
    for (auto& [id, task] : m_running)
        task.done = std::min(task.total, task.done + elapsed.count() * task.speedPerMille / fullSpeed);
}

void WorkerState::endDueTasks(Common::MonotonicTime at)
{
    for (auto next = m_running.begin(); next != m_running.end();) {
        const auto task = next++;
        const bool complete = endOf(task->second) <= at;
        const bool leaseExpired = task->second.leaseExpiresAt && *task->second.leaseExpiresAt <= at;
        const bool failed = task->second.work.fails || task->second.failsEarly;
        if (complete)
            remove(task, failed ? Scheduler::TaskState::Failed : Scheduler::TaskState::Finished, {});
        else if (leaseExpired)
            remove(task, Scheduler::TaskState::Stopped, "lease");
    }
    updateSpeeds();
}

void WorkerState::remove(RunningTasks::iterator found, Scheduler::TaskState state, const std::string& reason)
{
    Running task = std::move(found->second);
    m_running.erase(found);
    m_declaredTotal -= task.report.declared;
    task.report = reportOf(task);
    task.report.state = state;
    const JournalEvent event = state == Scheduler::TaskState::Finished ? JournalEvent::Finish
        : state == Scheduler::TaskState::Failed                        ? JournalEvent::Fail
                                                                       : JournalEvent::Stop;
    writeToJournal(event, task, reason);
    if (task.ended) {
        task.ended(state == Scheduler::TaskState::Finished);
        return;
    }
    m_ended[task.report.task] = Ended { task.report, m_advancedTo + endedTaskRetention };
}

void WorkerState::updateClaim(const Scheduler::SyncRequest& request)
{
    if (request.withdrawClaim) {
        m_claims.erase(request.daemon);
        return;
    }
    if (!request.claimTerm)
        return;
    const Common::WorkerTime now = toWorkerTime(m_advancedTo);
    Scheduler::WorkerClaim& claim = m_claims[request.daemon];
    const bool known = !claim.daemon.empty() && claim.term == *request.claimTerm;
    claim.daemon = request.daemon;
    claim.address = request.address;
    claim.term = *request.claimTerm;
    claim.madeAt = known ? claim.madeAt : now;
    claim.expiresAt = now + request.claimTimeToLive;
}

// ---- Interference ----

Common::Resources WorkerState::useOf(const Running& task) const
{
    Common::Resources used = task.report.declared;
    used.milliCores = task.work.milliCores.value_or(used.milliCores);
    used.memoryMegabytes = task.work.memoryMegabytes.value_or(used.memoryMegabytes);
    if (task.report.throttled)
        used.milliCores /= throttleDivisor;
    return used;
}

int64_t WorkerState::speedOf(const Running& task) const
{
    const int64_t ownNoise = task.report.throttled ? task.work.noise / throttleDivisor : task.work.noise;
    const int64_t felt = (m_noiseTotal - ownNoise) * task.work.sensitivityPercent / 100;
    int64_t speed = fullSpeed * 100 / (100 + std::max<int64_t>(felt, 0));
    speed = slowedByOverload(speed, m_usedTotal.milliCores, m_settings.capacity.milliCores);
    speed = slowedByOverload(speed, m_usedTotal.memoryMegabytes, m_settings.capacity.memoryMegabytes);
    if (task.report.throttled)
        speed /= throttleDivisor;
    return std::max<int64_t>(speed, 1);
}

void WorkerState::updateSpeeds()
{
    m_usedTotal = {};
    m_noiseTotal = 0;
    for (const auto& [id, task] : m_running) {
        m_usedTotal += useOf(task);
        m_noiseTotal += task.report.throttled ? task.work.noise / throttleDivisor : task.work.noise;
    }
    const Common::WorkerTime now = toWorkerTime(m_advancedTo);
    const Common::WorkerTime visible { now.milliseconds - m_settings.usageLag.count() };
    for (auto& [id, task] : m_running) {
        task.speedPerMille = speedOf(task);
        const Common::Resources used = useOf(task);
        const bool changed = task.samples.empty() || task.samples.back().speedPerMille != task.speedPerMille
            || !(task.samples.back().used == used);
        if (changed)
            task.samples.push_back(Sample { now, used, task.speedPerMille });
        while (task.samples.size() > 1 && task.samples[1].since <= visible)
            task.samples.pop_front();
    }
}

Scheduler::TaskReport WorkerState::reportOf(const Running& task) const
{
    Scheduler::TaskReport report = task.report;
    if (task.leaseExpiresAt)
        report.leaseExpiresAt = toWorkerTime(*task.leaseExpiresAt);
    const Common::WorkerTime visible { toWorkerTime(m_advancedTo).milliseconds - m_settings.usageLag.count() };
    for (const Sample& sample : task.samples) {
        if (sample.since > visible)
            break;
        report.used = sample.used;
        report.speedPerMille = sample.speedPerMille;
        report.sampledAt = visible;
    }
    return report;
}

// ---- Journal ----

void WorkerState::recordPeak()
{
    const Common::Resources declared = Common::largerOf(m_declaredPeak, m_declaredTotal);
    const Common::Resources used = Common::largerOf(m_usedPeak, m_usedTotal);
    if (declared == m_declaredPeak && used == m_usedPeak)
        return;
    m_declaredPeak = declared;
    m_usedPeak = used;
    JournalEntry entry;
    entry.event = JournalEvent::Peak;
    entry.clock = toWorkerTime(m_advancedTo);
    entry.declared = m_declaredTotal;
    entry.used = m_usedTotal;
    m_journal(entry);
}

void WorkerState::writeToJournal(JournalEvent event, const Running& task, const std::string& reason)
{
    JournalEntry entry;
    entry.event = event;
    entry.task = task.report.task;
    entry.kind = task.report.kind;
    entry.clock = toWorkerTime(m_advancedTo);
    entry.declared = task.report.declared;
    entry.used = useOf(task);
    entry.doneMilliseconds = task.done / microsecondsPerMillisecond;
    entry.reason = reason;
    entry.echo = task.work.echo;
    m_journal(entry);
}

} // namespace StandIns
