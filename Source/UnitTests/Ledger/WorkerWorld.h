// Simulated workers with a record of what ran, and a task launcher whose calls and views may be late, repeated or lost.
#pragma once

#include "Scheduler/Runtime.h"
#include "Scheduler/TaskLauncher.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace LedgerTests {

/// One actual run of a task.
struct Run {
    std::string job;
    std::string task;
    std::string checkpoint;
    Common::MonotonicTime from;
    std::optional<Common::MonotonicTime> until;
    bool finished = false;
    /// The end could not be reported: the worker rebooted first or was unreachable.
    bool endLost = false;
};

class WorkerWorld {
public:
    struct Faults {
        /// Percentage of views that are lost, and of views that are delivered twice.
        uint32_t lostViews = 0;
        uint32_t repeatedViews = 0;
        /// Percentage of starts whose answer is lost.
        uint32_t lostStarts = 0;
        /// Longest time that a start and a view are in transit.
        Common::Duration longestStart = std::chrono::milliseconds(20);
        Common::Duration longestView = std::chrono::milliseconds(20);
        Common::Duration longestRun = std::chrono::seconds(20);
    };
    struct Task {
        Scheduler::TaskReport report;
        size_t run = 0;
    };
    struct Worker {
        Common::WorkerId id;
        uint64_t boots = 1;
        Common::MonotonicTime bootedAt {};
        int64_t slots = 4;
        bool failsAll = false;
        /// Unreachable from everywhere: its task leases expire.
        bool dead = false;
        /// Its failure domain is cut off from the daemons; within it the leases are still renewed.
        bool cutOff = false;
        std::map<Common::TaskId, Task> tasks;
        std::map<Common::TaskId, Common::MonotonicTime> reserved;

        Common::WorkerBootId boot() const { return Common::WorkerBootId(id.value() + "/" + std::to_string(boots)); }
    };

    static constexpr Common::Duration startWindow = std::chrono::seconds(3);

    explicit WorkerWorld(Scheduler::Runtime& runtime, Common::Duration lease)
        : m_runtime(runtime)
        , m_lease(lease)
    {
    }

    Faults faults;
    std::vector<Run> journal;
    std::map<std::string, Worker> workers;

