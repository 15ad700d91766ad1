// The durable state of one shard: jobs and intents. It is built from deltas and written to and read from snapshots.
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
    /// Applies a delta. Deltas about dropped jobs are ignored: a successor may replay some from before a job was
    /// dropped.
    void apply(const LedgerDelta&);

    /// Null if the job is unknown.
    const JobRecord* job(const Common::JobId&) const;
    const std::unordered_map<Common::JobId, JobRecord>& jobs() const { return m_jobs; }
    size_t openJobs() const { return m_openJobs; }
    bool hasIntent(const Common::RequestId& request) const { return m_intents.contains(request); }
    size_t intents() const { return m_intents.size(); }

    /// Drops the intents that were added before `oldestMilliseconds` of wall-clock time, and returns their ids.
    std::vector<Common::RequestId> pruneIntents(int64_t oldestMilliseconds);
    /// Drops the jobs that ended before `oldestMilliseconds` of wall-clock time and the oldest ended ones beyond
    /// `maximumEnded`, and returns their ids.
    std::vector<Common::JobId> pruneJobs(int64_t oldestMilliseconds, size_t maximumEnded);

    /// Returns the whole state, one record per line, in parts of at most `maximumBytes`. A longer record is a part of
    /// its own.
    std::vector<std::string> snapshot(size_t maximumBytes) const;
    /// Adds the records of one part. Fails with ProtocolError if a record is malformed.
    Common::Result<Common::Done> load(const std::string& part);

private:
    struct Applier;

    JobRecord* openJob(const Common::JobId&);
    void addJob(JobRecord);
    void addIntent(const Common::RequestId&, int64_t atMilliseconds);
    void loadLine(const std::string& line);

    std::unordered_map<Common::JobId, JobRecord> m_jobs;
    size_t m_openJobs = 0;
    /// In the order in which the jobs ended; may contain jobs that were dropped or submitted again.
    std::deque<Common::JobId> m_ended;
    std::unordered_map<Common::RequestId, int64_t> m_intents;
    /// In the order in which the intents were added; may contain intents that were removed.
    std::deque<std::pair<int64_t, Common::RequestId>> m_intentOrder;
};

} // namespace Ledger
