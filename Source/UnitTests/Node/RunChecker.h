// Tracks what ran, from the workers' journals, and records violations of the scheduler's guarantees with a trace of the
// events. NodeSchedule and its workers report to it.
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

class RunChecker {
public:
    explicit RunChecker(const Fakes::VirtualRuntime& runtime)
        : m_runtime(runtime)
    {
    }

    const std::vector<std::string>& violations() const { return m_violations; }
    const std::vector<std::string>& trace() const { return m_trace; }
    void record(const std::string& text)
    {
        m_trace.push_back(std::to_string(m_runtime.wallMilliseconds()) + " ms: " + text);
    }
    void recordViolation(const std::string& text)
    {
        record("VIOLATION " + text);
        m_violations.push_back(m_trace.back());
    }

    /// From now on a second start of `work`, the id of a request or job, is a violation.
    void expectAtMostOnce(const std::string& work) { m_atMostOnce.insert(work); }
    /// From now on any start of `work` is a violation.
    void forbidFurtherStarts(const std::string& work) { m_noFurtherStarts.insert(work); }
    size_t startCount(const std::string& work) const
    {
        const auto found = m_startCounts.find(work);
        return found == m_startCounts.end() ? 0 : found->second;
    }
    size_t totalStarts() const { return m_totalStarts; }
    bool hasFinished(const std::string& work) const { return m_finished.contains(work); }

    void onJournal(const std::string& worker, const StandIns::JournalEntry& entry, const Common::Resources& capacity)
    {
        if (entry.event == StandIns::JournalEvent::Peak) {
            if (!Common::fits(entry.declared, capacity))
                recordViolation(
                    worker + " runs " + std::to_string(entry.declared.slots) + " slots, more than its capacity");
            return;
        }
        const std::string work = workOf(entry);
        const std::string task = entry.task.value();
        record(worker + " " + std::string(journalEventName(entry.event)) + " " + task + " of " + work + " "
            + entry.reason);
        if (entry.event == StandIns::JournalEvent::Start)
            onStart(worker, task, work, entry.kind);
        else
            onEnd(worker, task, work, entry.event);
    }
    /// The worker loses its running tasks and its reports of ended ones.
    void onReboot(const std::string& worker)
    {
        record(worker + " reboots");
        std::erase_if(m_running, [&](const auto& entry) { return entry.second.worker == worker; });
        std::erase_if(m_finishedOn, [&](const auto& entry) { return entry.second == worker; });
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
        ++m_totalStarts;
        const size_t starts = ++m_startCounts[work];
        if (work == "?")
            recordViolation("a task of unknown work started: " + task);
        if (m_atMostOnce.contains(work) && starts > 1)
            recordViolation(work + " may run at most once but started again");
        if (m_noFurtherStarts.contains(work))
            recordViolation(work + " started after its end was reported");
        if (kind == Scheduler::TaskKind::Batch)
            checkOtherAttempts(worker, work);
        m_running[task] = Run { worker, work };
    }
    void checkOtherAttempts(const std::string& worker, const std::string& job)
    {
        for (const auto& [task, run] : m_running) {
            if (run.work == job)
                recordViolation(std::string(job)
                                    .append(" started on ")
                                    .append(worker)
                                    .append(" while ")
                                    .append(task)
                                    .append(" runs on " + run.worker));
        }
        // The worker keeps the report of the end until the ledger has acknowledged it.
        if (m_finishedOn.contains(job))
            recordViolation(job + " hasFinished on " + m_finishedOn[job] + " and started again");
    }
    void onEnd(
        const std::string& worker, const std::string& task, const std::string& work, StandIns::JournalEvent event)
    {
        m_running.erase(task);
        if (event != StandIns::JournalEvent::Finish)
            return;
        m_finished.insert(work);
        m_finishedOn[work] = worker;
    }

    const Fakes::VirtualRuntime& m_runtime;
    std::vector<std::string> m_trace;
    std::vector<std::string> m_violations;
    std::set<std::string> m_atMostOnce;
    std::set<std::string> m_noFurtherStarts;
    std::map<std::string, size_t> m_startCounts;
    size_t m_totalStarts = 0;
    /// Keyed by task.
    std::map<std::string, Run> m_running;
    /// Keyed by work: the worker that still reports the end.
    std::map<std::string, std::string> m_finishedOn;
    std::set<std::string> m_finished;
};

} // namespace NodeTests
