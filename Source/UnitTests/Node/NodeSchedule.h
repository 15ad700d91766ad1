// A random schedule of work and faults over complete nodes in two failure domains, with the checks of its result. The
// same seed gives the same schedule.
#pragma once

#include "Node/CheckedWorker.h"
#include "Node/NodeHost.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace NodeTests {

class NodeSchedule {
public:
    explicit NodeSchedule(uint64_t seed)
        : m_random(seed)
        , m_runtime(seed + 1)
        , m_network(m_runtime, seed + 2)
        , m_store(m_runtime)
        , m_checker(m_runtime)
    {
        for (size_t number = 0; number < workerCount; ++number)
            addWorker(number);
        const size_t count = 3 + randomBelow(2);
        for (size_t number = 0; number < count; ++number) {
            m_daemonSlots.push_back({ "d" + std::to_string(number), number % 2 });
            boot(m_daemonSlots.back());
        }
    }

    void run()
    {
        configure();
        advance(std::chrono::seconds(12));
        for (size_t step = 0; step < stepCount; ++step) {
            m_network.setMaximumDelay(stepDelay());
            submitWork();
            injectFault();
            advance(std::chrono::milliseconds(50 + randomBelow(2500)));
        }
        heal();
        advance(recoveryTime);
        checkFinalState();
    }

    const RunChecker& checker() const { return m_checker; }
    size_t answered() const { return m_answered; }
    size_t jobCount() const { return m_jobs.size(); }

private:
    struct DaemonSlot {
        std::string address;
        size_t domain = 0;
        NodeHost* host = nullptr;
        uint64_t highestRevision = 0;
    };
    struct Request {
        bool atMostOnce = false;
        std::string body;
        size_t sent = 0;
        size_t notRun = 0;
    };
    struct Job {
        std::string id;
        Ledger::JobSubmission submission;
        bool cancelRequested = false;
        std::optional<Ledger::JobState> end;
    };

    static constexpr size_t workerCount = 4;
    static constexpr size_t stepCount = 45;
    /// Covers the longest leases, safety margins, timeouts and work, one after the other.
    static constexpr Common::Duration recoveryTime = std::chrono::seconds(150);

    uint64_t randomBelow(uint64_t bound) { return m_random() % bound; }
    /// One in ten steps delays messages by more than a start window.
    std::chrono::milliseconds stepDelay()
    {
        if (randomBelow(10) == 0)
            return std::chrono::seconds(9);
        return std::chrono::milliseconds(randomBelow(5) == 0 ? 400 : 10);
    }
    static Common::DomainId domainName(size_t domain) { return Common::DomainId("domain-" + std::to_string(domain)); }

    // ---- The cluster ----

    void addWorker(size_t number)
    {
        const std::string name = "w" + std::to_string(number);
        m_workers.emplace_back(
            std::make_unique<CheckedWorker>(m_runtime, m_checker, name, static_cast<int64_t>(996 + randomBelow(9))));
        m_directories.workers[name] = m_workers.back().get();
        m_store.hosts[domainName(number % 2).value()].push_back(
            { .worker = Common::WorkerId(name), .domain = domainName(number % 2), .address = name });
    }
    void boot(DaemonSlot& slot)
    {
        Daemon::NodeSettings settings;
        settings.self = { .id = Common::DaemonId(slot.address + "@" + std::to_string(++m_boots)),
            .domain = domainName(slot.domain),
            .region = Common::RegionId("region"),
            .address = slot.address };
        settings.membership.seeds = { "d0", "d1", "d2", "d3" };
        settings.ledger.shardCount = 4;
        settings.drainTimeout = std::chrono::seconds(5);
        m_hosts.push_back(
            std::make_unique<NodeHost>(m_runtime, m_network, m_store, m_directories, settings, m_random()));
        slot.host = m_hosts.back().get();
        slot.highestRevision = 0;
        m_checker.record(settings.self.id.value() + " starts");
    }
    void advance(Common::Duration span)
    {
        constexpr Common::Duration checkInterval = std::chrono::milliseconds(250);
        for (Common::Duration passed {}; passed < span; passed += checkInterval) {
            m_runtime.advance(std::min(checkInterval, span - passed));
            checkRevisions();
        }
    }
    DaemonSlot& anyDaemonSlot() { return m_daemonSlots[randomBelow(m_daemonSlots.size())]; }
    NodeHost* anyResponsiveHost()
    {
        for (size_t tries = 0; tries < 8; ++tries) {
            NodeHost* const host = anyDaemonSlot().host;
            if (host && host->isResponsive() && !host->node().draining())
                return host;
        }
        return nullptr;
    }

