// What really ran, from the workers' journals, and what of it breaks a promise.
#pragma once

#include "Common/Resources.h"
#include "Fakes/VirtualRuntime.h"
#include "Ledger/JobService.h"
#include "StandIns/JournalEntry.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace NodeTests {

class Judge {
public:
    explicit Judge(const Fakes::VirtualRuntime& world)
        : m_world(world)
    {
    }

    const std::vector<std::string>& violations() const { return m_violations; }
    const std::vector<std::string>& trace() const { return m_trace; }
    void note(const std::string& text)
    {
        m_trace.push_back(std::to_string(m_world.wallMilliseconds()) + " ms: " + text);
    }
    void violate(const std::string& text)
    {
        note("VIOLATION " + text);
        m_violations.push_back(m_trace.back());
    }

    /// These may run only once, whatever happens. Of a request the id, of a job its id.
    void runsAtMostOnce(const std::string& work) { m_once.insert(work); }
    /// From now on a start of it is a violation.
    void mustNotStartAgain(const std::string& work) { m_ended.insert(work); }
    size_t starts(const std::string& work) const
    {
        const auto found = m_starts.find(work);
        return found == m_starts.end() ? 0 : found->second;
    }
    size_t allStarts() const { return m_allStarts; }
    bool finished(const std::string& work) const { return m_everFinished.contains(work); }

    void onJournal(const std::string& worker, const StandIns::JournalEntry& entry, const Common::Resources& capacity)
    {
        if (entry.event == StandIns::JournalEvent::Peak) {
            if (!Common::fits(entry.declared, capacity))
                violate(worker + " holds " + std::to_string(entry.declared.slots) + " slots, more than it has");
            return;
        }
        const std::string work = workOf(entry);
        const std::string task = entry.task.value();
        note(worker + " " + std::string(journalEventName(entry.event)) + " " + task + " of " + work + " "
            + entry.reason);
        if (entry.event == StandIns::JournalEvent::Start)
            onStart(worker, task, work, entry.kind);
        else
            onEnd(worker, task, work, entry.event);
    }
    /// What runs there is gone, and what ended there is forgotten.
    void onReboot(const std::string& worker)
    {
        note(worker + " reboots");
        std::erase_if(m_running, [&](const auto& entry) { return entry.second.worker == worker; });
        std::erase_if(m_finishedAt, [&](const auto& entry) { return entry.second == worker; });
    }

private:
    struct Run {
        std::string worker;
        std::string work;
    };

    static std::string workOf(const StandIns::JournalEntry& entry)
    {
        if (entry.kind == Scheduler::TaskKind::Request)
            return entry.echo.value_or("?");
        const auto job = Ledger::JobService::jobOfTask(entry.task);
        return job ? job->value() : "?";
    }
    void onStart(const std::string& worker, const std::string& task, const std::string& work, Scheduler::TaskKind kind)
    {
        ++m_allStarts;
        const size_t starts = ++m_starts[work];
        if (work == "?")
            violate("a task of nobody started: " + task);
        if (m_once.contains(work) && starts > 1)
            violate(work + " runs at most once but started again");
        if (m_ended.contains(work))
            violate(work + " started after its end was told");
        if (kind == Scheduler::TaskKind::Batch)
            checkOtherAttempts(worker, work);
        m_running[task] = Run { worker, work };
    }
    void checkOtherAttempts(const std::string& worker, const std::string& job)
    {
        for (const auto& [task, run] : m_running) {
            if (run.work == job)
                violate(std::string(job)
                            .append(" started on ")
                            .append(worker)
                            .append(" while ")
                            .append(task)
                            .append(" runs on " + run.worker));
        }
        // Its report waits on that worker until the ledger has taken it.
        if (m_finishedAt.contains(job))
            violate(job + " finished on " + m_finishedAt[job] + " and started again");
    }
    void onEnd(
        const std::string& worker, const std::string& task, const std::string& work, StandIns::JournalEvent event)
    {
        m_running.erase(task);
        if (event != StandIns::JournalEvent::Finish)
            return;
        m_everFinished.insert(work);
        m_finishedAt[work] = worker;
    }

    const Fakes::VirtualRuntime& m_world;
    std::vector<std::string> m_trace;
    std::vector<std::string> m_violations;
    std::set<std::string> m_once;
    std::set<std::string> m_ended;
    std::map<std::string, size_t> m_starts;
    size_t m_allStarts = 0;
    /// By task.
    std::map<std::string, Run> m_running;
    /// By work: the worker that still remembers the end.
    std::map<std::string, std::string> m_finishedAt;
    std::set<std::string> m_everFinished;
};

} // namespace NodeTests
