// Keeps one JobShard for each owned shard, and what they share: team usage, counters and sizes known to fit a worker.
#include "Ledger/JobService.h"

#include "Common/Metrics.h"
#include "Ledger/JobCounters.h"
#include "Ledger/JobShard.h"
#include "Ledger/Lifetime.h"
#include "Ledger/ShardOwners.h"
#include "Scheduler/ClusterConfig.h"
#include "Scheduler/ConfigView.h"
#include "Scheduler/Runtime.h"
#include "Scheduler/TaskLauncher.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Ledger {

namespace {

    constexpr Common::Duration periodicCheckInterval = std::chrono::seconds(1);
    /// How long a size is known to fit a worker after a successful check.
    constexpr Common::Duration fitRetention = std::chrono::seconds(60);
    constexpr size_t maximumKnownSizes = 1000;
    constexpr size_t maximumKeyLength = 64;

    Common::Failure notOwner()
    {
        return Common::Failure { Common::ErrorCode::NotOwner, "another daemon owns the job's shard" };
    }

    bool isKeyCharacter(char letter)
    {
        const bool alphanumeric
            = (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
        return alphanumeric || letter == '.' || letter == '_' || letter == '-';
    }

    bool isKey(const std::string& key)
    {
        return !key.empty() && key.size() <= maximumKeyLength && std::all_of(key.begin(), key.end(), isKeyCharacter);
    }

} // namespace

class JobService::Impl {
public:
    Impl(const Scheduler::ServiceContext& context, ShardOwners& owners, Scheduler::TaskLauncher& taskLauncher,
        Scheduler::ConfigView& config, const LedgerSettings& settings, DomainReachable domainReachable)
        : m_context(context)
        , m_owners(owners)
        , m_taskLauncher(taskLauncher)
        , m_config(config)
        , m_settings(settings)
        , m_domainReachable(std::move(domainReachable))
        , m_counters(context.metrics)
        , m_open(context.metrics.gauge("lavendercart_jobs_open", "Jobs of this process's shards that haven't ended"))
    {
        owners.addListener([this](ShardOwners::Change change, LedgerShard& shard) {
            if (change == ShardOwners::Change::Owned)
                shardOwned(shard);
            else
                shardLost(shard.index());
        });
    }

    void start()
    {
        tick();
        runPeriodicChecks();
    }

    void submit(const JobSubmission& submission, Common::Callback<Accepted> done)
    {
        if (const auto refusal = validationFailure(submission)) {
            m_counters.refused.Increment();
            done(*refusal);
            return;
        }
        JobShard* const shard = find(m_owners.shardOf(submission.key));
        if (shard == nullptr) {
            done(notOwner());
            return;
        }
        if (const auto known = shard->findSubmitted(submission)) {
            done(*known);
            return;
        }
        if (isKnownToFit(submission.resources))
            accept(submission, done);
        else
            checkFit(submission, std::move(done));
    }

    JobShard* find(const std::optional<ShardIndex>& index) const
    {
        const auto found = index ? m_shards.find(*index) : m_shards.end();
        return found == m_shards.end() ? nullptr : found->second.get();
    }
    std::vector<JobStatus> list(const JobQuery& query) const
    {
        std::vector<JobStatus> found;
        for (const auto& entry : m_shards)
            entry.second->list(query, found);
        return found;
    }
    void onView(const Scheduler::WorkerView& view)
    {
        std::map<ShardIndex, std::vector<Scheduler::TaskReport>> tasks;
        for (const Scheduler::TaskReport& report : view.tasks) {
            if (const auto shard = JobService::shardOfTask(report.task))
                tasks[*shard].push_back(report);
        }
        for (const auto& entry : m_shards) {
            if (tasks.contains(entry.first) || entry.second->isWatching(view.worker))
                entry.second->onView({ view.worker, view.boot, view.clock, std::move(tasks[entry.first]) });
        }
    }

    TeamUsage usage;
    std::vector<EvictListener> evictListeners;

private:
    using Size = std::tuple<int64_t, int64_t, int64_t, int64_t>;

