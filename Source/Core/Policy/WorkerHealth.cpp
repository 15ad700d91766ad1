// Runs the cumulative sum test on each worker, and ejects and readmits workers.
#include "Policy/WorkerHealth.h"

#include <algorithm>
#include <cmath>

namespace Policy {

using Common::Duration;
using Common::MonotonicTime;

namespace {

    /// Assumed failure rate of a bad worker for any work.
    constexpr double badWorkerFailureRate = 0.9;
    constexpr double lowestUsualRate = 0.05;
    /// Assumed of work that has failed on another worker, until outcomes of such work are known.
    constexpr double rateAfterFailure = 0.5;
    /// Number of outcomes that the assumed failure rate counts for in the estimate of a subject.
    constexpr double priorWeight = 4;
    /// Weight of a new outcome in the moving average of a worker's failure rate.
    constexpr double failureRateShare = 0.1;
    /// The counts of a record are halved at this sum, so that old outcomes lose weight.
    constexpr double largestRecord = 200;
    /// Weight of a repeated failure of one job on the same worker, which says little more about the worker.
    constexpr double repeatedFailureWeight = 0.25;
    constexpr uint32_t longestBackoffShift = 10;

    size_t hashOf(const Common::WorkerId& worker) { return std::hash<Common::WorkerId>()(worker); }

} // namespace

WorkerHealth::WorkerHealth()
    : WorkerHealth(Settings {})
{
}

WorkerHealth::WorkerHealth(Settings settings)
    : m_settings(settings)
{
}

void WorkerHealth::add(const Common::WorkerId& id) { m_workers.try_emplace(id); }

void WorkerHealth::remove(const Common::WorkerId& id)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    if (found->second.ejected)
        --m_ejected;
    if (found->second.isSilent)
        --m_silent;
    m_failureRates = std::max(0.0, m_failureRates - found->second.failureRate);
    m_workers.erase(found);
}

WorkerHealth::Verdict WorkerHealth::recordOutcome(
    const Common::WorkerId& id, const std::string& subjectName, bool ok, MonotonicTime now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return Verdict::Unchanged;
    Worker& worker = found->second;
    Subject& subject = subjectNamed(subjectName);
    const double gained = evidence(worker, subject, subjectName, ok);
    const Verdict trial = worker.ejected ? recordTrial(worker, subject, ok, now) : Verdict::Unchanged;
    learn(worker, subject, hashOf(id), ok);
    if (!ok)
        worker.lastFailedSubject = subjectName;
    if (worker.ejected || trial != Verdict::Unchanged)
        return trial;
    worker.score = std::clamp(worker.score + gained, 0.0, 2 * m_settings.ejectionScore);
    if (ok || worker.score < m_settings.ejectionScore || !mayEject())
        return Verdict::Unchanged;
    ++m_ejected;
    eject(worker, now);
    return Verdict::Ejected;
}

void WorkerHealth::recordStart(const Common::WorkerId& id, MonotonicTime now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.ejected)
        return;
    Worker& worker = found->second;
    worker.nextTrial = now + m_settings.probationInterval / (int64_t { 1 } << worker.trialSuccesses);
}

void WorkerHealth::markSilent(const Common::WorkerId& id) { setSilent(id, true); }

void WorkerHealth::markReachable(const Common::WorkerId& id) { setSilent(id, false); }

void WorkerHealth::setSilent(const Common::WorkerId& id, bool silent)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || found->second.isSilent == silent)
        return;
    found->second.isSilent = silent;
    m_silent += silent ? 1 : -1;
}

bool WorkerHealth::admits(const Common::WorkerId& id, MonotonicTime now) const
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return true;
    const Worker& worker = found->second;
    if (worker.isSilent)
        return false;
    return !worker.ejected || (now >= worker.ejectedUntil && now >= worker.nextTrial);
}

bool WorkerHealth::isPoison(const std::string& name) const
{
    auto found = m_subjects.find(name);
    if (found == m_subjects.end()) {
        found = m_olderSubjects.find(name);
        if (found == m_olderSubjects.end())
            return false;
    }
    const Subject& subject = found->second;
    return !subject.everSucceeded && subject.failedOn.size() >= m_settings.poisonWorkers;
}

std::optional<size_t> WorkerHealth::afterFailure(const Subject& subject)
{
    if (subject.everSucceeded || subject.failedOn.empty())
        return std::nullopt;
    return subject.failedOn.size() == 1 ? 0 : 1;
}

