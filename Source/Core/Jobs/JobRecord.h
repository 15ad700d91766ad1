// A job as the store keeps it.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Jobs/JobPhase.h"
#include "Jobs/JobPolicy.h"
#include "Jobs/JobSpec.h"
#include "Jobs/TaskProgress.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Jobs {

struct JobRecord {
    /// Tasks of one occurrence: step by step, task by task.
    using OccurrenceProgress = std::vector<std::vector<TaskProgress>>;

    Common::JobId id;
    JobPolicy policy;
    JobSpec spec;
    /// Wall clock of the accepting host, in milliseconds.
    int64_t acceptedMilliseconds = 0;
    /// Wall clock of the owner when the job became final, in milliseconds; 0 before.
    int64_t finishedMilliseconds = 0;
    JobPhase phase = JobPhase::Queued;
    /// Cells that have taken over some of the long-running tasks, each with a record of its own.
    std::set<std::string> partCells;
    /// Whether this is such a record: the job is accepted, shown and cancelled by another cell.
    bool isPart = false;
    /// Times that tasks were given to other cells; numbers the gifts.
    uint32_t transfersSent = 0;
    /// The last gift of tasks that came from each cell. One that is read again changes nothing.
    std::map<std::string, uint32_t> transfersReceived;
    std::set<uint32_t> finishedOccurrences;
    /// Occurrences that have begun and aren't finished.
    std::map<uint32_t, OccurrenceProgress> progress;

    /// A final job is written without payload and progress. One that didn't complete keeps its steps, since runs of it
    /// that still have to be stopped hold room by them.
    std::string encode() const;
    static Common::Result<JobRecord> decode(std::string_view text);
};

/// The submission part alone (id, terms, spec), as peers pass it on.
nlohmann::json submissionToJson(const JobRecord&);
Common::Result<JobRecord> submissionFromJson(const nlohmann::json&);

} // namespace Jobs
