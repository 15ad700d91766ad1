// Admits requests by their estimated wait and orders the queue by priority and latest start time.
#include "Policy/AdmissionQueue.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>

namespace Policy {

using Common::Duration;
using Common::ErrorCode;
using Common::Failure;
using Common::MonotonicTime;
using Scheduler::Profile;

namespace {

    /// Relative shares of the dispatches while all priorities have requests waiting, from Low to Urgent.
    constexpr std::array<uint64_t, 4> classWeights { 1, 4, 32, 256 };
    constexpr uint64_t strideUnit = 1 << 16;

    constexpr Duration longestEstimate = std::chrono::hours(1);

    uint64_t stride(size_t priorityClass) { return strideUnit / classWeights[priorityClass]; }

    size_t classOf(const QueuedRequest& request) { return static_cast<size_t>(request.priority); }

    Duration durationFromSeconds(double value)
    {
        const double longest = std::chrono::duration<double>(longestEstimate).count();
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(value, longest)));
    }

    /// A pseudo-random number from 0 to 1, derived from the request id and the time.
    double uniformFraction(const Common::RequestId& id, MonotonicTime now)
    {
        constexpr double range = 1 << 20;
        const uint64_t mixed = Common::stableHash(id.value()) + 0x9E3779B97F4A7C15ULL * now.time_since_epoch().count();
        return static_cast<double>((mixed ^ (mixed >> 29)) % (1 << 20)) / range;
    }

    const char* describe(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::NoConfiguration:
            return "no configuration is known yet";
        case ErrorCode::UnknownProfile:
            return "the profile is not in the configuration";
        case ErrorCode::DeadlinePassed:
            return "the deadline has passed";
        case ErrorCode::DuplicateId:
            return "a request with this id is waiting";
        case ErrorCode::QuotaExceeded:
            return "the team has as many requests under way as its quota allows";
        case ErrorCode::DeadlineUnreachable:
            return "the answer would come after the deadline";
        default:
            return "the queue is full";
        }
    }

} // namespace

AdmissionQueue::AdmissionQueue(Settings settings)
    : m_settings(settings)
{
}

void AdmissionQueue::setConfig(std::shared_ptr<const Scheduler::ClusterConfig> config)
{
    m_config = std::move(config);
    std::erase_if(m_profiles, [this](const auto& entry) { return !entry.second.queued && !profile(entry.first); });
}

AdmissionQueue::Offer AdmissionQueue::offer(const QueuedRequest& request, MonotonicTime now)
{
    const Key key { latestStart(request, now), ++m_lastSequence };
    if (std::optional<Failure> failure = checkAdmission(request, key, now))
        return Refused { std::move(*failure) };
    insert(request, key, now);
    ++m_underWay[request.team];
    return Admitted {};
}

std::optional<QueuedRequest> AdmissionQueue::takeNext(MonotonicTime now)
{
    const std::optional<size_t> next = nextClass(now);
    if (!next)
        return std::nullopt;
    PriorityClass& priorityClass = m_classes[*next];
    const QueuedRequest request = priorityClass.entries.lower_bound(Key { now, 0 })->second;
    m_virtualTime = priorityClass.pass;
    priorityClass.pass += stride(*next);
    m_drainRate.onDispatched(now);
    erase(request.id, now);
    return request;
}

std::vector<Common::RequestId> AdmissionQueue::dropExpired(MonotonicTime now)
{
    std::vector<Common::RequestId> dropped;
    for (PriorityClass& priorityClass : m_classes) {
        while (!priorityClass.entries.empty() && priorityClass.entries.begin()->first.first < now) {
            const QueuedRequest& first = priorityClass.entries.begin()->second;
            dropped.push_back(first.id);
            releaseTeamSlot(first.team);
            erase(dropped.back(), now);
        }
    }
    return dropped;
}

bool AdmissionQueue::cancel(const Common::RequestId& id, MonotonicTime now)
{
    const auto position = m_byId.find(id);
    if (position == m_byId.end())
        return false;
    releaseTeamSlot(m_classes[position->second.priorityClass].entries.find(position->second.key)->second.team);
    erase(Common::RequestId(id), now);
    return true;
}

void AdmissionQueue::putBack(const QueuedRequest& request, MonotonicTime now)
{
    if (m_byId.contains(request.id))
        return;
    const size_t index = classOf(request);
    m_drainRate.undoDispatch();
    insert(request, Key { latestStart(request, now), ++m_lastSequence }, now);
    PriorityClass& priorityClass = m_classes[index];
    priorityClass.pass -= std::min(priorityClass.pass, stride(index));
}

