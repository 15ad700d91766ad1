// A simulated worker with claims and leased tasks. It records violations of the schedulers that start work on it.
#pragma once

#include "Common/Result.h"
#include "Fakes/VirtualRuntime.h"
#include "Scheduler/StartCommand.h"
#include "Scheduler/SyncRequest.h"
#include "Scheduler/WorkerReport.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Fakes {

/// Accepts every start that is on time. A start beyond its slots is accepted too, and recorded as a violation.
class FakeWorker {
public:
    /// `ratePerMille`: rate of its clock; 1000 is real time.
    FakeWorker(VirtualRuntime& runtime, std::string id, std::string address, int64_t slots, int64_t ratePerMille)
        : m_runtime(runtime)
        , m_address(std::move(address))
        , m_ratePerMille(ratePerMille)
    {
        m_report.worker = Common::WorkerId(std::move(id));
        m_report.capacity = { .slots = slots, .milliCores = 8000, .memoryMegabytes = 8000 };
        reboot();
    }

    const std::string& address() const { return m_address; }
    const Common::WorkerId& id() const { return m_report.worker; }
    /// Descriptions of the violations seen so far.
    const std::vector<std::string>& violations() const { return m_violations; }
    size_t startCount() const { return m_startCount; }
    int64_t runningSlots() const
    {
        int64_t slots = 0;
        for (const Scheduler::TaskReport& task : m_report.tasks)
            slots += task.state == Scheduler::TaskState::Running ? task.declared.slots : 0;
        return slots;
    }
    void setLeaving(bool leaving) { m_report.leaving = leaving; }
    /// Starts a new boot without claims or tasks.
    void reboot()
    {
        m_bootedAt = m_runtime.now();
        m_report.boot = Common::WorkerBootId("boot-" + std::to_string(++m_boots));
        m_report.claims.clear();
        m_report.tasks.clear();
    }
    /// Finishes the first running task, if there is one.
    void endTask()
    {
        const auto running = std::find_if(m_report.tasks.begin(), m_report.tasks.end(),
            [](const Scheduler::TaskReport& task) { return task.state == Scheduler::TaskState::Running; });
        if (running != m_report.tasks.end())
            running->state = Scheduler::TaskState::Finished;
    }

    Scheduler::WorkerReport sync(const Scheduler::SyncRequest& request)
    {
        advanceToNow();
        if (request.withdrawClaim)
            std::erase_if(m_report.claims, [&](const auto& claim) { return claim.daemon == request.daemon; });
        else if (request.claimTerm)
            applyClaim(request);
        for (Scheduler::TaskReport& task : m_report.tasks) {
            if (contains(request.tasksToRenew, task.task))
                task.leaseExpiresAt = m_report.clock + request.taskLeaseTimeToLive;
        }
        std::erase_if(m_report.tasks, [&](const Scheduler::TaskReport& task) {
            return task.state != Scheduler::TaskState::Running && contains(request.tasksToAcknowledge, task.task);
        });
        return m_report;
    }

    Common::Result<Common::Done> start(const Scheduler::StartCommand& command)
    {
        advanceToNow();
        if (command.boot != m_report.boot)
            return refusal(Common::ErrorCode::WorkerRebooted);
        if (m_report.clock >= command.startBy)
            return refusal(Common::ErrorCode::StartTooLate);
        if (std::any_of(m_report.tasks.begin(), m_report.tasks.end(),
                [&](const Scheduler::TaskReport& task) { return task.task == command.task; }))
            return refusal(Common::ErrorCode::DuplicateId);
        ++m_startCount;
        m_report.tasks.push_back({ .task = command.task,
            .declared = command.declared,
            .leaseExpiresAt = m_report.clock + command.leaseTimeToLive });
        if (runningSlots() > m_report.capacity.slots)
            m_violations.push_back(m_report.worker.value() + " was sent " + command.task.value() + " beyond its slots");
        return Common::Done {};
    }

private:
    template <typename Id> static bool contains(const std::vector<Id>& ids, const Id& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }
    static Common::Failure refusal(Common::ErrorCode code) { return { code, "", std::nullopt }; }
    void advanceToNow()
    {
        const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.now() - m_bootedAt);
        m_report.clock = Common::WorkerTime { uptime.count() * m_ratePerMille / 1000 };
        std::erase_if(m_report.claims, [&](const auto& claim) { return m_report.clock >= claim.expiresAt; });
        for (Scheduler::TaskReport& task : m_report.tasks) {
            if (task.state == Scheduler::TaskState::Running && m_report.clock >= task.leaseExpiresAt)
                task.state = Scheduler::TaskState::Stopped;
        }
    }
    void applyClaim(const Scheduler::SyncRequest& request)
    {
        const auto expiresAt = m_report.clock + request.claimTimeToLive;
        for (Scheduler::WorkerClaim& claim : m_report.claims) {
            if (claim.daemon != request.daemon)
                continue;
            claim.term = std::max(claim.term, *request.claimTerm);
            claim.expiresAt = expiresAt;
            return;
        }
        m_report.claims.push_back({ request.daemon, request.address, *request.claimTerm, m_report.clock, expiresAt });
    }

    VirtualRuntime& m_runtime;
    std::string m_address;
    int64_t m_ratePerMille;
    int m_boots = 0;
    Common::MonotonicTime m_bootedAt;
    Scheduler::WorkerReport m_report;
    size_t m_startCount = 0;
    std::vector<std::string> m_violations;
};

} // namespace Fakes
