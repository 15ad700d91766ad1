// Routes job calls to shard owners. Retries after NotOwner, failed connections and lost answers.
#include "Ledger/JobGateway.h"

#include "Common/Metrics.h"
#include "Ledger/Codec.h"
#include "Ledger/Lifetime.h"
#include "Ledger/ShardOwners.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace Ledger {

namespace {

    using Common::ErrorCode;
    using nlohmann::json;

    constexpr uint32_t maximumSubmitTries = 3;

    bool isAnswerLost(ErrorCode code)
    {
        return code == ErrorCode::Timeout || code == ErrorCode::ConnectionLost || code == ErrorCode::OutcomeUnknown;
    }

    bool isReroutable(ErrorCode code) { return code == ErrorCode::NotOwner || code == ErrorCode::ConnectFailed; }

    Common::Failure noOwner(Common::Duration retryAfter)
    {
        return Common::Failure { ErrorCode::PeerUnavailable, "no daemon owns the shard now", retryAfter };
    }

    Common::Failure unknownJob() { return Common::Failure { ErrorCode::UnknownJob, "no such job" }; }

    Common::Failure malformed(const json::exception& error)
    {
        return Common::Failure { ErrorCode::ProtocolError, error.what() };
    }

    /// Decodes a peer's answer. Yields ProtocolError if it is malformed.
    template <typename T, typename Decode>
    Common::Result<T> decoded(const Common::Result<json>& answer, const Decode& decode)
    {
        if (!answer)
            return answer.reason();
        try {
            return decode(*answer);
        } catch (const json::exception& error) {
            return malformed(error);
        }
    }

    json queryToJson(const JobQuery& query)
    {
        json body { { "team", query.team.value() }, { "limit", query.limit } };
        if (query.state)
            body["state"] = jobStateName(*query.state);
        return body;
    }

    JobQuery queryFromJson(const json& body)
    {
        JobQuery query { .team = Common::TeamName(body.value("team", std::string())),
            .limit = body.value("limit", uint32_t { 100 }) };
        if (body.contains("state"))
            query.state = jobStateFromName(body.at("state").get<std::string>());
        return query;
    }

    json cancelResultToJson(const JobGateway::CancelResult& result)
    {
        json body { { "id", result.job.value() } };
        if (result.failure) {
            body["code"] = Common::errorName(result.failure->code);
            body["detail"] = result.failure->detail;
        }
        return body;
    }

    JobGateway::CancelResult cancelResultFromJson(const json& body)
    {
        JobGateway::CancelResult result { Common::JobId(body.at("id").get<std::string>()), std::nullopt };
        if (body.contains("code")) {
            const auto code = Common::errorFromName(body.at("code").get<std::string>());
            result.failure
                = Common::Failure { code.value_or(ErrorCode::Internal), body.value("detail", std::string()) };
        }
        return result;
    }

    /// Collects the results of a call that goes to several daemons.
    template <typename T> struct PartialResults {
        size_t outstanding = 0;
        std::vector<T> results;
        std::function<void(std::vector<T>)> done;

        void add(std::vector<T> part)
        {
            std::move(part.begin(), part.end(), std::back_inserter(results));
            if (--outstanding == 0)
                done(std::move(results));
        }
    };

} // namespace

class JobGateway::Impl {
public:
    using Usage = std::map<Common::TeamName, Common::Resources>;

    Impl(const Scheduler::ServiceContext& context, ShardOwners& owners, JobService& jobs,
        Scheduler::MembershipView& members, Scheduler::PeerPort& peers, const LedgerSettings& settings)
        : m_context(context)
        , m_owners(owners)
        , m_jobs(jobs)
        , m_members(members)
        , m_peers(peers)
        , m_settings(settings)
        , m_retries(context.metrics.counter("lavendercart_job_calls_retried_total", "Calls about jobs tried again"))
    {
    }

    void start()
    {
        serve();
        exchangeUsage();
    }

