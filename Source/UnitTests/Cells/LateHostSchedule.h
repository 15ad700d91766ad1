// Random faults with hosts that run late: they stall again and again, read answers after their timers have fired and
// lose heartbeats. Jobs are cancelled meanwhile.
#pragma once

#include "Cells/RandomSchedule.h"

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace CellTests {

using namespace std::chrono_literals; // NOLINT: only tests include this

inline constexpr size_t lateHostFaultCount = 10;
/// The largest number of long-running tasks at a time, of 24 that the workers have room for.
inline constexpr uint32_t maximumServing = 16;

struct LateHostSchedule : RandomSchedule {
    std::map<uint64_t, std::list<std::optional<Common::Result<Common::Done>>>> cancellations;
    std::set<uint64_t> services;
    /// Accepted jobs with tasks that end by themselves, of which no end is known yet.
    std::set<uint64_t> unfinished;
    bool faultsOver = false;

    using RandomSchedule::RandomSchedule;

    Common::Duration randomBetween(std::chrono::milliseconds least, std::chrono::milliseconds most)
    {
        return least + std::chrono::milliseconds(randomBelow(static_cast<size_t>((most - least).count()) + 1));
    }
    bool isAcknowledged(uint64_t number) const
    {
        const auto found = cancellations.find(number);
        return found != cancellations.end()
            && std::any_of(found->second.begin(), found->second.end(),
                [](const auto& outcome) { return outcome && outcome->hasValue(); });
    }
    uint32_t tasksOf(uint64_t number) { return judge.submitted.at(jobId(number)).steps[0].taskCount; }
    /// Submits a service that is larger than a cell, or a small one.
    void submitRandomService()
    {
        uint32_t serving = 0;
        for (const uint64_t number : services)
            serving += isAcknowledged(number) ? 0 : tasksOf(number);
        const auto tasks = static_cast<uint32_t>(randomBelow(2) == 0 ? 9 + randomBelow(4) : 1 + randomBelow(4));
        if (serving + tasks > maximumServing)
            return;
        const uint64_t number = jobs + 1;
        submitService(tasks);
        if (outcomes.contains(number))
            services.insert(number);
        else
            jobs = number - 1;
    }
    void cancelAt(WorldHost& host, uint64_t number)
    {
        auto& outcome = cancellations[number].emplace_back();
        host.front.cancel(jobId(number), 2s, [&outcome](const Common::Result<Common::Done>& done) { outcome = done; });
    }
    void cancelSomeJob()
    {
        const bool service = !services.empty() && randomBelow(3) != 0;
        if (jobs == 0)
            return;
        const uint64_t number = service
            ? *std::next(services.begin(), static_cast<std::ptrdiff_t>(randomBelow(services.size())))
            : jobs - randomBelow(std::min<uint64_t>(jobs, 4));
        for (size_t attempts = 1 + randomBelow(2); attempts > 0; --attempts) {
            if (WorldHost* const host = anyHost())
                cancelAt(*host, number);
        }
    }
    /// Pauses the process again and again, with short runs between.
    void stall(WorldHost& host, Common::MonotonicTime until, std::chrono::milliseconds longestRun)
    {
        if (faultsOver || clock.now() >= until || host.process.isKilled())
            return;
        host.process.timersFirst = true;
        host.process.pause();
        clock.schedule(randomBetween(300ms, 3s), [this, &host, until, longestRun] {
            host.process.resume();
            clock.schedule(
                randomBetween(1ms, longestRun), [this, &host, until, longestRun] { stall(host, until, longestRun); });
        });
    }
    void injectLateness()
    {
        for (size_t count = 1 + randomBelow(3); count > 0; --count) {
            WorldHost* const host = anyHost();
            if (!host)
                return;
            if (randomBelow(2) == 0) {
                stall(*host, clock.now() + randomBetween(3s, 15s), randomBelow(2) == 0 ? 3ms : 100ms);
            } else {
                host->heartbeats.dropsAll = true;
                clock.schedule(randomBetween(2s, 12s), [host] { host->heartbeats.dropsAll = false; });
            }
        }
    }
    void injectSomeFault()
    {
        if (randomBelow(5) < 3)
            injectLateness();
        else
            injectFault();
    }
    void endFaults()
    {
        faultsOver = true;
        for (const auto& [number, outcome] : outcomes) {
            if (outcome && outcome->hasValue() && !services.contains(number))
                unfinished.insert(number);
        }
        latePerMille = store.latePerMille = store.lostPerMille = 0;
        // Orders and writes that are under way may be carried out five seconds late.
        clock.advance(5s);
        clearFaults();
        for (const auto& host : hosts)
            host->heartbeats.dropsAll = false;
    }
    /// Submits and cancels jobs during random faults, and waits until an acknowledged cancellation must be in force.
    void runWithFaults()
    {
        for (size_t fault = 0; fault < lateHostFaultCount; ++fault) {
            if (randomBelow(2) == 0)
                submitRandomService();
            else
                submitJobs();
            clock.advance(randomBetween(0ms, 1500ms));
            injectSomeFault();
            if (randomBelow(3) == 0)
                cancelSomeJob();
            clock.advance(randomBetween(0ms, 2500ms));
        }
        endFaults();
        clock.advance(4200ms);
    }
    /// Jobs whose cancellation was acknowledged and of which a task runs. None of their tasks may start from now on.
    std::string cancelledButRunning()
    {
        std::string text;
        for (const auto& [number, outcome] : cancellations) {
            if (!isAcknowledged(number))
                continue;
            judge.cancelled.insert(jobId(number));
            if (const size_t running = judge.running(jobId(number)); running > 0)
                text += "job " + std::to_string(number) + " has " + std::to_string(running) + " running tasks; ";
        }
        return text;
    }
    /// Services that are neither wholly running nor wholly cancelled, or that were cancelled without a request.
    std::string partialServices()
    {
        std::string text;
        for (const uint64_t number : services) {
            const auto found = phase(*live().front(), number);
            const size_t running = judge.running(jobId(number));
            const bool accepted = outcomes.at(number) && outcomes.at(number)->hasValue();
            const bool mayBeCancelled = cancellations.contains(number);
            const bool wholly = found && !Jobs::isFinal(*found) ? running == tasksOf(number) && !isAcknowledged(number)
                : found == Jobs::JobPhase::Cancelled            ? running == 0 && mayBeCancelled
                                                                : !found && running == 0 && !accepted;
            if (!wholly) {
                text += "service " + std::to_string(number) + " runs " + std::to_string(running) + " of "
                    + std::to_string(tasksOf(number)) + " tasks, phase "
                    + (found ? std::string(Jobs::phaseName(*found)) : "unknown") + "; ";
            }
        }
        return text;
    }
    /// Removes the jobs that have ended from those that haven't.
    void noteEndedJobs()
    {
        std::erase_if(unfinished, [this](uint64_t number) {
            const auto found = phase(*live().front(), number);
            return found && Jobs::isFinal(*found);
        });
    }
    std::string unfinishedText() const
    {
        std::string text;
        for (const uint64_t number : unfinished)
            text += "job " + std::to_string(number) + " has not ended; ";
        return text;
    }
    /// Whether the workers' capacity is less than half used; then no task may wait.
    bool isHalfFree() const { return 2 * running() < 4 * workers.size(); }
    void cancelServices()
    {
        for (const uint64_t number : services)
            cancelAt(*live().front(), number);
        clock.advance(4200ms);
    }
    /// Cancels at a random host. While workers and owners are in time, no task of the job may run a second after the
    /// acknowledgement.
    void cancelWithDeadline(uint64_t number)
    {
        WorldHost* const host = anyHost();
        if (!host)
            return;
        host->front.cancel(jobId(number), 2s, [this, number](const Common::Result<Common::Done>& done) {
            if (!done)
                return;
            clock.schedule(1s, [this, number] {
                judge.cancelled.insert(jobId(number));
                if (const size_t running = judge.running(jobId(number)); running > 0)
                    judge.faults.push_back("job " + std::to_string(number) + " has " + std::to_string(running)
                        + " running tasks a second after the acknowledgement of its cancellation");
            });
        });
    }
    /// Cuts the connection of two hosts; each still reaches the others, the workers and the store.
    void cutRandomLink()
    {
        const std::vector<WorldHost*> up = live();
        const size_t first = randomBelow(up.size());
        const size_t second = (first + 1 + randomBelow(up.size() - 1)) % up.size();
        disconnect(up[first]->address, up[second]->address);
    }
    /// The owner and the fencing token of each cell that a live host holds.
    std::string ownersText()
    {
        std::set<std::string> found;
        for (WorldHost* const host : live()) {
            for (const auto& [cell, engine] : host->cellOwnership.engines())
                found.insert(cell.value() + " " + host->address + " " + std::to_string(engine->token().value));
        }
        std::string text;
        for (const std::string& owner : found)
            text += owner + "; ";
        return text;
    }
    size_t runningOfServices() const
    {
        size_t count = 0;
        for (const uint64_t number : services)
            count += judge.running(jobId(number));
        return count;
    }
};

} // namespace CellTests