    void add(const std::string& name)
    {
        Worker& worker = workers[name];
        worker.id = Common::WorkerId(name);
        worker.bootedAt = m_runtime.now();
    }
    Common::WorkerTime clock(const Worker& worker) const
    {
        const auto up = std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.now() - worker.bootedAt);
        return Common::WorkerTime { up.count() };
    }
    void reboot(Worker& worker)
    {
        for (auto& entry : worker.tasks) {
            close(entry.second, false);
            journal[entry.second.run].endLost = true;
        }
        worker.tasks.clear();
        worker.reserved.clear();
        ++worker.boots;
        worker.bootedAt = m_runtime.now();
    }
    void die(Worker& worker)
    {
        worker.dead = true;
        m_runtime.schedule(m_lease, [this, &worker, boot = worker.boot()] {
            if (!worker.dead || worker.boot() != boot)
                return;
            for (auto& entry : worker.tasks)
                stop(entry.second);
        });
    }
    bool isReachable(const Worker& worker) const { return !worker.dead && !worker.cutOff; }
    std::optional<Scheduler::Reservation> reserve(const Scheduler::TaskSpec& spec)
    {
        for (auto& entry : workers) {
            Worker& worker = entry.second;
            std::erase_if(worker.reserved, [&](const auto& held) { return held.second < m_runtime.now(); });
            const auto running = std::count_if(worker.tasks.begin(), worker.tasks.end(),
                [](const auto& task) { return task.second.report.state == Scheduler::TaskState::Running; });
            const auto used = running + static_cast<int64_t>(worker.reserved.size());
            const bool avoided = std::find(spec.avoid.begin(), spec.avoid.end(), worker.id) != spec.avoid.end();
            if (!isReachable(worker) || avoided || used >= worker.slots)
                continue;
            worker.reserved[spec.task] = m_runtime.now() + startWindow;
            return Scheduler::Reservation { spec.task, worker.id, worker.boot(),
                clock(worker) + std::chrono::seconds(3), Common::DaemonId("owner") };
        }
        return std::nullopt;
    }
    void release(const Scheduler::Reservation& reservation)
    {
        workers.at(reservation.worker.value()).reserved.erase(reservation.task);
    }
    Common::Result<Common::Done> start(const Scheduler::Reservation& reservation, const Scheduler::TaskSpec& spec)
    {
        Worker& worker = workers.at(reservation.worker.value());
        worker.reserved.erase(spec.task);
        if (!isReachable(worker))
            return Common::Failure { Common::ErrorCode::Timeout };
        if (worker.boot() != reservation.boot)
            return Common::Failure { Common::ErrorCode::WorkerRebooted };
        if (clock(worker) >= reservation.startBy)
            return Common::Failure { Common::ErrorCode::StartTooLate };
        if (worker.tasks.contains(spec.task))
            return Common::Failure { Common::ErrorCode::DuplicateId };
        Task& task = worker.tasks[spec.task];
        task.report.task = spec.task;
        task.report.checkpoint = spec.checkpoint;
        task.run = journal.size();
        journal.push_back({ spec.job.value(), spec.task.value(), spec.checkpoint, m_runtime.now(), std::nullopt });
        const Common::Duration length = between(std::chrono::milliseconds(100), faults.longestRun);
        m_runtime.schedule(worker.failsAll ? std::chrono::milliseconds(50) : length,
            [this, &worker, boot = worker.boot(), id = spec.task] { endOnItsOwn(worker, boot, id); });
        return Common::Done {};
    }
    void control(Worker& worker, Scheduler::TaskControl action, const std::vector<Common::TaskId>& tasks)
    {
        if (!isReachable(worker))
            return;
        for (const Common::TaskId& id : tasks) {
            const auto found = worker.tasks.find(id);
            if (found == worker.tasks.end() || found->second.report.state != Scheduler::TaskState::Running)
                continue;
            if (action == Scheduler::TaskControl::Checkpoint)
                found->second.report.checkpoint = id.value() + "@" + std::to_string(m_runtime.wallMilliseconds());
            if (action == Scheduler::TaskControl::Stop)
                stop(found->second);
        }
    }
    Scheduler::WorkerView view(const Worker& worker) const
    {
        Scheduler::WorkerView view { .worker = worker.id, .boot = worker.boot(), .clock = clock(worker) };
        for (const auto& entry : worker.tasks)
            view.tasks.push_back(entry.second.report);
        return view;
    }
    Common::Duration between(Common::Duration least, Common::Duration most)
    {
        const auto spread = static_cast<uint64_t>(std::max<int64_t>(0, (most - least).count()));
        return least + Common::Duration(static_cast<int64_t>(m_runtime.random()() % (spread + 1)));
    }
    bool chance(uint32_t percent) { return percent > 0 && m_runtime.random()() % 100 < percent; }

private:
    void close(Task& task, bool finished)
    {
        if (task.report.state != Scheduler::TaskState::Running)
            return;
        journal[task.run].until = m_runtime.now();
        journal[task.run].finished = finished;
    }
    void stop(Task& task)
    {
        close(task, false);
        if (task.report.state == Scheduler::TaskState::Running)
            task.report.state = Scheduler::TaskState::Stopped;
    }
    void endOnItsOwn(Worker& worker, const Common::WorkerBootId& boot, const Common::TaskId& id)
    {
        const auto found = worker.tasks.find(id);
        const bool runs = worker.boot() == boot && found != worker.tasks.end()
            && found->second.report.state == Scheduler::TaskState::Running;
        if (!runs)
            return;
        close(found->second, !worker.failsAll);
        journal[found->second.run].endLost = worker.dead;
        found->second.report.state = worker.failsAll ? Scheduler::TaskState::Failed : Scheduler::TaskState::Finished;
    }

    Scheduler::Runtime& m_runtime;
    Common::Duration m_lease;
};

