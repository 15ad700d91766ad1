// Watches all workers and says which promise was broken.
#pragma once

#include "Cells/LiveJob.h"
#include "Common/Ids.h"
#include "Jobs/JobSpec.h"
#include "Jobs/TaskName.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace CellTests {

/// Sees starts and ends as the workers carry them out.
class RunJudge {
public:
    std::vector<std::string> faults;
    std::map<Common::JobId, Jobs::JobSpec> submitted;
    std::set<Common::JobId> cancelled;
    uint64_t starts = 0;

    void started(const std::string& worker, const Jobs::TaskName& task, const Common::Resources& capacity)
    {
        ++starts;
        const auto job = submitted.find(task.job);
        if (job == submitted.end()) {
            faults.push_back("unasked start of " + text(task));
            return;
        }
        if (m_running.contains(task))
            faults.push_back(text(task) + " runs on " + m_running[task] + " and on " + worker);
        if (m_notedDone.contains(task))
            faults.push_back(text(task) + " was started after its end was noted");
        for (const uint32_t earlier : job->second.steps.at(task.step).after) {
            for (uint32_t index = 0; index < job->second.steps[earlier].taskCount; ++index) {
                if (!m_done.contains({ task.job, task.occurrence, earlier, index }))
                    faults.push_back(text(task) + " was started before step " + std::to_string(earlier));
            }
        }
        m_running[task] = worker;
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
    void done(const Jobs::TaskName& task) { m_done.insert(task); }
    void noted(const Jobs::TaskName& task) { m_notedDone.insert(task); }
    bool wasDone(const Jobs::TaskName& task) const { return m_done.contains(task); }
    bool running(const Jobs::TaskName& task) const { return m_running.contains(task); }

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
    Common::Resources counted(const Jobs::TaskName& task) const
    {
        const auto job = submitted.find(task.job);
        if (job == submitted.end())
            return {};
        const Jobs::StepSpec& step = job->second.steps.at(task.step);
        Common::Resources request = step.request;
        if (step.backfill)
            request.milliCores = 0;
        return request;
    }

    std::map<Jobs::TaskName, std::string> m_running;
    std::map<std::string, Common::Resources> m_used;
    std::set<Jobs::TaskName> m_done;
    std::set<Jobs::TaskName> m_notedDone;
};

} // namespace CellTests
