// Runs jobs while faults are injected and checks the workers' record of what ran.
#include "Ledger/JobService.h"

#include "Ledger/JobWorld.h"
#include "Ledger/LedgerSeeds.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Ledger;
using namespace LedgerTests;
using namespace std::chrono_literals;

namespace {

/// Submits the job and checks that it is accepted.
Common::JobId accept(JobWorld& world, JobDaemon& daemon, const JobSubmission& submission)
{
    std::optional<Common::Result<JobService::Accepted>> answer;
    daemon.jobs.submit(submission, [&](const auto& result) { answer = result; });
    world.runtime.advance(2s);
    REQUIRE(answer);
    REQUIRE(answer->hasValue());
    return (*answer)->job;
}

std::optional<Common::ErrorCode> submitExpectingRefusal(
    JobWorld& world, JobDaemon& daemon, const JobSubmission& submission)
{
    std::optional<Common::ErrorCode> code;
    daemon.jobs.submit(submission, [&](const auto& result) {
        if (!result)
            code = result.reason().code;
    });
    world.runtime.advance(3s);
    return code;
}

JobState stateOf(const JobDaemon& daemon, const Common::JobId& job)
{
    const auto status = daemon.jobs.get(job);
    REQUIRE(status);
    return status->state;
}

Common::TaskId taskOf(const Common::JobId& job, int attempt)
{
    return Common::TaskId(job.value() + "#" + std::to_string(attempt));
}

} // namespace

TEST_CASE("a job is accepted once per key, runs, and ends")
{
    JobWorld world;
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    const Common::JobId job = accept(world, daemon, JobWorld::submission("one"));
    CHECK(JobService::shardOfJob(job) == daemon.owners.shardOf("one"));
    CHECK(JobService::shardOfTask(taskOf(job, 1)) == JobService::shardOfJob(job));
    CHECK(accept(world, daemon, JobWorld::submission("one")) == job);
    CHECK(submitExpectingRefusal(world, daemon, JobWorld::submission("one", "once")) == Common::ErrorCode::DuplicateId);
    world.runtime.advance(30s);
    CHECK(stateOf(daemon, job) == JobState::Finished);
    CHECK(world.workers.journal.size() == 1);
    // The end of the task was acknowledged.
    for (const auto& entry : world.workers.workers)
        CHECK(entry.second.tasks.empty());
}

TEST_CASE("jobs that are invalid or can never run are refused")
{
    JobWorld world;
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    CHECK(submitExpectingRefusal(world, daemon, JobWorld::submission("big", "batch", "t1", 5))
        == Common::ErrorCode::JobFitsNoWorker);
    CHECK(
        submitExpectingRefusal(world, daemon, JobWorld::submission("bad key")) == Common::ErrorCode::MalformedRequest);
    CHECK(
        submitExpectingRefusal(world, daemon, JobWorld::submission("k", "none")) == Common::ErrorCode::UnknownProfile);
    CHECK(submitExpectingRefusal(world, daemon, JobWorld::submission("k", "batch", "small", 3))
        == Common::ErrorCode::QuotaExceeded);
    world.store.faults.down = true;
    const auto code = submitExpectingRefusal(world, daemon, JobWorld::submission("k"));
    CHECK((code == Common::ErrorCode::StoreUnavailable || code == Common::ErrorCode::OutcomeUnknown));
}

TEST_CASE("an evicted job resumes once from its checkpoint, also under a successor")
{
    JobWorld world;
    world.workers.faults.longestRun = std::chrono::hours(1);
    JobDaemon& first = world.add("a");
    world.runtime.advance(3s);
    const Common::JobId job = accept(world, first, JobWorld::submission("one"));
    world.runtime.advance(3s);
    REQUIRE(stateOf(first, job) == JobState::Running);
    std::string resumeFrom;
    first.jobs.onEvicted([&](const Common::TaskId&, const std::string& checkpoint) { resumeFrom = checkpoint; });
    CHECK(first.jobs.evict(taskOf(job, 1)));
    CHECK_FALSE(first.jobs.evict(taskOf(job, 1)));
    world.runtime.advance(10s);
    REQUIRE(world.workers.journal.size() == 2);
    CHECK_FALSE(resumeFrom.empty());
    CHECK(world.workers.journal[1].checkpoint == resumeFrom);
    first.runtime.kill();
    JobDaemon& second = world.add("b");
    world.runtime.advance(10s);
    CHECK(stateOf(second, job) == JobState::Running);
    CHECK(second.jobs.get(job)->attempts.size() == 2);
    CHECK(world.workers.journal.size() == 2);
}