void AdmissionQueue::onCompleted(
    const Common::ProfileName& name, const Common::TeamName& team, Duration runTime, bool answered, MonotonicTime now)
{
    releaseTeamSlot(team);
    if (!profile(name))
        return;
    RunTimeEstimate& estimate = m_profiles[name].runTime;
    // An unanswered request was given up early: it shows only that the run time is longer than that.
    if (answered || runTime > estimate.value(now))
        estimate.add(runTime, now);
}

std::optional<MonotonicTime> AdmissionQueue::nextExpiry() const
{
    std::optional<MonotonicTime> next;
    for (const PriorityClass& priorityClass : m_classes) {
        if (priorityClass.entries.empty())
            continue;
        const MonotonicTime expiry = priorityClass.entries.begin()->first.first + Duration(1);
        next = next ? std::min(*next, expiry) : expiry;
    }
    return next;
}

uint32_t AdmissionQueue::underWay(const Common::TeamName& team) const
{
    const auto found = m_underWay.find(team);
    return found == m_underWay.end() ? 0 : found->second;
}

Duration AdmissionQueue::runTime(const Common::ProfileName& name, MonotonicTime now) const
{
    const auto found = m_profiles.find(name);
    return found == m_profiles.end() ? Duration::zero() : found->second.runTime.value(now);
}

Duration AdmissionQueue::estimatedWait(Scheduler::Priority priority, MonotonicTime now) const
{
    const auto index = static_cast<size_t>(priority);
    return waitBehind(index, m_classes[index].entries.size(), now);
}

std::optional<Failure> AdmissionQueue::checkAdmission(const QueuedRequest& request, const Key& key, MonotonicTime now)
{
    const auto refuse = [&](ErrorCode code, std::optional<Duration> comeBack) {
        return Failure { code, describe(code), comeBack };
    };
    if (!m_config)
        return refuse(ErrorCode::NoConfiguration, retryAfter(request.id, now));
    const Profile* rules = profile(request.profile);
    if (!rules)
        return refuse(ErrorCode::UnknownProfile, std::nullopt);
    if (request.deadline <= now)
        return refuse(ErrorCode::DeadlinePassed, std::nullopt);
    if (m_byId.contains(request.id))
        return refuse(ErrorCode::DuplicateId, std::nullopt);
    const auto team = m_config->teams.find(request.team);
    const uint32_t limit = team == m_config->teams.end() ? 0 : team->second.maximumConcurrentRequests;
    if (limit > 0 && underWay(request.team) >= limit)
        return refuse(ErrorCode::QuotaExceeded, retryAfter(request.id, now));
    if (m_byId.size() >= m_settings.maximumQueued || m_profiles[request.profile].queued >= rules->maximumQueued)
        return refuse(ErrorCode::Overloaded, retryAfter(request.id, now));
    if (const std::optional<ErrorCode> code = checkWait(request, key, now))
        return refuse(*code, retryAfter(request.id, now));
    return std::nullopt;
}

std::optional<ErrorCode> AdmissionQueue::checkWait(
    const QueuedRequest& request, const Key& key, MonotonicTime now) const
{
    const size_t index = classOf(request);
    const PriorityClass& priorityClass = m_classes[index];
    const size_t expired = priorityClass.entries.order_of_key(Key { now, 0 });
    const size_t before = priorityClass.entries.order_of_key(key);
    const Duration wait = waitBehind(index, before - std::min(before, expired), now);
    if (now + wait + expectedRunTime(request, now) > request.deadline)
        return ErrorCode::DeadlineUnreachable;
    if (wait > allowedWait(index, *profile(request.profile), now))
        return ErrorCode::Overloaded;
    return std::nullopt;
}

const Profile* AdmissionQueue::profile(const Common::ProfileName& name) const
{
    if (!m_config)
        return nullptr;
    const auto found = m_config->profiles.find(name);
    return found == m_config->profiles.end() ? nullptr : &found->second;
}

Duration AdmissionQueue::expectedRunTime(const QueuedRequest& request, MonotonicTime now) const
{
    const auto found = m_profiles.find(request.profile);
    if (found == m_profiles.end() || !found->second.runTime.isKnown())
        return request.expectedRunTime;
    return found->second.runTime.value(now);
}