    static Size sizeOf(const Common::Resources& amount)
    {
        return { amount.slots, amount.milliCores, amount.memoryMegabytes, amount.accelerators };
    }
    const Scheduler::Profile* profileOf(const JobSubmission& submission) const
    {
        const auto config = m_config.current();
        const auto found = config->profiles.find(submission.profile);
        return found == config->profiles.end() ? nullptr : &found->second;
    }
    std::optional<Common::Failure> validationFailure(const JobSubmission& submission) const
    {
        using Common::ErrorCode;
        if (!isKey(submission.key))
            return Common::Failure { ErrorCode::MalformedRequest, "a job's id is 1 to 64 of A-Z a-z 0-9 . _ -" };
        if (submission.command.size() > m_settings.maximumCommandBytes)
            return Common::Failure { ErrorCode::RequestTooLarge, "the command is too long" };
        const auto config = m_config.current();
        if (!config)
            return Common::Failure { ErrorCode::NoConfiguration, "no configuration yet", m_settings.storeRetryAfter };
        if (profileOf(submission) == nullptr)
            return Common::Failure { ErrorCode::UnknownProfile, "no such profile: " + submission.profile.value() };
        const auto team = config->teams.find(submission.team);
        if (team == config->teams.end())
            return Common::Failure { ErrorCode::MalformedRequest, "no such team: " + submission.team.value() };
        if (!TeamUsage().allows(submission.team, submission.resources, team->second.quota))
            return Common::Failure { ErrorCode::QuotaExceeded, "the job is larger than its team's quota" };
        return std::nullopt;
    }

    bool isKnownToFit(const Common::Resources& amount) const
    {
        const auto known = m_knownFits.find(sizeOf(amount));
        return known != m_knownFits.end() && m_context.runtime.now() - known->second < fitRetention;
    }
    /// Makes a trial reservation for a size that wasn't checked recently, so that a job that fits no worker is refused
    /// at once. Without an answer within acceptTimeout the job is accepted.
    void checkFit(const JobSubmission& submission, Common::Callback<Accepted> done)
    {
        auto waiting = std::make_shared<Common::Callback<Accepted>>(std::move(done));
        const auto onFitKnown = m_lifetime.guard([this, submission, waiting](bool fits) {
            const auto callback = std::exchange(*waiting, nullptr);
            if (!callback)
                return;
            if (fits) {
                accept(submission, callback);
                return;
            }
            m_counters.refused.Increment();
            callback(Common::Failure { Common::ErrorCode::JobFitsNoWorker, "no worker is large enough" });
        });
        const auto timer = m_context.runtime.schedule(m_settings.acceptTimeout, [onFitKnown] { onFitKnown(true); });
        const Common::JobId job = JobShard::jobId(m_owners.shardOf(submission.key), submission.key);
        const Scheduler::TaskSpec spec { .task = Common::TaskId(job.value() + "#0"),
            .job = job,
            .team = submission.team,
            .profile = submission.profile,
            .declared = submission.resources };
        m_taskLauncher.reserve(spec,
            m_lifetime.guard([this, onFitKnown, timer, spec](const Common::Result<Scheduler::Reservation>& result) {
                m_context.runtime.cancel(timer);
                const bool fits = result || result.reason().code != Common::ErrorCode::JobFitsNoWorker;
                if (result)
                    m_taskLauncher.release(*result);
                if (fits)
                    recordFit(spec.declared);
                onFitKnown(fits);
            }));
    }
    void recordFit(const Common::Resources& amount)
    {
        if (m_knownFits.size() >= maximumKnownSizes)
            m_knownFits.clear();
        m_knownFits[sizeOf(amount)] = m_context.runtime.now();
    }
    void accept(const JobSubmission& submission, const Common::Callback<Accepted>& done)
    {
        JobShard* const shard = find(m_owners.shardOf(submission.key));
        const Scheduler::Profile* const profile = profileOf(submission);
        if (shard == nullptr || profile == nullptr) {
            done(notOwner());
            return;
        }
        shard->submit(submission, !profile->idempotent, done);
    }