    void submit(const JobSubmission& submission, uint32_t tries, const Common::Callback<JobService::Accepted>& done)
    {
        const auto answered
            = m_lifetime.guard([this, submission, tries, done](const Common::Result<JobService::Accepted>& accepted) {
                  const bool again = !accepted && tries < maximumSubmitTries
                      && (isAnswerLost(accepted.reason().code) || isReroutable(accepted.reason().code));
                  if (!again) {
                      done(accepted);
                      return;
                  }
                  // The key stays the same: if the first call was accepted, the retry finds the job.
                  retry([this, submission, tries, done] { submit(submission, tries + 1, done); });
              });
        const ShardIndex shard = m_owners.shardOf(submission.key);
        if (isServedLocally(shard)) {
            m_jobs.submit(submission, answered);
            return;
        }
        callOwner(shard, "jobs.submit", toJson(submission), [answered](const Common::Result<json>& answer) {
            answered(decoded<JobService::Accepted>(answer, [](const json& body) {
                return JobService::Accepted { Common::JobId(body.at("job").get<std::string>()),
                    body.at("known").get<bool>() };
            }));
        });
    }

    void get(const Common::JobId& job, uint32_t tries, const Common::Callback<JobStatus>& done)
    {
        const auto shard = JobService::shardOfJob(job);
        if (!shard || shard->value >= m_settings.shardCount) {
            done(unknownJob());
            return;
        }
        const auto answered = m_lifetime.guard([this, job, tries, done](const Common::Result<JobStatus>& status) {
            const bool again
                = !status && tries < 2 && (isAnswerLost(status.reason().code) || isReroutable(status.reason().code));
            if (again)
                retry([this, job, tries, done] { get(job, tries + 1, done); });
            else
                done(status);
        });
        if (isServedLocally(*shard)) {
            answered(m_jobs.get(job));
            return;
        }
        callOwner(*shard, "jobs.get", json { { "id", job.value() } }, [answered](const Common::Result<json>& answer) {
            answered(answer ? statusFromJson(*answer) : Common::Result<JobStatus>(answer.reason()));
        });
    }

    void list(const JobQuery& query, const Common::Callback<std::vector<JobStatus>>& done)
    {
        const auto partial = std::make_shared<PartialResults<JobStatus>>();
        const std::vector<Scheduler::PeerInfo> peers = otherShardOwners();
        partial->outstanding = peers.size() + 1;
        partial->done = [done, query](std::vector<JobStatus> found) {
            std::sort(found.begin(), found.end(), [](const JobStatus& left, const JobStatus& right) {
                return left.submittedAtMilliseconds > right.submittedAtMilliseconds;
            });
            found.resize(std::min<size_t>(found.size(), query.limit));
            done(std::move(found));
        };
        for (const Scheduler::PeerInfo& peer : peers) {
            m_peers.call(peer.address, "jobs.list", queryToJson(query), m_settings.peerTimeout,
                m_lifetime.guard([partial](const Common::Result<json>& answer) {
                    const auto found = decoded<std::vector<JobStatus>>(answer, statusesFromJson);
                    partial->add(found ? *found : std::vector<JobStatus>());
                }));
        }
        partial->add(m_jobs.list(query));
    }