MonotonicTime AdmissionQueue::latestStart(const QueuedRequest& request, MonotonicTime now) const
{
    const MonotonicTime byDeadline = request.deadline - expectedRunTime(request, now);
    const Profile* rules = profile(request.profile);
    return rules ? std::min(byDeadline, request.arrival + rules->maximumQueueTime) : byDeadline;
}

Duration AdmissionQueue::waitBehind(size_t priorityClass, size_t ahead, MonotonicTime now) const
{
    const std::optional<double> rate = m_drainRate.perSecond(now);
    if (ahead == 0 || !rate)
        return Duration::zero();
    uint64_t weights = 0;
    size_t others = 0;
    for (size_t index = 0; index < classCount; ++index) {
        if (index == priorityClass || m_classes[index].entries.empty())
            continue;
        weights += classWeights[index];
        others += m_classes[index].entries.size();
    }
    const uint64_t own = classWeights[priorityClass];
    const double share = static_cast<double>(own) / static_cast<double>(own + weights);
    // The class gets its share of the rate while others have work; the wait never exceeds the time to empty the queue.
    const double byShare = static_cast<double>(ahead) / share;
    const double behindAll = static_cast<double>(ahead + others);
    constexpr double slowestRate = 1e-3;
    return durationFromSeconds(std::min(byShare, behindAll) / std::max(*rate, slowestRate));
}

Duration AdmissionQueue::allowedWait(size_t index, const Profile& rules, MonotonicTime now) const
{
    const PriorityClass& priorityClass = m_classes[index];
    const bool overloaded
        = !priorityClass.entries.empty() && now - priorityClass.waitingSince >= m_settings.overloadInterval;
    if (!overloaded)
        return rules.maximumQueueTime;
    return rules.maximumQueueTime * m_settings.standingWaitPercent / 100;
}

Duration AdmissionQueue::retryAfter(const Common::RequestId& id, MonotonicTime now)
{
    // Each refused caller gets the next free time slot, so that callers retry at the rate that can be served.
    const double rate = m_drainRate.perSecond(now).value_or(0);
    const Duration interval = rate > 0 ? durationFromSeconds(1 / rate) : m_settings.shortestRetryAfter;
    const MonotonicTime latest = now + m_settings.longestRetryAfter;
    m_retriesScheduledUntil = std::min(latest, std::max(m_retriesScheduledUntil, now) + interval);
    const Duration delay = m_retriesScheduledUntil - now;
    const auto jittered = std::chrono::duration_cast<Duration>(delay * (0.5 + 0.5 * uniformFraction(id, now)));
    return std::max(jittered, m_settings.shortestRetryAfter);
}

void AdmissionQueue::insert(const QueuedRequest& request, const Key& key, MonotonicTime now)
{
    const size_t index = classOf(request);
    PriorityClass& priorityClass = m_classes[index];
    if (priorityClass.entries.empty()) {
        priorityClass.pass = std::max(priorityClass.pass, m_virtualTime);
        priorityClass.waitingSince = now;
    }
    priorityClass.entries.insert({ key, request });
    m_byId.emplace(request.id, QueuePosition { index, key });
    ++m_profiles[request.profile].queued;
    m_drainRate.setBacklogged(true, now);
}

void AdmissionQueue::erase(const Common::RequestId& id, MonotonicTime now)
{
    const auto position = m_byId.find(id);
    const auto [index, key] = position->second;
    Entries& entries = m_classes[index].entries;
    const auto entry = entries.find(key);
    --m_profiles[entry->second.profile].queued;
    entries.erase(entry);
    m_byId.erase(position);
    if (m_byId.empty())
        m_drainRate.setBacklogged(false, now);
}

void AdmissionQueue::releaseTeamSlot(const Common::TeamName& team)
{
    const auto found = m_underWay.find(team);
    if (found != m_underWay.end() && --found->second == 0)
        m_underWay.erase(found);
}

std::optional<size_t> AdmissionQueue::nextClass(MonotonicTime now) const
{
    std::optional<size_t> best;
    uint64_t earliest = 0;
    // From the highest priority down, so that the highest priority wins ties.
    for (size_t index = classCount; index-- > 0;) {
        const PriorityClass& priorityClass = m_classes[index];
        if (priorityClass.entries.lower_bound(Key { now, 0 }) == priorityClass.entries.end())
            continue;
        // Comparing the ends of turns keeps a class that has just become non-empty behind a more urgent one.
        const uint64_t turnEnd = priorityClass.pass + stride(index);
        if (best && turnEnd >= earliest)
            continue;
        best = index;
        earliest = turnEnd;
    }
    return best;
}

} // namespace Policy