TEST_CASE("a job fails after failures on distinct workers, but not because of a single faulty worker")
{
    JobWorld world(1, 4);
    for (auto& entry : world.workers.workers)
        entry.second.failsAll = true;
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    const Common::JobId poison = accept(world, daemon, JobWorld::submission("poison"));
    world.runtime.advance(60s);
    CHECK(stateOf(daemon, poison) == JobState::Failed);
    CHECK(world.workers.journal.size() == 3);
    for (const char* healthy : { "w1", "w2", "w3" })
        world.workers.workers[healthy].failsAll = false;
    const Common::JobId good = accept(world, daemon, JobWorld::submission("good"));
    world.runtime.advance(60s);
    CHECK(stateOf(daemon, good) == JobState::Finished);
}

TEST_CASE("many cancellations need few writes and few task controls")
{
    JobWorld world;
    world.workers.faults.longestRun = std::chrono::hours(1);
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    std::vector<Common::JobId> jobs;
    for (int number = 0; number < 3000; ++number) {
        daemon.jobs.submit(JobWorld::submission("k" + std::to_string(number)), [&](const auto& result) {
            if (result)
                jobs.push_back(result->job);
        });
    }
    world.runtime.advance(10s);
    REQUIRE(jobs.size() == 3000);
    const uint64_t writes = world.store.counts.writes;
    const uint64_t controls = daemon.taskLauncher.controls;
    size_t cancelled = 0;
    for (const Common::JobId& job : jobs)
        daemon.jobs.cancel(job, [&](const auto& result) { cancelled += result.hasValue() ? 1 : 0; });
    world.runtime.advance(5s);
    CHECK(cancelled == 3000);
    CHECK(world.store.counts.writes - writes < 100);
    CHECK(daemon.taskLauncher.controls - controls < 50);
    for (const Common::JobId& job : jobs)
        CHECK(stateOf(daemon, job) == JobState::Cancelled);
}

TEST_CASE("a cancellation while the store is unavailable is answered in bounded time and takes effect later")
{
    JobWorld world;
    world.workers.faults.longestRun = std::chrono::hours(1);
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    const Common::JobId job = accept(world, daemon, JobWorld::submission("one"));
    world.runtime.advance(3s);
    world.store.faults.down = true;
    std::optional<Common::ErrorCode> code;
    daemon.jobs.cancel(job, [&](const auto& result) { code = result.reason().code; });
    world.runtime.advance(world.settings.acceptTimeout);
    CHECK(code == Common::ErrorCode::OutcomeUnknown);
    CHECK(stateOf(daemon, job) == JobState::Running);
    world.store.faults.down = false;
    world.runtime.advance(10s);
    CHECK(stateOf(daemon, job) == JobState::Cancelled);
}

TEST_CASE("tasks in a domain that is cut off keep running, and tasks of a dead worker restart after the lease")
{
    JobWorld world(1, 2);
    world.workers.faults.longestRun = std::chrono::hours(1);
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    const Common::JobId job = accept(world, daemon, JobWorld::submission("one"));
    world.runtime.advance(3s);
    auto& first = world.workers.workers["w0"];
    first.cutOff = true;
    world.runtime.advance(120s);
    CHECK(world.workers.journal.size() == 1);
    first.cutOff = false;
    world.runtime.advance(5s);
    CHECK(stateOf(daemon, job) == JobState::Running);
    world.workers.die(first);
    world.runtime.advance(30s);
    CHECK(world.workers.journal.size() == 2);
    CHECK(stateOf(daemon, job) == JobState::Running);
}

