// Checks the scheduler's guarantees against what the workers run.
#pragma once

#include "Cells/LiveJob.h"
#include "Cells/TwiceJudge.h"
#include "Common/Ids.h"
#include "Jobs/JobSpec.h"
#include "Jobs/TaskName.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace CellTests {

/// Workers report each start and end as they carry it out. `faults` describes each violated guarantee.
class RunJudge {
public:
    std::vector<std::string> faults;
    /// Has its own faults.
    TwiceJudge twice;
    /// The same for a reading of the rule by which a lapse of a lease excuses ends only if it ends a run.
    TwiceJudge twiceDespiteIdleLapses;
    std::map<Common::JobId, Jobs::JobSpec> submitted;
    /// Jobs of which no task may start any more.
    std::set<Common::JobId> cancelled;
    uint64_t starts = 0;
    /// The worker of each task's last start.
    std::map<Jobs::TaskName, std::string> startedOn;

    /// Number of times that tasks crashed their workers.
    uint64_t crashes = 0;

    /// Called when a task crashes its worker.
    void crashed(const Jobs::TaskName& task)
    {
        ++crashes;
        ++m_crashes[task];
    }
    void started(const std::string& worker, const Jobs::TaskName& task, const Common::Resources& capacity)
    {
        ++starts;
        const auto job = submitted.find(task.job);
        if (job == submitted.end()) {
            faults.push_back("start of a task that was never submitted: " + text(task));
            return;
        }
        if (m_running.contains(task))
            faults.push_back(text(task) + " runs on " + m_running[task] + " and on " + worker);
        if (m_acknowledgedDone.contains(task))
            faults.push_back(text(task) + " was started after its end was acknowledged");
        else if (const auto end = m_heldEnds.find(task); end != m_heldEnds.end())
            faults.push_back(text(task) + " was started on " + worker + " although " + end->second + " holds its end");
        if (cancelled.contains(task.job))
            faults.push_back(text(task) + " was started after its job was cancelled");
        for (const uint32_t earlier : job->second.steps.at(task.step).after) {
            for (uint32_t index = 0; index < job->second.steps[earlier].taskCount; ++index) {
                if (!m_done.contains({ task.job, task.occurrence, earlier, index }))
                    faults.push_back(text(task) + " was started before step " + std::to_string(earlier));
            }
        }
        if (m_crashes[task] >= crashLimit && ++m_startsPastLimit[task] >= crashLimit)
            faults.push_back(text(task) + " was started three more times after it had crashed three workers");
        m_running[task] = worker;
        startedOn[task] = worker;
        updateWholeGangs(task, job->second.steps.at(task.step));
        Common::Resources& used = m_used[worker];
        used += counted(task);
        if (!Common::fits(used, capacity))
            faults.push_back(worker + " is over its capacity");
    }
    void gone(const std::string& worker, const Jobs::TaskName& task)
    {
        m_running.erase(task);
        m_used[worker] -= counted(task);
    }
    /// Called when a member of a gang has waited for the others for as long as the worker allows.
    void waitedForGang(const Jobs::TaskName& task, Common::AttemptNumber attempt)
    {
        if (!m_wholeGangs.contains(stepOf(task)))
            faults.push_back(text(task) + " timed out waiting for its gang, attempt " + std::to_string(attempt.value));
    }
    bool isGang(const Jobs::TaskName& task) const
    {
        const auto job = submitted.find(task.job);
        return job != submitted.end() && job->second.steps.at(task.step).gang;
    }
    void done(const std::string& worker, const Jobs::TaskName& task)
    {
        m_done.insert(task);
        m_heldEnds[task] = worker;
    }
    /// Called when a worker reboots, and when its lease has lapsed while no host can reach it: tasks whose ends it
    /// holds may be started again.
    void endsLost(const std::string& worker)
    {
        std::erase_if(m_heldEnds, [&](const auto& end) { return end.second == worker; });
    }
    /// The end of the successful run was acknowledged to the worker.
    void acknowledged(const Jobs::TaskName& task) { m_acknowledgedDone.insert(task); }
    bool wasDone(const Jobs::TaskName& task) const { return m_done.contains(task); }
    bool running(const Jobs::TaskName& task) const { return m_running.contains(task); }
    /// Number of running tasks of the job.
    size_t running(const Common::JobId& job) const
    {
        return static_cast<size_t>(
            std::count_if(m_running.begin(), m_running.end(), [&](const auto& run) { return run.first.job == job; }));
    }

    std::string summary() const
    {
        std::string all;
        for (const std::string& fault : faults)
            all += fault + "\n";
        return all;
    }

private:
    static std::string text(const Jobs::TaskName& task)
    {
        return task.job.value() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
            + std::to_string(task.index);
    }
    static Jobs::TaskName stepOf(Jobs::TaskName task)
    {
        task.index = 0;
        return task;
    }
    void updateWholeGangs(const Jobs::TaskName& task, const Jobs::StepSpec& spec)
    {
        if (!spec.gang)
            return;
        Jobs::TaskName member = task;
        bool whole = true;
        for (member.index = 0; member.index < spec.taskCount; ++member.index)
            whole = whole && m_running.contains(member);
        if (whole)
            m_wholeGangs.insert(stepOf(task));
        else
            m_wholeGangs.erase(stepOf(task));
    }
    Common::Resources counted(const Jobs::TaskName& task) const
    {
        const auto job = submitted.find(task.job);
        if (job == submitted.end())
            return {};
        const Jobs::StepSpec& step = job->second.steps.at(task.step);
        Common::Resources resources = step.resources;
        if (step.backfill)
            resources.milliCores = 0;
        return resources;
    }

    static constexpr uint64_t crashLimit = 3;

    std::map<Jobs::TaskName, uint64_t> m_crashes;
    /// Starts of tasks that had crashed `crashLimit` workers before.
    std::map<Jobs::TaskName, uint64_t> m_startsPastLimit;
    std::map<Jobs::TaskName, std::string> m_running;
    std::map<std::string, Common::Resources> m_used;
    /// Gangs, by their first members, all of whose members ran at the same time at the last start of a member.
    std::set<Jobs::TaskName> m_wholeGangs;
    std::set<Jobs::TaskName> m_done;
    std::set<Jobs::TaskName> m_acknowledgedDone;
    /// The worker on which each task has ended done, unless the end was lost there.
    std::map<Jobs::TaskName, std::string> m_heldEnds;
};

} // namespace CellTests
