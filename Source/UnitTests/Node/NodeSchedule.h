// A random schedule of work and faults over whole nodes in two failure domains, and what must hold of it.
#pragma once

#include "Node/JudgedWorker.h"
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
        , m_world(seed + 1)
        , m_network(m_world, seed + 2)
        , m_store(m_world)
        , m_judge(m_world)
    {
        for (size_t number = 0; number < workerCount; ++number)
            addWorker(number);
        const size_t count = 3 + below(2);
        for (size_t number = 0; number < count; ++number) {
            m_slots.push_back({ "d" + std::to_string(number), number % 2 });
            boot(m_slots.back());
        }
    }

    void run()
    {
        configure();
        advance(std::chrono::seconds(12));
        for (size_t step = 0; step < stepCount; ++step) {
            m_network.setMaximumDelay(stepDelay());
            work();
            fault();
            advance(std::chrono::milliseconds(50 + below(2500)));
        }
        heal();
        advance(settleTime);
        checkEnds();
    }

    const Judge& judge() const { return m_judge; }
    size_t answered() const { return m_answered; }
    size_t jobCount() const { return m_jobs.size(); }

private:
    struct Slot {
        std::string address;
        size_t domain = 0;
        NodeHost* host = nullptr;
        uint64_t highestRevision = 0;
    };
    struct Request {
        bool once = false;
        std::string body;
        size_t sent = 0;
        size_t notRun = 0;
    };
    struct Job {
        std::string id;
        Ledger::JobSubmission submission;
        bool cancelWished = false;
        std::optional<Ledger::JobState> end;
    };

    static constexpr size_t workerCount = 4;
    static constexpr size_t stepCount = 45;
    /// Longest leases, margins, silences and work, one after the other.
    static constexpr Common::Duration settleTime = std::chrono::seconds(150);

    uint64_t below(uint64_t bound) { return m_random() % bound; }
    /// Now and then some messages come later than a start window.
    std::chrono::milliseconds stepDelay()
    {
        if (below(10) == 0)
            return std::chrono::seconds(9);
        return std::chrono::milliseconds(below(5) == 0 ? 400 : 10);
    }
    static Common::DomainId domainName(size_t domain) { return Common::DomainId("domain-" + std::to_string(domain)); }

    // ---- The cluster ----

    void addWorker(size_t number)
    {
        const std::string name = "w" + std::to_string(number);
        m_workers.emplace_back(
            std::make_unique<JudgedWorker>(m_world, m_judge, name, static_cast<int64_t>(996 + below(9))));
        m_directories.workers[name] = m_workers.back().get();
        m_store.hosts[domainName(number % 2).value()].push_back(
            { .worker = Common::WorkerId(name), .domain = domainName(number % 2), .address = name });
    }
    void boot(Slot& slot)
    {
        Daemon::NodeSettings settings;
        settings.self = { .id = Common::DaemonId(slot.address + "@" + std::to_string(++m_boots)),
            .domain = domainName(slot.domain),
            .region = Common::RegionId("region"),
            .address = slot.address };
        settings.membership.seeds = { "d0", "d1", "d2", "d3" };
        settings.ledger.shardCount = 4;
        settings.drainTimeout = std::chrono::seconds(5);
        m_hosts.push_back(std::make_unique<NodeHost>(m_world, m_network, m_store, m_directories, settings, m_random()));
        slot.host = m_hosts.back().get();
        slot.highestRevision = 0;
        m_judge.note(settings.self.id.value() + " starts");
    }
    void advance(Common::Duration span)
    {
        constexpr Common::Duration look = std::chrono::milliseconds(250);
        for (Common::Duration passed {}; passed < span; passed += look) {
            m_world.advance(std::min(look, span - passed));
            checkNow();
        }
    }
    Slot& anySlot() { return m_slots[below(m_slots.size())]; }
    NodeHost* anyHost()
    {
        for (size_t tries = 0; tries < 8; ++tries) {
            NodeHost* const host = anySlot().host;
            if (host && host->answers() && !host->node().draining())
                return host;
        }
        return nullptr;
    }

    // ---- Work ----

    void configure()
    {
        for (size_t tries = 0; tries < 20 && m_accepted.empty(); ++tries) {
            change();
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
    void change()
    {
        NodeHost* const host = anyHost();
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
                m_judge.note(change + " accepted as " + std::to_string(accepted->revision.value));
                if (!m_accepted.emplace(accepted->revision.value, change).second)
                    m_judge.violate("two changes accepted as one revision");
            });
    }
    void work()
    {
        for (uint64_t count = below(6); count > 0; --count)
            newRequest();
        if (below(8) == 0) {
            for (size_t count = 0; count < 12; ++count)
                newRequest();
        }
        if (!m_requests.empty() && below(3) == 0)
            send(std::next(m_requests.begin(), static_cast<int64_t>(below(m_requests.size())))->first);
        for (uint64_t count = below(3); count > 0; --count)
            newJob();
        if (!m_jobs.empty() && below(6) == 0)
            cancelJobs(below(4) == 0 ? m_jobs.size() : 1);
        if (below(8) == 0) {
            change();
            change();
        }
    }
    void newRequest()
    {
        const std::string id = "r" + std::to_string(m_requests.size());
        Request& request = m_requests[id];
        request.once = below(2) == 0;
        request.body = R"({"runMs":)" + std::to_string(20 + below(1500)) + R"(,"echo":")" + id + "\"}";
        if (request.once)
            m_judge.runsAtMostOnce(id);
        send(id);
        for (uint64_t repeats = below(4) == 0 ? 1 + below(2) : 0; repeats > 0; --repeats)
            send(id);
    }
    void send(const std::string& id)
    {
        NodeHost* const host = anyHost();
        if (!host)
            return;
        Request& request = m_requests[id];
        ++request.sent;
        Dispatch::IncomingRequest incoming { .id = Common::RequestId(id),
            .service = Common::ServiceName(request.once ? "order" : "quick"),
            .contentType = "application/json",
            .body = request.body };
        const auto outcomes = std::make_shared<size_t>(0);
        m_outcomes.push_back({ id, host, outcomes });
        m_judge.note(id + " sent to " + host->address());
        host->node().requests().submit(std::move(incoming), [this, id, outcomes](const auto& outcome) {
            if (++*outcomes > 1)
                m_judge.violate(id + " has a second outcome");
            onOutcome(id, outcome);
        });
        if (below(10) == 0)
            host->node().requests().cancel(Common::RequestId(id));
    }
    void onOutcome(const std::string& id, const Dispatch::RequestOutcome& outcome)
    {
        Request& request = m_requests[id];
        if (const auto* const answer = std::get_if<Dispatch::Answered>(&outcome)) {
            ++m_answered;
            m_judge.note(id + " answered");
            if (answer->body != id)
                m_judge.violate(id + " got the answer of " + answer->body);
            if (!m_judge.finished(id))
                m_judge.violate(id + " was answered but did not finish");
        } else if (const auto* const notRun = std::get_if<Dispatch::NotRun>(&outcome)) {
            m_judge.note(id + " not run: " + std::string(errorName(notRun->reason.code)));
            if (++request.notRun == request.sent && m_judge.starts(id) > 0)
                m_judge.violate(id + " was told as not run but started");
        } else {
            const auto& unknown = std::get<Dispatch::OutcomeUnknown>(outcome);
            m_judge.note(id + " unknown: " + std::string(errorName(unknown.reason.code)));
        }
    }
    void newJob()
    {
        const bool once = below(3) == 0;
        const std::string key = "k" + std::to_string(m_lastKey++);
        const Ledger::JobSubmission submission { .key = key,
            .team = Common::TeamName("team"),
            .profile = Common::ProfileName(once ? "once" : "batch"),
            .resources = { .slots = static_cast<int64_t>(1 + below(2)), .milliCores = 500, .memoryMegabytes = 200 },
            .command = R"({"runMs":)" + std::to_string(200 + below(14000)) + "}" };
        for (uint64_t times = 1 + below(3); times > 0; --times)
            submit(submission);
    }
    void submit(const Ledger::JobSubmission& submission)
    {
        NodeHost* const host = anyHost();
        if (!host)
            return;
        host->node().jobs().submit(submission, [this, submission](const auto& accepted) {
            if (!accepted)
                return;
            Job& job = m_jobs[submission.key];
            if (!job.id.empty() && job.id != accepted->job.value())
                m_judge.violate(submission.key + " became two jobs");
            job.id = accepted->job.value();
            job.submission = submission;
            m_judge.note(job.id + " accepted");
        });
        // Its id follows from the key and the shard count; starts are judged from the first one on.
        if (submission.profile.value() == "once") {
            for (size_t shard = 0; shard < 4; ++shard)
                m_judge.runsAtMostOnce("j-0" + std::to_string(shard) + "-" + submission.key);
        }
    }
    void cancelJobs(size_t count)
    {
        NodeHost* const host = anyHost();
        if (!host)
            return;
        std::vector<Common::JobId> jobs;
        for (; count > 0; --count) {
            Job& job = std::next(m_jobs.begin(), static_cast<int64_t>(below(m_jobs.size())))->second;
            job.cancelWished = true;
            jobs.emplace_back(job.id);
        }
        m_judge.note("cancel " + std::to_string(jobs.size()) + " jobs, " + jobs.front().value());
        if (jobs.size() == 1)
            host->node().jobs().cancel(jobs.front(), [](const auto&) {});
        else
            host->node().jobs().cancelMany(jobs, [](const auto&) {});
    }

    // ---- Faults ----

    void fault()
    {
        const std::vector<std::function<void()>> faults { [this] { killOrBoot(anySlot()); },
            [this] { killOrBoot(anySlot()); }, [this] { pauseOrResume(anySlot()); },
            [this] { pauseOrResume(anySlot()); }, [this] { drain(anySlot()); }, [this] { cutDomain(); },
            [this] { cutOneWay(); }, [this] { healNetwork(); }, [this] { healNetwork(); }, [this] { storeFault(); },
            [this] { healStore(); }, [this] { m_workers[below(workerCount)]->reboot(); },
            [this] { m_workers[below(workerCount)]->setLeaving(below(2) == 0); }, [this] { noise(); } };
        if (below(3) != 0)
            faults[below(faults.size())]();
    }
    void killOrBoot(Slot& slot)
    {
        if (!slot.host) {
            boot(slot);
            return;
        }
        m_judge.note(slot.address + " is killed");
        slot.host->process().kill();
        slot.host = nullptr;
    }
    void pauseOrResume(Slot& slot)
    {
        if (!slot.host)
            return;
        m_judge.note(slot.address + (slot.host->answers() ? " pauses" : " resumes"));
        if (slot.host->answers())
            slot.host->process().pause();
        else
            slot.host->process().resume();
    }
    void drain(Slot& slot)
    {
        if (!slot.host || !slot.host->answers())
            return;
        m_judge.note(slot.address + " drains");
        slot.host->node().drain([this, &slot, host = slot.host] {
            m_judge.note(slot.address + " has drained");
            m_world.schedule(Common::Duration(0), [this, &slot, host] {
                host->process().kill();
                if (slot.host == host)
                    boot(slot);
            });
        });
    }
    void cutDomain()
    {
        const size_t domain = below(2);
        m_judge.note("domain " + std::to_string(domain) + " is cut off");
        for (const Slot& inside : m_slots) {
            if (inside.domain != domain)
                continue;
            m_store.cut(inside.address);
            for (const Slot& outside : m_slots) {
                if (outside.domain == domain)
                    continue;
                m_network.cut(inside.address, outside.address);
                m_network.cut(outside.address, inside.address);
            }
        }
    }
    void cutOneWay()
    {
        const std::string node = anySlot().address;
        const std::string other = below(2) == 0 ? anySlot().address : m_workers[below(workerCount)]->name();
        const bool out = below(2) == 0;
        m_judge.note("cut " + (out ? node + " to " + other : other + " to " + node));
        m_network.cut(out ? node : other, out ? other : node);
    }
    void noise()
    {
        m_judge.note("the network loses and repeats");
        m_network.setLossPerMille(below(80));
        m_network.setDuplicatesPerMille(below(80));
    }
    void healNetwork()
    {
        m_judge.note("the network heals");
        m_network.heal();
        for (const Slot& slot : m_slots)
            m_store.heal(slot.address);
    }
    void storeFault()
    {
        m_store.faults.down = below(3) == 0;
        m_store.faults.lostAnswers = static_cast<uint32_t>(below(20));
        m_store.faults.lateWrites = static_cast<uint32_t>(below(20));
        m_judge.note(m_store.faults.down ? "the store is down" : "the store loses answers and writes late");
    }
    void healStore()
    {
        m_judge.note("the store heals");
        m_store.faults = {};
    }
    void heal()
    {
        m_judge.note("all heals");
        healNetwork();
        healStore();
        for (const auto& worker : m_workers)
            worker->setLeaving(false);
        for (Slot& slot : m_slots) {
            if (!slot.host)
                boot(slot);
            else if (!slot.host->answers())
                slot.host->process().resume();
        }
    }

    // ---- What must hold ----

    void checkNow()
    {
        for (Slot& slot : m_slots) {
            if (!slot.host || !slot.host->answers())
                continue;
            const auto document = slot.host->node().config().document();
            const uint64_t revision = document ? document->revision.value : 0;
            if (revision < slot.highestRevision)
                m_judge.violate(slot.address + " went back to an older configuration");
            slot.highestRevision = revision;
        }
    }
    void checkEnds()
    {
        checkOutcomes();
        checkJobs();
        checkConfiguration();
    }
    void checkOutcomes()
    {
        for (const Outcome& outcome : m_outcomes) {
            if (*outcome.count == 0 && outcome.host->answers())
                m_judge.violate(outcome.id + " has no outcome");
        }
        for (const auto& [id, request] : m_requests) {
            if (request.sent > 0 && request.notRun == request.sent && m_judge.starts(id) > 0)
                m_judge.violate(id + " was told as not run but started");
        }
    }
    void checkJobs()
    {
        // Twice, from different nodes: an end is for good.
        for (size_t round = 0; round < 2; ++round) {
            for (auto& entry : m_jobs)
                askFor(entry.second);
            advance(std::chrono::seconds(8));
        }
        for (const auto& [key, job] : m_jobs) {
            if (!job.end) {
                m_judge.violate(job.id + " has not ended");
                continue;
            }
            const std::string state(jobStateName(*job.end));
            const bool once = job.submission.profile.value() == "once";
            const bool allowed = *job.end == Ledger::JobState::Finished
                || (*job.end == Ledger::JobState::Unknown && once)
                || (*job.end == Ledger::JobState::Cancelled && job.cancelWished);
            if (!allowed)
                m_judge.violate(job.id + " ended as " + state);
            if (*job.end == Ledger::JobState::Finished && !m_judge.finished(job.id))
                m_judge.violate(job.id + " is told as finished but did not finish");
        }
    }
    void askFor(Job& job)
    {
        NodeHost* const host = anyHost();
        if (!host)
            return;
        host->node().jobs().get(Common::JobId(job.id), [this, &job](const auto& status) {
            if (!status) {
                m_judge.note(job.id + " can't be read: " + std::string(errorName(status.reason().code)));
                if (status.reason().code == Common::ErrorCode::UnknownJob)
                    m_judge.violate(job.id + " was accepted and is not known");
                return;
            }
            m_judge.note(job.id + " is " + std::string(jobStateName(status->state)) + " " + status->detail);
            if (job.end && *job.end != status->state)
                m_judge.violate(job.id + " ended twice");
            if (!isEnded(status->state))
                return;
            job.end = status->state;
            m_judge.mustNotStartAgain(job.id);
        });
    }
    void checkConfiguration()
    {
        if (m_accepted.empty()) {
            m_judge.violate("no configuration was ever accepted");
            return;
        }
        for (const Slot& slot : m_slots) {
            const auto document = slot.host->node().config().document();
            if (!document || document->revision.value < m_accepted.rbegin()->first)
                m_judge.violate(slot.address + " lacks the newest accepted configuration");
        }
        m_slots.front().host->node().config().history(1000, [this](const auto& documents) {
            if (!documents)
                return;
            m_historyRead = true;
            std::map<uint64_t, std::string> kept;
            for (const Config::ConfigDocument& document : *documents)
                kept[document.revision.value] = document.change.value();
            for (const auto& [revision, change] : m_accepted) {
                if (kept[revision] != change)
                    m_judge.violate(change + " was accepted and is not in the history");
            }
        });
        advance(std::chrono::seconds(5));
        if (!m_historyRead)
            m_judge.violate("the history of the configuration can't be read");
    }

    struct Outcome {
        std::string id;
        NodeHost* host = nullptr;
        std::shared_ptr<size_t> count;
    };

    std::mt19937_64 m_random;
    Fakes::VirtualRuntime m_world;
    Fakes::FakeNetwork m_network;
    Fakes::FakeStore m_store;
    Judge m_judge;
    NodeHost::Directories m_directories;
    std::vector<std::unique_ptr<JudgedWorker>> m_workers;
    std::vector<Slot> m_slots;
    /// Killed ones too: events of theirs may still be on their way.
    std::vector<std::unique_ptr<NodeHost>> m_hosts;
    uint64_t m_boots = 0;
    std::map<std::string, Request> m_requests;
    std::vector<Outcome> m_outcomes;
    size_t m_answered = 0;
    uint64_t m_lastKey = 0;
    /// By key; only accepted ones.
    std::map<std::string, Job> m_jobs;
    uint64_t m_lastChange = 0;
    /// By revision.
    std::map<uint64_t, std::string> m_accepted;
    bool m_historyRead = false;
};

} // namespace NodeTests