    void cancel(
        const std::vector<Common::JobId>& jobs, uint32_t tries, const Common::Callback<std::vector<CancelResult>>& done)
    {
        std::map<ShardIndex, std::vector<Common::JobId>> shards;
        std::vector<CancelResult> unknown;
        for (const Common::JobId& job : jobs) {
            const auto shard = JobService::shardOfJob(job);
            if (shard && shard->value < m_settings.shardCount)
                shards[*shard].push_back(job);
            else
                unknown.push_back({ job, unknownJob() });
        }
        std::vector<Common::JobId> local;
        std::map<std::string, std::vector<Common::JobId>> remote;
        for (const auto& [shard, ids] : shards) {
            const auto owner = m_owners.assignedOwner(shard);
            const bool isLocal = isServedLocally(shard) || !owner;
            auto& target = isLocal ? local : remote[owner->address];
            target.insert(target.end(), ids.begin(), ids.end());
        }
        const auto partial = std::make_shared<PartialResults<CancelResult>>();
        partial->outstanding = remote.size() + 2;
        partial->done = m_lifetime.guard(
            [this, tries, done](std::vector<CancelResult> results) { retryCancel(std::move(results), tries, done); });
        for (const auto& entry : remote)
            cancelRemotely(entry.first, entry.second, partial);
        cancelLocally(local, [partial](std::vector<CancelResult> results) { partial->add(std::move(results)); });
        partial->add(std::move(unknown));
    }

private:
    bool isServedLocally(ShardIndex shard) const
    {
        if (m_owners.owned(shard) != nullptr)
            return true;
        const auto owner = m_owners.assignedOwner(shard);
        return owner && owner->id == m_members.self().id;
    }
    template <typename Action> void retry(Action action)
    {
        m_retries.Increment();
        m_context.runtime.schedule(m_settings.notOwnerRetry, m_lifetime.guard(std::move(action)));
    }
    void callOwner(ShardIndex shard, const char* method, const json& params, Scheduler::PeerPort::Reply reply)
    {
        const auto owner = m_owners.assignedOwner(shard);
        if (!owner) {
            reply(noOwner(m_settings.storeRetryAfter));
            return;
        }
        m_peers.call(owner->address, method, params, m_settings.peerTimeout, m_lifetime.guard(std::move(reply)));
    }
    /// Returns the other daemons to which a shard is assigned.
    std::vector<Scheduler::PeerInfo> otherShardOwners() const
    {
        std::map<Common::DaemonId, Scheduler::PeerInfo> found;
        for (uint32_t shard = 0; shard < m_settings.shardCount; ++shard) {
            const auto owner = m_owners.assignedOwner(ShardIndex { shard });
            if (owner && owner->id != m_members.self().id)
                found.emplace(owner->id, *owner);
        }
        std::vector<Scheduler::PeerInfo> peers;
        peers.reserve(found.size());
        for (const auto& entry : found)
            peers.push_back(entry.second);
        return peers;
    }
    static std::vector<JobStatus> statusesFromJson(const json& body)
    {
        std::vector<JobStatus> found;
        for (const json& status : body.at("jobs")) {
            if (const auto one = statusFromJson(status))
                found.push_back(*one);
        }
        return found;
    }

    // Cancellation