TEST_CASE("urgent jobs start first, teams share slots, and quotas hold")
{
    JobWorld world(1, 1);
    world.workers.faults.longestRun = std::chrono::hours(1);
    world.settings.shardCount = 1;
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    for (const char* key : { "a1", "a2", "a3", "a4" })
        accept(world, daemon, JobWorld::submission(key, "batch", "small"));
    world.runtime.advance(5s);
    CHECK(world.workers.journal.size() == 2);
    for (const char* key : { "b1", "b2", "b3", "b4" })
        accept(world, daemon, JobWorld::submission(key, "batch", "t1"));
    accept(world, daemon, JobWorld::submission("c1", "batch", "t2"));
    const Common::JobId urgent = accept(world, daemon, JobWorld::submission("u1", "urgent", "t3"));
    REQUIRE(world.workers.journal.size() == 4);
    // Slots are freed one at a time: the urgent job starts first, then the team with less usage.
    const auto freeOne = [&](size_t run) {
        daemon.jobs.cancel(Common::JobId(world.workers.journal[run].job), [](const auto&) {});
        world.runtime.advance(5s);
    };
    freeOne(2);
    REQUIRE(world.workers.journal.size() == 5);
    CHECK(world.workers.journal[4].job == urgent.value());
    freeOne(3);
    REQUIRE(world.workers.journal.size() == 6);
    CHECK(world.workers.journal[5].job == "j-00-c1");
}

TEST_CASE("a job needs few bytes of log")
{
    JobWorld world(1, 50);
    // Without a snapshot the ring holds all entries.
    world.settings.shardCount = 1;
    world.settings.slotCount = 4096;
    world.settings.snapshotEvery = 4000;
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    constexpr uint64_t jobCount = 1000;
    for (uint64_t number = 0; number < jobCount; ++number) {
        daemon.jobs.submit(JobWorld::submission("job-" + std::to_string(number)), [](const auto&) {});
        world.runtime.advance(20ms);
    }
    world.runtime.advance(60s);
    CHECK(daemon.jobs.list({ .state = JobState::Finished, .limit = jobCount }).size() == jobCount);
    uint64_t bytes = 0;
    for (const auto& entry : world.store.values())
        bytes += entry.second.value.size();
    const uint64_t perJob = bytes / jobCount;
    MESSAGE(perJob << " bytes of log per job in " << world.store.values().size() << " entries");
    // The deltas for acceptance, intent and end, and the job's share of the entries' heads.
    CHECK(perJob < 350);
}

TEST_CASE("checkpoints of running tasks are committed together with other deltas")
{
    JobWorld world;
    world.workers.faults.longestRun = std::chrono::hours(1);
    world.settings.checkpointRecordGap = 1s;
    JobDaemon& daemon = world.add("a");
    world.runtime.advance(3s);
    const Common::JobId job = accept(world, daemon, JobWorld::submission("one"));
    world.runtime.advance(10s);
    const uint64_t before = world.store.counts.writes;
    for (int second = 0; second < 60; ++second) {
        for (auto& entry : world.workers.workers)
            world.workers.control(entry.second, Scheduler::TaskControl::Checkpoint, { taskOf(job, 1) });
        world.runtime.advance(1s);
    }
    CHECK_FALSE(daemon.jobs.get(job)->checkpoint.empty());
    CHECK(world.store.counts.writes - before <= 60 / 5 + 1);
}

namespace {

/// Runs one random schedule and checks the guarantees against the record of what ran.
class Schedule {
public:
    explicit Schedule(uint64_t seed)
        : m_world(seed)
    {
        m_world.workers.faults = { .lostViews = 15,
            .repeatedViews = 15,
            .lostStarts = 20,
            .longestStart = 6s,
            .longestView = 2s,
            .longestRun = 15s };
        m_world.settings.checkpointRecordGap = 3s;
    }