void WorkerHealth::addOutcome(Record& record, size_t workerHash, bool ok)
{
    if (ok) {
        record.successes += 1;
    } else {
        auto& last = record.lastFailedOn;
        if (std::find(last.begin(), last.end(), workerHash) != last.end())
            return;
        record.failures += 1;
        last[record.nextFailedOn] = workerHash;
        record.nextFailedOn = (record.nextFailedOn + 1) % last.size();
    }
    if (record.successes + record.failures < largestRecord)
        return;
    record.successes /= 2;
    record.failures /= 2;
}

double WorkerHealth::assumedFailureRate(const Subject& subject) const
{
    const std::optional<size_t> after = afterFailure(subject);
    if (!after)
        return m_workers.empty() ? 0 : m_failureRates / static_cast<double>(m_workers.size());
    const Record& similar = m_afterFailure[*after];
    return (similar.failures + rateAfterFailure) / (similar.failures + similar.successes + 1);
}

double WorkerHealth::usualFailureRate(const Subject& subject) const
{
    const Record& own = subject.record;
    const double assumed = assumedFailureRate(subject);
    const double rate = (own.failures + priorWeight * assumed) / (own.failures + own.successes + priorWeight);
    return std::clamp(rate, lowestUsualRate, badWorkerFailureRate);
}

double WorkerHealth::evidence(const Worker& worker, const Subject& subject, const std::string& name, bool ok) const
{
    const double usual = usualFailureRate(subject);
    if (ok)
        return std::log((1 - badWorkerFailureRate) / (1 - usual));
    const double logLikelihoodRatio = std::log(badWorkerFailureRate / usual);
    const bool repeated = !subject.everSucceeded && worker.lastFailedSubject == name;
    return repeated ? logLikelihoodRatio * repeatedFailureWeight : logLikelihoodRatio;
}

void WorkerHealth::learn(Worker& worker, Subject& subject, size_t workerHash, bool ok)
{
    if (const std::optional<size_t> after = afterFailure(subject)) {
        addOutcome(m_afterFailure[*after], workerHash, ok);
    } else {
        const double change = failureRateShare * ((ok ? 0 : 1) - worker.failureRate);
        worker.failureRate += change;
        m_failureRates += change;
    }
    addOutcome(subject.record, workerHash, ok);
    if (ok) {
        subject.everSucceeded = true;
        return;
    }
    const bool known
        = std::find(subject.failedOn.begin(), subject.failedOn.end(), workerHash) != subject.failedOn.end();
    if (!known && subject.failedOn.size() < m_settings.poisonWorkers)
        subject.failedOn.push_back(workerHash);
}

WorkerHealth::Subject& WorkerHealth::subjectNamed(const std::string& name)
{
    const auto young = m_subjects.find(name);
    if (young != m_subjects.end())
        return young->second;
    if (m_subjects.size() >= m_settings.maximumSubjects / 2) {
        m_olderSubjects = std::move(m_subjects);
        m_subjects.clear();
    }
    Subject& subject = m_subjects[name];
    const auto older = m_olderSubjects.find(name);
    if (older != m_olderSubjects.end()) {
        subject = std::move(older->second);
        m_olderSubjects.erase(older);
    }
    return subject;
}

bool WorkerHealth::mayEject() const
{
    return (m_ejected + 1) * 100 <= m_settings.maximumEjectedPercent * m_workers.size();
}

void WorkerHealth::eject(Worker& worker, MonotonicTime now) const
{
    if (worker.ejections > 0 && !worker.ejected && now - worker.readmittedAt > m_settings.longestEjection)
        worker.ejections = 0;
    const uint32_t shift = std::min(worker.ejections, longestBackoffShift);
    ++worker.ejections;
    worker.ejected = true;
    worker.score = 0;
    worker.trialSuccesses = 0;
    worker.ejectedUntil
        = now + std::min(m_settings.longestEjection, m_settings.firstEjection * (int64_t { 1 } << shift));
    worker.nextTrial = worker.ejectedUntil;
}

WorkerHealth::Verdict WorkerHealth::recordTrial(Worker& worker, const Subject& subject, bool ok, MonotonicTime now)
{
    // Work sent before the ejection may still end during it and doesn't count as a trial.
    if (now < worker.ejectedUntil)
        return Verdict::Unchanged;
    if (ok) {
        if (++worker.trialSuccesses < m_settings.probationSuccesses)
            return Verdict::Unchanged;
        worker.ejected = false;
        worker.readmittedAt = now;
        --m_ejected;
        return Verdict::Readmitted;
    }
    // A failure of work that usually fails says nothing about this worker.
    constexpr double informativeRate = 0.5;
    if (usualFailureRate(subject) > informativeRate)
        return Verdict::Unchanged;
    eject(worker, now);
    return Verdict::Ejected;
}

} // namespace Policy