    void cancelLocally(const std::vector<Common::JobId>& jobs, std::function<void(std::vector<CancelResult>)> done)
    {
        const auto partial = std::make_shared<PartialResults<CancelResult>>();
        partial->outstanding = jobs.size() + 1;
        partial->done = std::move(done);
        for (const Common::JobId& job : jobs) {
            m_jobs.cancel(job, [partial, job](const Common::Result<Common::Done>& result) {
                partial->add({ { job, result ? std::nullopt : std::optional(result.reason()) } });
            });
        }
        partial->add({});
    }
    void cancelRemotely(const std::string& address, const std::vector<Common::JobId>& jobs,
        const std::shared_ptr<PartialResults<CancelResult>>& partial)
    {
        json ids = json::array();
        for (const Common::JobId& job : jobs)
            ids.push_back(job.value());
        m_peers.call(address, "jobs.cancel", json { { "ids", std::move(ids) } }, m_settings.peerTimeout,
            m_lifetime.guard([partial, jobs](const Common::Result<json>& answer) {
                const auto results = decoded<std::vector<CancelResult>>(answer, cancelResultsFromJson);
                partial->add(results ? *results : allFailed(jobs, results.reason()));
            }));
    }
    static std::vector<CancelResult> cancelResultsFromJson(const json& body)
    {
        std::vector<CancelResult> results;
        for (const json& result : body.at("results"))
            results.push_back(cancelResultFromJson(result));
        return results;
    }
    static std::vector<CancelResult> allFailed(const std::vector<Common::JobId>& jobs, const Common::Failure& failure)
    {
        std::vector<CancelResult> results;
        results.reserve(jobs.size());
        for (const Common::JobId& job : jobs)
            results.push_back({ job, failure });
        return results;
    }
    /// Retries the failed cancellations. Cancelling is idempotent, so calls with lost answers are repeated too.
    void retryCancel(
        std::vector<CancelResult> results, uint32_t tries, const Common::Callback<std::vector<CancelResult>>& done)
    {
        std::vector<Common::JobId> again;
        const auto isRetryable = [](const CancelResult& result) {
            return result.failure && (isAnswerLost(result.failure->code) || isReroutable(result.failure->code));
        };
        for (const CancelResult& result : results) {
            if (isRetryable(result))
                again.push_back(result.job);
        }
        if (again.empty() || tries >= 2) {
            done(std::move(results));
            return;
        }
        std::erase_if(results, isRetryable);
        const auto join = [results = std::move(results), done](const Common::Result<std::vector<CancelResult>>& rest) {
            std::vector<CancelResult> all = results;
            all.insert(all.end(), rest->begin(), rest->end());
            done(std::move(all));
        };
        retry([this, again, tries, join] { cancel(again, tries + 1, join); });
    }

    // Calls from peers

    void serve()
    {
        serveMethod("jobs.submit", [this](const json& params, const Scheduler::PeerPort::Reply& reply) {
            const auto submission = submissionFromJson(params);
            if (!submission) {
                reply(submission.reason());
                return;
            }
            m_jobs.submit(*submission, [reply](const Common::Result<JobService::Accepted>& accepted) {
                if (accepted)
                    reply(json { { "job", accepted->job.value() }, { "known", accepted->known } });
                else
                    reply(accepted.reason());
            });
        });
        serveMethod("jobs.get", [this](const json& params, const Scheduler::PeerPort::Reply& reply) {
            const auto status = m_jobs.get(Common::JobId(params.at("id").get<std::string>()));
            reply(status ? Common::Result<json>(toJson(*status)) : Common::Result<json>(status.reason()));
        });
        serveMethod("jobs.list", [this](const json& params, const Scheduler::PeerPort::Reply& reply) {
            json jobs = json::array();
            for (const JobStatus& status : m_jobs.list(queryFromJson(params)))
                jobs.push_back(toJson(status));
            reply(json { { "jobs", std::move(jobs) } });
        });
        serveMethod("jobs.cancel", [this](const json& params, const Scheduler::PeerPort::Reply& reply) {
            std::vector<Common::JobId> jobs;
            for (const json& id : params.at("ids"))
                jobs.emplace_back(id.get<std::string>());
            cancelLocally(jobs, [reply](const std::vector<CancelResult>& results) {
                json list = json::array();
                for (const CancelResult& result : results)
                    list.push_back(cancelResultToJson(result));
                reply(json { { "results", std::move(list) } });
            });
        });
        serveMethod("jobs.usage", [this](const json&, const Scheduler::PeerPort::Reply& reply) {
            json teams = json::object();
            for (const auto& [team, held] : m_jobs.teamUsage())
                teams[team.value()] = packResources(held);
            reply(json { { "teams", std::move(teams) } });
        });
    }
    template <typename Handler> void serveMethod(const char* method, Handler handler)
    {
        m_peers.serve(method, [handler](const json& params, const Scheduler::PeerPort::Reply& reply) {
            try {
                handler(params, reply);
            } catch (const json::exception& error) {
                reply(malformed(error));
            }
        });
    }

    // Quotas