    void execute()
    {
        for (int step = 0; step < 40; ++step) {
            changeFaults();
            changeMembership();
            sendCalls();
            m_world.runtime.advance(m_world.workers.between(0s, 1500ms));
        }
        settle();
    }
    void checkGuarantees()
    {
        std::map<std::string, std::vector<const Run*>> runs;
        for (const Run& run : m_world.workers.journal)
            runs[run.job].push_back(&run);
        for (const std::string& key : m_accepted)
            checkJob(key, runs);
        for (const auto& entry : runs)
            CHECK_MESSAGE(m_possiblyAccepted.contains(entry.first.substr(5)), "a refused job ran: " << entry.first);
        for (const auto& [task, checkpoint] : m_evicted)
            checkEviction(task, checkpoint, runs);
    }
    size_t runs() const { return m_world.workers.journal.size(); }
    size_t evictions() const { return m_evicted.size(); }
    size_t accepted() const { return m_accepted.size(); }

private:
    void changeFaults()
    {
        auto& store = m_world.store.faults;
        store.lostAnswers = m_world.random(3) == 0 ? 30 : 0;
        store.lateWrites = m_world.random(4) == 0 ? 20 : 0;
        store.down = m_world.random(10) == 0;
        for (auto& entry : m_world.workers.workers) {
            auto& worker = entry.second;
            const uint64_t fate = m_world.random(80);
            if (fate == 0)
                m_world.workers.reboot(worker);
            if (fate == 1 && !worker.dead)
                m_world.workers.die(worker);
            if (fate == 2)
                worker.cutOff = true;
            if (fate > 60)
                worker.cutOff = worker.dead = false;
            worker.failsAll = m_world.random(30) == 0;
        }
    }
    void changeMembership()
    {
        if (m_names.size() < 2 || m_world.random(30) == 0) {
            m_names.push_back("d" + std::to_string(m_names.size()));
            JobDaemon& daemon = m_world.add(m_names.back());
            daemon.jobs.onEvicted([this](const Common::TaskId& task, const std::string& checkpoint) {
                m_evicted[task.value()] = checkpoint;
            });
        }
        for (const auto& daemon : m_world.daemons) {
            const uint64_t fate = m_world.random(60);
            if (fate == 0)
                daemon->runtime.kill();
            else if (fate < 5)
                daemon->runtime.pause();
            else if (fate < 25)
                daemon->runtime.resume();
            if (m_world.random(12) == 0)
                daemon->members.see({ m_names[m_world.random(m_names.size())], daemon->members.self().id.value() });
        }
    }
    void sendCalls()
    {
        for (const auto& daemon : m_world.daemons) {
            if (!daemon->runtime.running())
                continue;
            const std::string key = "k" + std::to_string(m_world.random(25));
            const char* const profile = std::hash<std::string>()(key) % 3 == 0 ? "once" : "batch";
            submit(*daemon, key, profile);
            submit(*daemon, "u" + std::to_string(++m_lastUnique), profile);
            const std::string other = "k" + std::to_string(m_world.random(25));
            const Common::JobId job("j-0" + std::to_string(daemon->owners.shardOf(other).value) + "-" + other);
            if (m_world.random(6) == 0)
                daemon->jobs.cancel(job, [](const auto&) {});
            else if (m_world.random(2) == 0)
                evictSome(*daemon);
        }
    }
    void submit(JobDaemon& daemon, const std::string& key, const char* profile)
    {
        m_possiblyAccepted.insert(key);
        daemon.jobs.submit(JobWorld::submission(key, profile), [this, key](const auto& result) {
            if (result)
                m_accepted.insert(key);
            else if (result.reason().code != Common::ErrorCode::OutcomeUnknown && key.front() == 'u')
                m_possiblyAccepted.erase(key);
        });
    }
    void evictSome(JobDaemon& daemon)
    {
        for (const JobStatus& status : daemon.jobs.list({ .state = JobState::Running })) {
            if (m_world.random(2) == 0)
                daemon.jobs.evict(taskOf(status.job, static_cast<int>(status.attempts.back().number.value)));
        }
    }
    /// Ends all faults and makes one new daemon the only live one.
    void settle()
    {
        m_world.store.faults = {};
        m_world.workers.faults = { .longestRun = 5s };
        for (auto& entry : m_world.workers.workers)
            entry.second.dead = entry.second.cutOff = entry.second.failsAll = false;
        m_last = &m_world.add("last");
        for (const auto& daemon : m_world.daemons) {
            daemon->runtime.resume();
            daemon->members.see({ "last" });
        }
        for (int round = 0; round < 30 && !allEnded(); ++round)
            m_world.runtime.advance(10s);
    }
    bool allEnded() const
    {
        for (const std::string& key : m_accepted) {
            const auto status = statusOf(key);
            if (!status || !isEnded(status->state))
                return false;
        }
        return true;
    }
    Common::Result<JobStatus> statusOf(const std::string& key) const
    {
        const uint32_t shard = m_last->owners.shardOf(key).value;
        return m_last->jobs.get(Common::JobId("j-0" + std::to_string(shard) + "-" + key));
    }
    void checkJob(const std::string& key, const std::map<std::string, std::vector<const Run*>>& runs) const
    {
        CAPTURE(key);
        const auto status = statusOf(key);
        REQUIRE_MESSAGE(status, "an accepted job is lost");
        CHECK_MESSAGE(isEnded(status->state), "a job did not end: " << jobStateName(status->state));
        const auto found = runs.find(status->job.value());
        if (found == runs.end()) {
            CHECK(status->state != JobState::Finished);
            return;
        }
        const auto& list = found->second;
        std::set<std::string> tasks;
        size_t finished = 0;
        for (size_t index = 0; index < list.size(); ++index) {
            CHECK_MESSAGE(tasks.insert(list[index]->task).second, "an attempt ran twice: " << list[index]->task);
            finished += list[index]->finished ? 1 : 0;
            if (list[index]->finished && !list[index]->endLost)
                CHECK_MESSAGE(index + 1 == list.size(), "a finished job ran again: " << list[index]->task);
            if (index == 0)
                continue;
            const auto& before = list[index - 1]->until;
            CHECK_MESSAGE((before && *before <= list[index]->from), "two attempts ran at once: " << list[index]->task);
        }
        if (status->state == JobState::Finished)
            CHECK(finished >= 1);
        if (status->profile.value() == "once")
            CHECK_MESSAGE(list.size() == 1, "an at-most-once job ran again");
    }
    static void checkEviction(const std::string& task, const std::string& checkpoint,
        const std::map<std::string, std::vector<const Run*>>& runs)
    {
        const std::string job = task.substr(0, task.rfind('#'));
        const auto found = runs.find(job);
        REQUIRE(found != runs.end());
        const auto& list = found->second;
        const auto evicted = std::find_if(list.begin(), list.end(), [&](const Run* run) { return run->task == task; });
        REQUIRE(evicted != list.end());
        if (std::next(evicted) != list.end())
            CHECK((*std::next(evicted))->checkpoint == checkpoint);
    }

    JobWorld m_world;
    std::vector<std::string> m_names;
    std::set<std::string> m_accepted;
    /// Keys of submissions that may have been accepted.
    std::set<std::string> m_possiblyAccepted;
    std::map<std::string, std::string> m_evicted;
    int m_lastUnique = 0;
    JobDaemon* m_last = nullptr;
};

} // namespace

TEST_CASE("no attempt runs twice, no accepted job is lost, at-most-once jobs run once, and evicted jobs resume once")
{
    size_t schedules = 0;
    size_t runs = 0;
    size_t evictions = 0;
    size_t accepted = 0;
    forEachSeed(1500, [&](uint64_t seed) {
        CAPTURE(seed);
        Schedule schedule(seed);
        schedule.execute();
        schedule.checkGuarantees();
        ++schedules;
        runs += schedule.runs();
        evictions += schedule.evictions();
        accepted += schedule.accepted();
    });
    MESSAGE(schedules << " schedules, " << accepted << " jobs, " << runs << " runs, " << evictions << " evictions");
    CHECK(accepted > schedules * 3);
    CHECK(runs > schedules * 3);
}