    // ---- Work ----

    void configure()
    {
        for (size_t tries = 0; tries < 20 && m_accepted.empty(); ++tries) {
            applyChange();
            advance(std::chrono::seconds(1));
        }
    }
    std::string documentText()
    {
        return R"({"profiles": {
            "quick": {"deadline": "6s", "idempotent": true, "priority": "urgent", "maximumQueueTime": "3s"},
            "order": {"deadline": "6s", "idempotent": false, "priority": "high", "maximumQueueTime": "3s"},
            "batch": {"idempotent": true, "minimumRunTime": "0s", "maximumJobFailures": 100},
            "once": {"idempotent": false, "priority": "low"}},
            "teams": {"team": {}},
            "services": {"quick": {"profile": "quick", "team": "team"}, "order": {"profile": "order", "team": "team"}}
            } // )"
            + std::to_string(++m_lastChange);
    }
    void applyChange()
    {
        NodeHost* const host = anyResponsiveHost();
        if (!host)
            return;
        const auto known = host->node().config().document();
        const std::string text = documentText();
        const std::string change = "change-" + std::to_string(m_lastChange);
        host->node().config().apply(known ? known->revision : Common::ConfigRevision {}, Common::ChangeId(change),
            "operator", text, [this, change](const Config::ApplyOutcome& outcome) {
                const auto* const accepted = std::get_if<Config::ChangeAccepted>(&outcome);
                if (!accepted)
                    return;
                m_checker.record(change + " accepted as " + std::to_string(accepted->revision.value));
                if (!m_accepted.emplace(accepted->revision.value, change).second)
                    m_checker.recordViolation("two changes accepted as one revision");
            });
    }
    void submitWork()
    {
        for (uint64_t count = randomBelow(6); count > 0; --count)
            newRequest();
        if (randomBelow(8) == 0) {
            for (size_t count = 0; count < 12; ++count)
                newRequest();
        }
        if (!m_requests.empty() && randomBelow(3) == 0)
            send(std::next(m_requests.begin(), static_cast<int64_t>(randomBelow(m_requests.size())))->first);
        for (uint64_t count = randomBelow(3); count > 0; --count)
            newJob();
        if (!m_jobs.empty() && randomBelow(6) == 0)
            cancelJobs(randomBelow(4) == 0 ? m_jobs.size() : 1);
        if (randomBelow(8) == 0) {
            applyChange();
            applyChange();
        }
    }
    void newRequest()
    {
        const std::string id = "r" + std::to_string(m_requests.size());
        Request& request = m_requests[id];
        request.atMostOnce = randomBelow(2) == 0;
        request.body = R"({"runMs":)" + std::to_string(20 + randomBelow(1500)) + R"(,"echo":")" + id + "\"}";
        if (request.atMostOnce)
            m_checker.expectAtMostOnce(id);
        send(id);
        for (uint64_t repeats = randomBelow(4) == 0 ? 1 + randomBelow(2) : 0; repeats > 0; --repeats)
            send(id);
    }
    void send(const std::string& id)
    {
        NodeHost* const host = anyResponsiveHost();
        if (!host)
            return;
        Request& request = m_requests[id];
        ++request.sent;
        Dispatch::IncomingRequest incoming { .id = Common::RequestId(id),
            .service = Common::ServiceName(request.atMostOnce ? "order" : "quick"),
            .contentType = "application/json",
            .body = request.body };
        const auto outcomes = std::make_shared<size_t>(0);
        m_outcomes.push_back({ id, host, outcomes });
        m_checker.record(id + " sent to " + host->address());
        host->node().requests().submit(std::move(incoming), [this, id, outcomes](const auto& outcome) {
            if (++*outcomes > 1)
                m_checker.recordViolation(id + " has a second outcome");
            onOutcome(id, outcome);
        });
        if (randomBelow(10) == 0)
            host->node().requests().cancel(Common::RequestId(id));
    }
    void onOutcome(const std::string& id, const Dispatch::RequestOutcome& outcome)
    {
        Request& request = m_requests[id];
        if (const auto* const answer = std::get_if<Dispatch::Answered>(&outcome)) {
            ++m_answered;
            m_checker.record(id + " answered");
            if (answer->body != id)
                m_checker.recordViolation(id + " got the answer of " + answer->body);
            if (!m_checker.hasFinished(id))
                m_checker.recordViolation(id + " was answered but did not finish");
        } else if (const auto* const notRun = std::get_if<Dispatch::NotRun>(&outcome)) {
            m_checker.record(id + " not run: " + std::string(errorName(notRun->reason.code)));
            if (++request.notRun == request.sent && m_checker.startCount(id) > 0)
                m_checker.recordViolation(id + " was reported as not run but started");
        } else {
            const auto& unknown = std::get<Dispatch::OutcomeUnknown>(outcome);
            m_checker.record(id + " unknown: " + std::string(errorName(unknown.reason.code)));
        }
    }
    void newJob()
    {
        const bool atMostOnce = randomBelow(3) == 0;
        const std::string key = "k" + std::to_string(m_lastKey++);
        const Ledger::JobSubmission submission { .key = key,
            .team = Common::TeamName("team"),
            .profile = Common::ProfileName(atMostOnce ? "once" : "batch"),
            .resources
            = { .slots = static_cast<int64_t>(1 + randomBelow(2)), .milliCores = 500, .memoryMegabytes = 200 },
            .command = R"({"runMs":)" + std::to_string(200 + randomBelow(14000)) + "}" };
        for (uint64_t times = 1 + randomBelow(3); times > 0; --times)
            submit(submission);
    }
    void submit(const Ledger::JobSubmission& submission)
    {
        NodeHost* const host = anyResponsiveHost();
        if (!host)
            return;
        host->node().jobs().submit(submission, [this, submission](const auto& accepted) {
            if (!accepted)
                return;
            Job& job = m_jobs[submission.key];
            if (!job.id.empty() && job.id != accepted->job.value())
                m_checker.recordViolation(submission.key + " was accepted as two jobs");
            job.id = accepted->job.value();
            job.submission = submission;
            m_checker.record(job.id + " accepted");
        });
        // The job id follows from the key and one of the 4 shards. Registering every possible id before the answer
        // arrives checks starts from the first one on.
        if (submission.profile.value() == "once") {
            for (size_t shard = 0; shard < 4; ++shard)
                m_checker.expectAtMostOnce("j-0" + std::to_string(shard) + "-" + submission.key);
        }
    }
    void cancelJobs(size_t count)
    {
        NodeHost* const host = anyResponsiveHost();
        if (!host)
            return;
        std::vector<Common::JobId> jobs;
        for (; count > 0; --count) {
            Job& job = std::next(m_jobs.begin(), static_cast<int64_t>(randomBelow(m_jobs.size())))->second;
            job.cancelRequested = true;
            jobs.emplace_back(job.id);
        }
        m_checker.record("cancel " + std::to_string(jobs.size()) + " jobs, " + jobs.front().value());
        if (jobs.size() == 1)
            host->node().jobs().cancel(jobs.front(), [](const auto&) {});
        else
            host->node().jobs().cancelMany(jobs, [](const auto&) {});
    }

    // ---- Faults ----

    void injectFault()
    {
        const std::vector<std::function<void()>> faults { [this] { killOrBoot(anyDaemonSlot()); },
            [this] { killOrBoot(anyDaemonSlot()); }, [this] { pauseOrResume(anyDaemonSlot()); },
            [this] { pauseOrResume(anyDaemonSlot()); }, [this] { drain(anyDaemonSlot()); }, [this] { cutDomain(); },
            [this] { cutOneWay(); }, [this] { healNetwork(); }, [this] { healNetwork(); }, [this] { storeFault(); },
            [this] { healStore(); }, [this] { m_workers[randomBelow(workerCount)]->reboot(); },
            [this] { m_workers[randomBelow(workerCount)]->setLeaving(randomBelow(2) == 0); },
            [this] { degradeNetwork(); } };
        if (randomBelow(3) != 0)
            faults[randomBelow(faults.size())]();
    }
    void killOrBoot(DaemonSlot& slot)
    {
        if (!slot.host) {
            boot(slot);
            return;
        }
        m_checker.record(slot.address + " is killed");
        slot.host->process().kill();
        slot.host = nullptr;
    }
    void pauseOrResume(DaemonSlot& slot)
    {
        if (!slot.host)
            return;
        m_checker.record(slot.address + (slot.host->isResponsive() ? " pauses" : " resumes"));
        if (slot.host->isResponsive())
            slot.host->process().pause();
        else
            slot.host->process().resume();
    }
    void drain(DaemonSlot& slot)
    {
        if (!slot.host || !slot.host->isResponsive())
            return;
        m_checker.record(slot.address + " drains");
        slot.host->node().drain([this, &slot, host = slot.host] {
            m_checker.record(slot.address + " has drained");
            m_runtime.schedule(Common::Duration(0), [this, &slot, host] {
                host->process().kill();
                if (slot.host == host)
                    boot(slot);
            });
        });
    }
    void cutDomain()
    {
        const size_t domain = randomBelow(2);
        m_checker.record("domain " + std::to_string(domain) + " is cut off");
        for (const DaemonSlot& inside : m_daemonSlots) {
            if (inside.domain != domain)
                continue;
            m_store.cut(inside.address);
            for (const DaemonSlot& outside : m_daemonSlots) {
                if (outside.domain == domain)
                    continue;
                m_network.cut(inside.address, outside.address);
                m_network.cut(outside.address, inside.address);
            }
        }
    }
    void cutOneWay()
    {
        const std::string node = anyDaemonSlot().address;
        const std::string other
            = randomBelow(2) == 0 ? anyDaemonSlot().address : m_workers[randomBelow(workerCount)]->name();
        const bool out = randomBelow(2) == 0;
        m_checker.record("cut " + (out ? node + " to " + other : other + " to " + node));
        m_network.cut(out ? node : other, out ? other : node);
    }
    void degradeNetwork()
    {
        m_checker.record("the network loses and duplicates messages");
        m_network.setLossPerMille(randomBelow(80));
        m_network.setDuplicatesPerMille(randomBelow(80));
    }
    void healNetwork()
    {
        m_checker.record("the network heals");
        m_network.heal();
        for (const DaemonSlot& slot : m_daemonSlots)
            m_store.heal(slot.address);
    }
    void storeFault()
    {
        m_store.faults.down = randomBelow(3) == 0;
        m_store.faults.lostAnswers = static_cast<uint32_t>(randomBelow(20));
        m_store.faults.lateWrites = static_cast<uint32_t>(randomBelow(20));
        m_checker.record(m_store.faults.down ? "the store is down" : "the store loses answers and applies writes late");
    }
    void healStore()
    {
        m_checker.record("the store heals");
        m_store.faults = {};
    }
    void heal()
    {
        m_checker.record("all faults end");
        healNetwork();
        healStore();
        for (const auto& worker : m_workers)
            worker->setLeaving(false);
        for (DaemonSlot& slot : m_daemonSlots) {
            if (!slot.host)
                boot(slot);
            else if (!slot.host->isResponsive())
                slot.host->process().resume();
        }
    }

    // ---- Checks ----

    void checkRevisions()
    {
        for (DaemonSlot& slot : m_daemonSlots) {
            if (!slot.host || !slot.host->isResponsive())
                continue;
            const auto document = slot.host->node().config().document();
            const uint64_t revision = document ? document->revision.value : 0;
            if (revision < slot.highestRevision)
                m_checker.recordViolation(slot.address + " went back to an older configuration");
            slot.highestRevision = revision;
        }
    }
    void checkFinalState()
    {
        checkOutcomes();
        checkJobs();
        checkConfiguration();
    }
    void checkOutcomes()
    {
        for (const Outcome& outcome : m_outcomes) {
            if (*outcome.count == 0 && outcome.host->isResponsive())
                m_checker.recordViolation(outcome.id + " has no outcome");
        }
        for (const auto& [id, request] : m_requests) {
            if (request.sent > 0 && request.notRun == request.sent && m_checker.startCount(id) > 0)
                m_checker.recordViolation(id + " was reported as not run but started");
        }
    }
    void checkJobs()
    {
        // Read twice, through different nodes: the state of an ended job must not change.
        for (size_t round = 0; round < 2; ++round) {
            for (auto& entry : m_jobs)
                queryJob(entry.second);
            advance(std::chrono::seconds(8));
        }
        for (const auto& [key, job] : m_jobs) {
            if (!job.end) {
                m_checker.recordViolation(job.id + " has not ended");
                continue;
            }
            const std::string state(jobStateName(*job.end));
            const bool atMostOnce = job.submission.profile.value() == "once";
            const bool allowed = *job.end == Ledger::JobState::Finished
                || (*job.end == Ledger::JobState::Unknown && atMostOnce)
                || (*job.end == Ledger::JobState::Cancelled && job.cancelRequested);
            if (!allowed)
                m_checker.recordViolation(job.id + " ended as " + state);
            if (*job.end == Ledger::JobState::Finished && !m_checker.hasFinished(job.id))
                m_checker.recordViolation(job.id + " was reported as finished but did not finish");
        }
    }
    void queryJob(Job& job)
    {
        NodeHost* const host = anyResponsiveHost();
        if (!host)
            return;
        host->node().jobs().get(Common::JobId(job.id), [this, &job](const auto& status) {
            if (!status) {
                m_checker.record(job.id + " can't be read: " + std::string(errorName(status.reason().code)));
                if (status.reason().code == Common::ErrorCode::UnknownJob)
                    m_checker.recordViolation(job.id + " was accepted but is unknown");
                return;
            }
            m_checker.record(job.id + " is " + std::string(jobStateName(status->state)) + " " + status->detail);
            if (job.end && *job.end != status->state)
                m_checker.recordViolation(job.id + " ended twice");
            if (!isEnded(status->state))
                return;
            job.end = status->state;
            m_checker.forbidFurtherStarts(job.id);
        });
    }
    void checkConfiguration()
    {
        if (m_accepted.empty()) {
            m_checker.recordViolation("no configuration was ever accepted");
            return;
        }
        for (const DaemonSlot& slot : m_daemonSlots) {
            const auto document = slot.host->node().config().document();
            if (!document || document->revision.value < m_accepted.rbegin()->first)
                m_checker.recordViolation(slot.address + " does not have the newest accepted configuration");
        }
        m_daemonSlots.front().host->node().config().history(1000, [this](const auto& documents) {
            if (!documents)
                return;
            m_historyRead = true;
            std::map<uint64_t, std::string> kept;
            for (const Config::ConfigDocument& document : *documents)
                kept[document.revision.value] = document.change.value();
            for (const auto& [revision, change] : m_accepted) {
                if (kept[revision] != change)
                    m_checker.recordViolation(change + " was accepted but is missing from the history");
            }
        });
        advance(std::chrono::seconds(5));
        if (!m_historyRead)
            m_checker.recordViolation("the history of the configuration can't be read");
    }

    struct Outcome {
        std::string id;
        NodeHost* host = nullptr;
        std::shared_ptr<size_t> count;
    };

    std::mt19937_64 m_random;
    Fakes::VirtualRuntime m_runtime;
    Fakes::FakeNetwork m_network;
    Fakes::FakeStore m_store;
    RunChecker m_checker;
    NodeHost::Directories m_directories;
    std::vector<std::unique_ptr<CheckedWorker>> m_workers;
    std::vector<DaemonSlot> m_daemonSlots;
    /// Includes killed hosts: events of theirs may still be pending.
    std::vector<std::unique_ptr<NodeHost>> m_hosts;
    uint64_t m_boots = 0;
    std::map<std::string, Request> m_requests;
    std::vector<Outcome> m_outcomes;
    size_t m_answered = 0;
    uint64_t m_lastKey = 0;
    /// Accepted jobs, keyed by key.
    std::map<std::string, Job> m_jobs;
    uint64_t m_lastChange = 0;
    /// Accepted change ids, keyed by revision.
    std::map<uint64_t, std::string> m_accepted;
    bool m_historyRead = false;
};

} // namespace NodeTests