    void exchangeUsage()
    {
        if (!m_owners.ownedShards().empty())
            requestUsage();
        m_context.runtime.schedule(m_settings.usageExchangeInterval, m_lifetime.guard([this] { exchangeUsage(); }));
    }
    /// A peer that doesn't answer keeps its last reported usage.
    void requestUsage()
    {
        const std::vector<Scheduler::PeerInfo> peers = otherShardOwners();
        std::set<Common::DaemonId> present;
        for (const Scheduler::PeerInfo& peer : peers) {
            present.insert(peer.id);
            m_peers.call(peer.address, "jobs.usage", json::object(), m_settings.peerTimeout,
                m_lifetime.guard([this, id = peer.id, owners = peers.size() + 1](const Common::Result<json>& answer) {
                    const auto usage = decoded<Usage>(answer, usageFromJson);
                    if (usage)
                        updateUsage(id, *usage, static_cast<uint32_t>(owners));
                }));
        }
        std::erase_if(m_usage, [&](const auto& entry) { return !present.contains(entry.first); });
        publishUsage(static_cast<uint32_t>(peers.size() + 1));
    }
    static Usage usageFromJson(const json& body)
    {
        Usage usage;
        for (const auto& [team, held] : body.at("teams").items())
            usage[Common::TeamName(team)] = unpackResources(held);
        return usage;
    }
    void updateUsage(const Common::DaemonId& peer, const Usage& usage, uint32_t owners)
    {
        m_usage[peer] = usage;
        publishUsage(owners);
    }
    void publishUsage(uint32_t owners)
    {
        Usage sum;
        for (const auto& entry : m_usage) {
            for (const auto& [team, held] : entry.second)
                sum[team] += held;
        }
        m_jobs.setRemoteTeamUsage(std::move(sum), owners);
    }

    Scheduler::ServiceContext m_context;
    ShardOwners& m_owners;
    JobService& m_jobs;
    Scheduler::MembershipView& m_members;
    Scheduler::PeerPort& m_peers;
    const LedgerSettings& m_settings;
    prometheus::Counter& m_retries;
    /// Last reported usage of each other owner.
    std::map<Common::DaemonId, Usage> m_usage;
    Lifetime m_lifetime;
};

JobGateway::JobGateway(const Scheduler::ServiceContext& context, ShardOwners& owners, JobService& jobs,
    Scheduler::MembershipView& members, Scheduler::PeerPort& peers, const LedgerSettings& settings)
    : m_impl(std::make_unique<Impl>(context, owners, jobs, members, peers, settings))
    , m_runtime(context.runtime)
{
}

JobGateway::~JobGateway() = default;

void JobGateway::start() { m_impl->start(); }

void JobGateway::submit(JobSubmission submission, const Common::Callback<JobService::Accepted>& done)
{
    if (submission.key.empty())
        submission.key = newKey();
    m_impl->submit(submission, 1, done);
}

std::string JobGateway::newKey()
{
    constexpr std::array<char, 17> digits { "0123456789abcdef" };
    std::string key;
    for (int word = 0; word < 2; ++word) {
        uint64_t bits = m_runtime.random()();
        for (int digit = 0; digit < 16; ++digit, bits >>= 4)
            key += digits.at(bits & 15);
    }
    return key;
}

void JobGateway::get(const Common::JobId& job, const Common::Callback<JobStatus>& done) { m_impl->get(job, 1, done); }

void JobGateway::list(const JobQuery& query, const Common::Callback<std::vector<JobStatus>>& done)
{
    m_impl->list(query, done);
}

void JobGateway::cancel(const Common::JobId& job, Common::Callback<Common::Done> done)
{
    cancelMany({ job }, [done = std::move(done)](const Common::Result<std::vector<CancelResult>>& results) {
        const CancelResult& result = results->front();
        if (result.failure)
            done(*result.failure);
        else
            done(Common::Done {});
    });
}

void JobGateway::cancelMany(
    const std::vector<Common::JobId>& jobs, const Common::Callback<std::vector<CancelResult>>& done)
{
    m_impl->cancel(jobs, 1, done);
}

} // namespace Ledger
