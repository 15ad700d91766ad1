// The durable state of one shard: jobs and intents, built from deltas, written to and read from snapshots.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ledger/JobRecord.h"
#include "Ledger/LedgerDelta.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Ledger {

class ShardState {
public:
    /// Deltas about jobs that are gone are ignored: a successor may replay some from before a job was dropped.
    void apply(const LedgerDelta&);

    /// Null when the job isn't known.
    const JobRecord* job(const Common::JobId&) const;
    const std::unordered_map<Common::JobId, JobRecord>& jobs() const { return m_jobs; }
    size_t openJobs() const { return m_openJobs; }
    bool hasIntent(const Common::RequestId& request) const { return m_intents.contains(request); }
    size_t intents() const { return m_intents.size(); }

    /// Drops intents that were added before `oldest`, in wall-clock milliseconds.
    std::vector<Common::RequestId> pruneIntents(int64_t oldestMilliseconds);
    /// Drops jobs that ended before `oldest`, and the first ended ones beyond `maximumEnded`.
    std::vector<Common::JobId> pruneJobs(int64_t oldestMilliseconds, size_t maximumEnded);

    /// The whole state in parts of at most `maximumBytes` each, one record a line.
    std::vector<std::string> snapshot(size_t maximumBytes) const;
    /// Adds the records of one part.
    Common::Result<Common::Done> load(const std::string& part);

private:
    struct Applier;

    JobRecord* openJob(const Common::JobId&);
    void addJob(JobRecord);
    void addIntent(const Common::RequestId&, int64_t atMilliseconds);
    void loadLine(const std::string& line);

    std::unordered_map<Common::JobId, JobRecord> m_jobs;
    size_t m_openJobs = 0;
    /// In the order of their ends; may name jobs that are gone or were submitted anew.
    std::deque<Common::JobId> m_ended;
    std::unordered_map<Common::RequestId, int64_t> m_intents;
    /// In the order of their arrival; may name intents that are gone.
    std::deque<std::pair<int64_t, Common::RequestId>> m_intentOrder;
};

} // namespace Ledger
