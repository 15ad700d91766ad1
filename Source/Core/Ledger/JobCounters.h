// Metrics of jobs and their attempts, shared by all job shards of a process.
#pragma once

#include "Common/Metrics.h"
#include "Ledger/JobAttempt.h"
#include "Ledger/JobState.h"

#include <string>

namespace Ledger {

class JobCounters {
public:
    explicit JobCounters(Common::Metrics& metrics)
        : m_metrics(metrics)
        , accepted(metrics.counter("lavendercart_jobs_accepted_total", "Jobs that became durable"))
        , refused(metrics.counter("lavendercart_jobs_refused_total", "Submissions that were refused"))
        , intended(metrics.counter("lavendercart_job_attempts_total", "Attempts that became durable"))
        , noWorker(metrics.counter("lavendercart_job_no_room_total", "Reservations that found no room"))
        , strayStops(metrics.counter("lavendercart_job_stray_tasks_total", "Resolved attempts that were seen running"))
    {
    }

    void countJobEnd(JobState state)
    {
        m_metrics
            .counter("lavendercart_jobs_ended_total", "Jobs by how they ended",
                { { "state", std::string(jobStateName(state)) } })
            .Increment();
    }
    void countAttemptEnd(AttemptEnd end)
    {
        m_metrics
            .counter("lavendercart_job_attempts_ended_total", "Attempts by how they ended",
                { { "end", std::string(attemptEndName(end)) } })
            .Increment();
    }

private:
    Common::Metrics& m_metrics;

public:
    prometheus::Counter& accepted;
    prometheus::Counter& refused;
    prometheus::Counter& intended;
    prometheus::Counter& noWorker;
    prometheus::Counter& strayStops;
};

} // namespace Ledger
