// Distinguishes bad workers, which fail most of their work, from bad work, which fails on every worker.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Policy {

/// Each outcome moves a worker's score by the likelihood ratio of "this worker fails most of its work" to "the subject
/// fails at its usual rate" (a cumulative sum test). A failure of a job that already failed on several workers
/// therefore hardly counts against the next one, and a quick failure counts as much as a slow one.
/// Invariant: no worker is ejected if that would bring the number of ejected workers, including those on probation,
/// above `maximumEjectedPercent` of the known workers.
class WorkerHealth {
public:
    struct Settings {
        uint32_t maximumEjectedPercent = 30;
        /// A worker is ejected from this score on: five consecutive failures of work that usually succeeds.
        double ejectionScore = 12;
        Common::Duration firstEjection = std::chrono::seconds(10);
        Common::Duration longestEjection = std::chrono::minutes(10);
        /// Time between the first two tasks on probation; halves with each success.
        Common::Duration probationInterval = std::chrono::seconds(2);
        uint32_t probationSuccesses = 6;
        /// Bound on the subjects remembered; those without recent outcomes are dropped first.
        size_t maximumSubjects = 20000;
        /// A subject without any success is poison once it has failed on this many distinct workers.
        uint32_t poisonWorkers = 3;
    };
    enum class Verdict {
        Unchanged,
        Ejected,
        /// The worker gets work again without restriction.
        Readmitted,
    };

    WorkerHealth();
    explicit WorkerHealth(Settings);

    void add(const Common::WorkerId&);
    void remove(const Common::WorkerId&);
    /// Records how a piece of work ended. `subject` is the job's id or the service's name; `ok`: the work succeeded.
    /// Cancelled or stopped work must not be reported. An unknown worker is ignored.
    Verdict recordOutcome(const Common::WorkerId&, const std::string& subject, bool ok, Common::MonotonicTime now);
    /// Records that work was sent to the worker, which delays the next task of a worker on probation.
    void recordStart(const Common::WorkerId&, Common::MonotonicTime now);
    /// The worker has stopped reporting: it gets no work until `markReachable`.
    void markSilent(const Common::WorkerId&);
    void markReachable(const Common::WorkerId&);

    /// Whether the worker may get a new task now; true for an unknown worker.
    bool admits(const Common::WorkerId&, Common::MonotonicTime now) const;
    /// Whether any worker is ejected, on probation or silent; if not, every worker admits work.
    bool anyRestricted() const { return m_ejected > 0 || m_silent > 0; }
    /// Whether the subject has failed on `poisonWorkers` distinct workers and never succeeded, and should be given up.
    bool isPoison(const std::string& subject) const;
    size_t ejectedCount() const { return m_ejected; }
    size_t workerCount() const { return m_workers.size(); }

private:
    void setSilent(const Common::WorkerId&, bool);

    struct Worker {
        /// True until `ejectedUntil` and then during probation; work is unrestricted otherwise.
        bool ejected = false;
        bool isSilent = false;
        /// Natural logarithm of the likelihood ratio of a bad worker to a good one.
        double score = 0;
        Common::MonotonicTime ejectedUntil;
        Common::MonotonicTime nextTrial;
        uint32_t ejections = 0;
        uint32_t trialSuccesses = 0;
        Common::MonotonicTime readmittedAt;
        std::string lastFailedSubject;
        /// Moving average over work that had not failed elsewhere.
        double failureRate = 0;
    };
    /// Decaying counts of outcomes. A failure isn't counted if its worker is among those of the last few counted
    /// failures, so that a few bad workers can't make good work look bad.
    struct Record {
        double successes = 0;
        double failures = 0;
        std::array<size_t, 4> lastFailedOn {};
        size_t nextFailedOn = 0;
    };
    struct Subject {
        Record record;
        bool everSucceeded = false;
        /// Distinct workers on which it failed, as hashes; at most `poisonWorkers`.
        std::vector<size_t> failedOn;
    };

    /// Index in `m_afterFailure` of the subject's record; nothing before its first failure or after a success.
    static std::optional<size_t> afterFailure(const Subject&);
    double assumedFailureRate(const Subject&) const;
    static void addOutcome(Record&, size_t workerHash, bool ok);
    double usualFailureRate(const Subject&) const;
    double evidence(const Worker&, const Subject&, const std::string& name, bool ok) const;
    void learn(Worker&, Subject&, size_t workerHash, bool ok);
    Subject& subjectNamed(const std::string&);
    bool mayEject() const;
    void eject(Worker&, Common::MonotonicTime now) const;
    Verdict recordTrial(Worker&, const Subject&, bool ok, Common::MonotonicTime now);

    Settings m_settings;
    std::unordered_map<Common::WorkerId, Worker> m_workers;
    /// Two generations: when the younger one is full it replaces the older one.
    std::unordered_map<std::string, Subject> m_subjects;
    std::unordered_map<std::string, Subject> m_olderSubjects;
    /// Outcomes of work that had failed on one worker, or on several, without any success: it is likely to fail again.
    std::array<Record, 2> m_afterFailure;
    /// Sum of the workers' failure rates. The usual rate is the mean over workers, not over outcomes, since a bad
    /// worker ends more tasks than a good one.
    double m_failureRates = 0;
    size_t m_ejected = 0;
    size_t m_silent = 0;
};

} // namespace Policy