    void shardOwned(LedgerShard& shard)
    {
        const auto evicted = [this](const Common::TaskId& task, const std::string& checkpoint) {
            for (const EvictListener& listener : evictListeners)
                listener(task, checkpoint);
        };
        m_shards[shard.index()]
            = std::make_shared<JobShard>(JobShard::Dependencies { m_context, m_taskLauncher, m_config, m_settings,
                                             usage, m_counters, m_domainReachable, evicted },
                shard);
    }
    void shardLost(ShardIndex index)
    {
        const auto found = m_shards.find(index);
        if (found == m_shards.end())
            return;
        const std::shared_ptr<JobShard> lost = std::move(found->second);
        m_shards.erase(found);
        lost->abandon();
        // The shard may be on the call stack.
        m_context.runtime.schedule(Common::Duration(0), [lost] {});
    }
    void tick()
    {
        for (const auto& entry : m_shards)
            entry.second->tick();
        m_context.runtime.schedule(m_settings.jobTickInterval, m_lifetime.guard([this] { tick(); }));
    }
    void runPeriodicChecks()
    {
        size_t open = 0;
        for (const auto& entry : m_shards) {
            entry.second->runPeriodicChecks();
            if (const LedgerShard* const shard = m_owners.owned(entry.first))
                open += shard->state().openJobs();
        }
        m_open.Set(static_cast<double>(open));
        m_context.runtime.schedule(periodicCheckInterval, m_lifetime.guard([this] { runPeriodicChecks(); }));
    }

    Scheduler::ServiceContext m_context;
    ShardOwners& m_owners;
    Scheduler::TaskLauncher& m_taskLauncher;
    Scheduler::ConfigView& m_config;
    const LedgerSettings& m_settings;
    DomainReachable m_domainReachable;
    JobCounters m_counters;
    prometheus::Gauge& m_open;
    std::map<ShardIndex, std::shared_ptr<JobShard>> m_shards;
    /// Sizes that fit some worker, and when that was last checked.
    std::map<Size, Common::MonotonicTime> m_knownFits;
    Lifetime m_lifetime;
};

JobService::JobService(const Scheduler::ServiceContext& context, ShardOwners& owners,
    Scheduler::TaskLauncher& taskLauncher, Scheduler::ConfigView& config, const LedgerSettings& settings,
    DomainReachable domainReachable)
    : m_impl(std::make_unique<Impl>(context, owners, taskLauncher, config, settings, std::move(domainReachable)))
{
}

JobService::~JobService() = default;

void JobService::start() { m_impl->start(); }

void JobService::submit(const JobSubmission& submission, Common::Callback<Accepted> done)
{
    m_impl->submit(submission, std::move(done));
}

Common::Result<JobStatus> JobService::get(const Common::JobId& job) const
{
    const JobShard* const shard = m_impl->find(shardOfJob(job));
    if (shard == nullptr)
        return notOwner();
    return shard->get(job);
}

std::vector<JobStatus> JobService::list(const JobQuery& query) const { return m_impl->list(query); }

void JobService::cancel(const Common::JobId& job, Common::Callback<Common::Done> done)
{
    JobShard* const shard = m_impl->find(shardOfJob(job));
    if (shard == nullptr)
        done(notOwner());
    else
        shard->cancel(job, std::move(done));
}

bool JobService::evict(const Common::TaskId& task)
{
    JobShard* const shard = m_impl->find(shardOfTask(task));
    return shard != nullptr && shard->evict(task);
}

void JobService::onEvicted(EvictListener listener) { m_impl->evictListeners.push_back(std::move(listener)); }

void JobService::onView(const Scheduler::WorkerView& view) { m_impl->onView(view); }

std::map<Common::TeamName, Common::Resources> JobService::teamUsage() const { return m_impl->usage.local(); }

void JobService::setRemoteTeamUsage(std::map<Common::TeamName, Common::Resources> remote, uint32_t owners)
{
    m_impl->usage.setRemote(std::move(remote), owners);
}

std::optional<ShardIndex> JobService::shardOfJob(const Common::JobId& job)
{
    const std::string& text = job.value();
    const bool named = text.starts_with("j-") && text.size() > 4 && text.find('-', 2) != std::string::npos;
    if (!named || text[2] < '0' || text[2] > '9')
        return std::nullopt;
    return ShardIndex { static_cast<uint32_t>(std::strtoul(text.c_str() + 2, nullptr, 10)) };
}

std::optional<ShardIndex> JobService::shardOfTask(const Common::TaskId& task)
{
    const auto job = jobOfTask(task);
    return job ? shardOfJob(*job) : std::nullopt;
}

std::optional<Common::JobId> JobService::jobOfTask(const Common::TaskId& task)
{
    const size_t separator = task.value().rfind('#');
    if (separator == std::string::npos || !task.value().starts_with("j-"))
        return std::nullopt;
    return Common::JobId(task.value().substr(0, separator));
}

} // namespace Ledger
