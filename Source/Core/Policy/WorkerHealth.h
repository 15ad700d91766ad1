// Tells workers that fail what they are given from work that fails wherever it runs.
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
/// fails at its usual rate" (a cumulative sum test). A job that failed on several workers therefore hardly counts
/// against the next one, and a quick failure counts as much as a slow one.
/// Invariant: no worker is ejected that would bring the ejected ones, with those on probation, above
/// `maximumEjectedPercent` of the known workers.
class WorkerHealth {
public:
    struct Settings {
        uint32_t maximumEjectedPercent = 30;
        /// Ejects above this score: five failures in a row of work that usually succeeds.
        double ejectionScore = 12;
        Common::Duration firstEjection = std::chrono::seconds(10);
        Common::Duration longestEjection = std::chrono::minutes(10);
        /// Time between the first two tasks on probation; halves with each success.
        Common::Duration probationInterval = std::chrono::seconds(2);
        uint32_t probationSuccesses = 6;
        /// Bound on the subjects remembered; those not seen for long are forgotten.
        size_t maximumSubjects = 20000;
        /// Distinct workers on which a subject without any success has to fail to be called poison.
        uint32_t poisonWorkers = 3;
    };
    enum class Verdict {
        Unchanged,
        Ejected,
        /// Work goes there again without restraint.
        Readmitted,
    };

    WorkerHealth();
    explicit WorkerHealth(Settings);

    void add(const Common::WorkerId&);
    void remove(const Common::WorkerId&);
    /// `subject` is the job's id or the service's name. `ok`: the work ended well. Cancelled or stopped work isn't
    /// told.
    Verdict recordOutcome(const Common::WorkerId&, const std::string& subject, bool ok, Common::MonotonicTime now);
    /// Work was sent there; spaces the tasks of a worker on probation.
    void recordStart(const Common::WorkerId&, Common::MonotonicTime now);
    /// Nothing is heard from the worker: it gets no work until `markReachable`.
    void markSilent(const Common::WorkerId&);
    void markReachable(const Common::WorkerId&);

    /// Whether a new task may go there now.
    bool admits(const Common::WorkerId&, Common::MonotonicTime now) const;
    /// False: every worker admits work.
    bool anyRestricted() const { return m_ejected > 0 || m_silent > 0; }
    /// Whether the subject failed on enough distinct workers, and nowhere succeeded, to be given up.
    bool isPoison(const std::string& subject) const;
    size_t ejectedCount() const { return m_ejected; }
    size_t workerCount() const { return m_workers.size(); }

private:
    void setSilent(const Common::WorkerId&, bool);

    struct Worker {
        /// Ejected until a time, then on probation; work goes there without restraint otherwise.
        bool ejected = false;
        bool isSilent = false;
        /// Logarithm of the likelihood that the worker is bad against that it is good.
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
    /// Outcomes of one kind. A failure on one of the workers of the last few counted failures isn't counted, so that a
    /// few bad workers can't make good work look bad.
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

    /// The record that the subject belongs to; none while it has not failed, or after a success.
    static std::optional<size_t> afterFailure(const Subject&);
    double assumedFailureRate(const Subject&) const;
    static void count(Record&, size_t workerHash, bool ok);
    double usualFailureRate(const Subject&) const;
    double evidence(const Worker&, const Subject&, const std::string& name, bool ok) const;
    void learn(Worker&, Subject&, size_t workerHash, bool ok);
    Subject& subjectNamed(const std::string&);
    bool mayEject() const;
    void eject(Worker&, Common::MonotonicTime now) const;
    Verdict recordTrial(Worker&, const Subject&, bool ok, Common::MonotonicTime now);

    Settings m_settings;
    std::unordered_map<Common::WorkerId, Worker> m_workers;
    /// Two generations: when the younger is full it takes the place of the older.
    std::unordered_map<std::string, Subject> m_subjects;
    std::unordered_map<std::string, Subject> m_olderSubjects;
    /// Outcomes of work that had failed on one, or on more, other workers without any success: it is likely to fail
    /// again.
    std::array<Record, 2> m_afterFailure;
    /// Sum of the workers' failure rates. The mean over workers, not over outcomes, is what is usual, since a bad
    /// worker ends more tasks than a good one.
    double m_failureRates = 0;
    size_t m_ejected = 0;
    size_t m_silent = 0;
};

} // namespace Policy