/// The task launcher of one daemon. Views are sent every second; they may be lost or repeated, and arrive at most
/// `longestView` later.
class WorldTaskLauncher final : public Scheduler::TaskLauncher {
public:
    WorldTaskLauncher(WorkerWorld& world, Scheduler::Runtime& network, Scheduler::Runtime& own)
        : m_world(world)
        , m_network(network)
        , m_own(own)
    {
        sync();
    }

    void reserve(const Scheduler::TaskSpec& spec, Common::Callback<Scheduler::Reservation> done) override
    {
        runWithin(std::chrono::milliseconds(5), [this, spec, done] {
            const auto reservation = m_world.reserve(spec);
            const bool fitsNowhere = spec.declared.slots > 4;
            const Common::Failure failure { fitsNowhere ? Common::ErrorCode::JobFitsNoWorker
                                                        : Common::ErrorCode::NoWorker };
            if (reservation && !fitsNowhere)
                answer<Scheduler::Reservation>(done, *reservation);
            else
                answer<Scheduler::Reservation>(done, failure);
        });
    }
    void start(const Scheduler::Reservation& reservation, const Scheduler::TaskSpec& spec,
        Common::Callback<Common::Done> done) override
    {
        ++starts;
        runWithin(m_world.faults.longestStart, [this, reservation, spec, done] {
            const Common::Result<Common::Done> result = m_world.start(reservation, spec);
            const Common::Failure lost { Common::ErrorCode::ConnectionLost };
            answer<Common::Done>(done, m_world.chance(m_world.faults.lostStarts) ? lost : result);
        });
    }
    void release(const Scheduler::Reservation& reservation) override { m_world.release(reservation); }
    void control(const Common::WorkerId& worker, Scheduler::TaskControl action,
        const std::vector<Common::TaskId>& tasks) override
    {
        ++controls;
        runWithin(std::chrono::milliseconds(20),
            [this, worker, action, tasks] { m_world.control(m_world.workers.at(worker.value()), action, tasks); });
    }
    void acknowledge(const Common::WorkerId& worker, const std::vector<Common::TaskId>& tasks) override
    {
        runWithin(std::chrono::milliseconds(20), [this, worker, tasks] {
            WorkerWorld::Worker& there = m_world.workers.at(worker.value());
            for (const Common::TaskId& task : tasks) {
                const auto found = there.tasks.find(task);
                if (m_world.isReachable(there) && found != there.tasks.end()
                    && found->second.report.state != Scheduler::TaskState::Running)
                    there.tasks.erase(found);
            }
        });
    }
    void requestView(const Common::WorkerId& worker) override { sendView(m_world.workers.at(worker.value())); }
    void onView(std::function<void(const Scheduler::WorkerView&)> receiver) override
    {
        m_receiver = std::move(receiver);
    }

    uint64_t starts = 0;
    uint64_t controls = 0;

private:
    void runWithin(Common::Duration most, std::function<void()> action)
    {
        m_network.schedule(m_world.between(Common::Duration(0), most), std::move(action));
    }
    template <typename T> void answer(const Common::Callback<T>& done, Common::Result<T> result)
    {
        m_own.schedule(Common::Duration(0), [done, result] { done(result); });
    }
    void sync()
    {
        for (auto& entry : m_world.workers)
            sendView(entry.second);
        m_network.schedule(std::chrono::seconds(1), [this] { sync(); });
    }
    void sendView(const WorkerWorld::Worker& worker)
    {
        if (!m_world.isReachable(worker) || m_world.chance(m_world.faults.lostViews))
            return;
        const Scheduler::WorkerView view = m_world.view(worker);
        deliver(view);
        if (m_world.chance(m_world.faults.repeatedViews))
            deliver(view);
    }
    void deliver(const Scheduler::WorkerView& view)
    {
        runWithin(m_world.faults.longestView, [this, view] {
            m_own.schedule(Common::Duration(0), [this, view] {
                if (m_receiver)
                    m_receiver(view);
            });
        });
    }

    WorkerWorld& m_world;
    Scheduler::Runtime& m_network;
    Scheduler::Runtime& m_own;
    std::function<void(const Scheduler::WorkerView&)> m_receiver;
};

} // namespace LedgerTests
