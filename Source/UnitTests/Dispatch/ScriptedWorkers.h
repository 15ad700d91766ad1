// Workers whose answers and reports a test scripts, and a fleet that owns all of them.
#pragma once

#include "Scheduler/RunAnswer.h"
#include "Scheduler/RunCommand.h"
#include "Scheduler/StartCommand.h"
#include "Scheduler/WorkerFleet.h"
#include "Scheduler/WorkerPort.h"
#include "Scheduler/WorkerReport.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace DispatchTests {

class ScriptedWorkers final : public Scheduler::WorkerPort, public Scheduler::WorkerFleet {
public:
    /// A run that the test has not answered yet.
    struct Run {
        std::string address;
        Scheduler::RunCommand command;
        Common::Callback<Scheduler::RunAnswer> callback;
    };

    void add(const std::string& name, int64_t slots)
    {
        Scheduler::OwnedWorker worker;
        worker.worker = Common::WorkerId(name);
        worker.address = name;
        worker.startBy = Common::WorkerTime { 3000 };
        worker.report.worker = worker.worker;
        worker.report.boot = Common::WorkerBootId("boot-1");
        worker.report.capacity = { .slots = slots, .milliCores = 64000, .memoryMegabytes = 250000 };
        workers[name] = worker;
        notify(Change::Owned, name);
    }
    void lose(const std::string& name)
    {
        const Scheduler::OwnedWorker worker = workers.at(name);
        workers.erase(name);
        for (const Listener& listener : m_listeners)
            listener(Change::Lost, worker);
    }
    /// A report at a later reading of the worker's clock that lists these running requests.
    void report(const std::string& name, int64_t clock, const std::vector<Common::TaskId>& running)
    {
        Scheduler::OwnedWorker& worker = workers.at(name);
        worker.report.clock = Common::WorkerTime { clock };
        worker.startBy = Common::WorkerTime { clock + 3000 };
        worker.report.tasks.clear();
        for (const Common::TaskId& task : running) {
            Scheduler::TaskReport row;
            row.task = task;
            row.kind = Scheduler::TaskKind::Request;
            row.declared = { .slots = 1 };
            worker.report.tasks.push_back(row);
        }
        notify(Change::Reported, name);
    }
    void notify(Change change, const std::string& name)
    {
        for (const Listener& listener : m_listeners)
            listener(change, workers.at(name));
    }
    /// Answers the oldest unanswered run and returns it.
    Run answer(const std::string& body)
    {
        Run run = take();
        run.callback(Scheduler::RunAnswer { run.command.task, "text/plain", body });
        return run;
    }
    Run fail(Common::ErrorCode code)
    {
        Run run = take();
        run.callback(Common::Failure { code, "scripted" });
        return run;
    }
    Run take()
    {
        Run run = std::move(runs.at(0));
        runs.erase(runs.begin());
        return run;
    }

    void sync(const std::string&, const Scheduler::SyncRequest&, Common::Duration,
        Common::Callback<Scheduler::WorkerReport>) override
    {
    }
    void start(const std::string&, const Scheduler::StartCommand&, Common::Callback<Common::Done>) override { }
    void run(const std::string& address, const Scheduler::RunCommand& command,
        Common::Callback<Scheduler::RunAnswer> callback) override
    {
        ++runsSent;
        runs.push_back(Run { address, command, std::move(callback) });
    }
    void control(const std::string&, Scheduler::TaskControl, const std::vector<Common::TaskId>& tasks,
        Common::Callback<Common::Done>) override
    {
        ++controlCalls;
        stopped.insert(stopped.end(), tasks.begin(), tasks.end());
    }

    std::optional<Scheduler::OwnedWorker> ownedWorker(const Common::WorkerId& worker) const override
    {
        const auto found = workers.find(worker.value());
        return found == workers.end() ? std::nullopt : std::optional(found->second);
    }
    std::vector<Common::WorkerId> owned() const override { return {}; }
    std::optional<std::string> addressOf(const Common::WorkerId& worker) const override { return worker.value(); }
    std::optional<Common::DaemonId> assignedOwner(const Common::WorkerId&) const override { return std::nullopt; }
    void acknowledge(const Common::WorkerId&, const std::vector<Common::TaskId>&) override { }
    void requestSync(const Common::WorkerId&) override { }
    void onChange(Listener listener) override { m_listeners.push_back(std::move(listener)); }

    std::map<std::string, Scheduler::OwnedWorker> workers;
    std::vector<Run> runs;
    uint64_t runsSent = 0;
    std::vector<Common::TaskId> stopped;
    uint64_t controlCalls = 0;

private:
    std::vector<Listener> m_listeners;
};

} // namespace DispatchTests
