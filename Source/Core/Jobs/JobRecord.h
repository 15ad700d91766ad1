// A job as it is stored: the submission and the progress of its tasks.
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
    /// Progress of the tasks of one occurrence, indexed by step and then by task.
    using OccurrenceProgress = std::vector<std::vector<TaskProgress>>;

    Common::JobId id;
    JobPolicy policy;
    JobSpec spec;
    /// Wall-clock time of the accepting host, in milliseconds.
    int64_t acceptedMilliseconds = 0;
    /// Wall-clock time of the owner when the job reached a final phase, in milliseconds; 0 before.
    int64_t finishedMilliseconds = 0;
    JobPhase phase = JobPhase::Queued;
    /// Why the job failed, for operators; empty: a task used up its attempts, or the job hasn't failed.
    std::string failureReason;
    /// Cells that took over some of the tasks. Each stores them in a record of its own, a part.
    std::set<std::string> partCells;
    /// Whether this record is such a part. Another cell accepts, shows and cancels the job.
    bool isPart = false;
    /// That cell, to which a part returns tasks that have ended; empty if the record isn't a part, and in parts that
    /// hosts of an earlier version created.
    std::string homeCell;
    /// Number of times that tasks were transferred to other cells; the transfers are numbered by it.
    uint32_t transfersSent = 0;
    /// Numbers of the transfers received from each cell, which may arrive in any order. One that is read again is
    /// ignored.
    std::map<std::string, std::set<uint32_t>> transfersReceived;
    std::set<uint32_t> finishedOccurrences;
    /// Progress of the occurrences that have begun and aren't finished.
    std::map<uint32_t, OccurrenceProgress> progress;

    /// Returns the record as JSON. The payload and progress of a final job are left out, and the steps of a completed
    /// one. A failed or cancelled job keeps its steps, since runs of it that have yet to be stopped still hold the
    /// resources that the steps declare.
    std::string encode() const;
    /// Fails with ProtocolError if the text isn't a job record.
    static Common::Result<JobRecord> decode(std::string_view text);
};

/// Only what was submitted (id, policy, spec) and the time of acceptance, as peers forward it.
nlohmann::json submissionToJson(const JobRecord&);
/// Fails with ProtocolError if the JSON isn't a submission.
Common::Result<JobRecord> submissionFromJson(const nlohmann::json&);

} // namespace Jobs
