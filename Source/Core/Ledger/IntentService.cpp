// Commits an intent before the dispatch, lets repeats join the run, and removes the intent if the run did not happen.
#include "Ledger/IntentService.h"

#include "Common/Metrics.h"
#include "Ledger/LedgerShard.h"
#include "Ledger/Lifetime.h"
#include "Ledger/ShardOwners.h"
#include "Scheduler/Runtime.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Ledger {

namespace {

    constexpr Common::Duration pruneInterval = std::chrono::seconds(10);

    Common::Failure notOwner(Common::Duration retryAfter)
    {
        return Common::Failure { Common::ErrorCode::NotOwner, "another daemon owns the request's shard", retryAfter };
    }

} // namespace

class IntentService::Impl {
public:
    Impl(const Scheduler::ServiceContext& context, ShardOwners& owners, const LedgerSettings& settings)
        : m_context(context)
        , m_owners(owners)
        , m_settings(settings)
        , m_fresh(verdictCounter("fresh"))
        , m_joined(verdictCounter("joined"))
        , m_answered(verdictCounter("answered"))
        , m_unknown(verdictCounter("unknown"))
        , m_refused(verdictCounter("refused"))
    {
        owners.addListener([this](ShardOwners::Change change, LedgerShard& shard) {
            if (change == ShardOwners::Change::Lost)
                onShardLost(shard.index());
        });
        pruneExpired();
    }

    void begin(const Common::RequestId& request, Callback done)
    {
        LedgerShard* const shard = m_owners.owned(m_owners.shardOf(request.value()));
        if (shard == nullptr) {
            done(notOwner(m_settings.storeRetryAfter));
            return;
        }
        const auto run = m_runs.find(request);
        if (run != m_runs.end())
            beginRepeat(*shard, request, run->second, std::move(done));
        else if (shard->state().hasIntent(request))
            answer(m_unknown, Unknown {}, done);
        else if (shard->state().intents() >= m_settings.maximumIntents)
            refuse(done, Common::ErrorCode::Overloaded, "too many at-most-once requests are kept");
        else
            commitIntent(*shard, request, std::move(done));
    }

    void finish(const Common::RequestId& request, const Outcome& outcome)
    {
        const auto found = m_runs.find(request);
        if (found == m_runs.end() || found->second.phase != Phase::Running)
            return;
        const std::vector<Waiter> joinedCallers = std::exchange(found->second.waiters, {});
        if (const auto* const answer = std::get_if<Scheduler::RunAnswer>(&outcome))
            keepAnswer(found, *answer);
        else if (std::holds_alternative<NotRun>(outcome))
            removeIntent(found);
        else
            m_runs.erase(found);
        for (const Waiter& joined : joinedCallers)
            joined.done(verdictOf(outcome));
    }

private:
    enum class Phase {
        /// The commit of the intent is in progress.
        Committing,
        Running,
        Answered,
        /// The request did not run; the removal of the intent is in progress.
        Removing,
    };
    struct Waiter {
        Callback done;
        Scheduler::TimerId timer {};
        uint64_t number = 0;
    };
    /// Invariant: a request that has an intent in the shard's state but no entry here may have run.
    struct Run {
        Phase phase = Phase::Committing;
        ShardIndex shard;
        /// The shard was lost since: the waiters get the outcome of the run, and it is never written to the log.
        bool shardLost = false;
        LedgerLog::Ticket ticket;
        std::vector<Waiter> waiters;
        Scheduler::RunAnswer answer;
        /// Distinguishes this run from a later one of the same id.
        uint64_t number = 0;
    };
    using Runs = std::unordered_map<Common::RequestId, Run>;

    prometheus::Counter& verdictCounter(const char* verdict)
    {
        return m_context.metrics.counter(
            "lavendercart_intents_total", "Begun at-most-once requests by verdict", { { "verdict", verdict } });
    }
    static Verdict verdictOf(const Outcome& outcome)
    {
        return std::visit(
            [](const auto& end) -> Verdict {
                if constexpr (std::is_same_v<std::decay_t<decltype(end)>, Scheduler::RunAnswer>)
                    return Answered { end };
                else
                    return end;
            },
            outcome);
    }
    static void answer(prometheus::Counter& counter, const Verdict& verdict, const Callback& done)
    {
        counter.Increment();
        done(verdict);
    }
    void refuse(const Callback& done, Common::ErrorCode code, const char* detail)
    {
        m_refused.Increment();
        done(Common::Failure { code, detail, m_settings.storeRetryAfter });
    }

    void beginRepeat(LedgerShard& shard, const Common::RequestId& request, Run& run, Callback done)
    {
        switch (run.phase) {
        case Phase::Committing:
            addWaiter(request, run, std::move(done));
            return;
        case Phase::Running:
            if (run.shardLost) {
                answer(m_unknown, Unknown {}, done);
                return;
            }
            m_joined.Increment();
            run.waiters.push_back(Waiter { std::move(done) });
            return;
        case Phase::Answered:
            answer(m_answered, Answered { run.answer }, done);
            return;
        case Phase::Removing:
            // The log preserves the order: the removal precedes the new intent.
            m_runs.erase(request);
            commitIntent(shard, request, std::move(done));
            return;
        }
    }
    void commitIntent(LedgerShard& shard, const Common::RequestId& request, Callback done)
    {
        Run& run = m_runs[request];
        run.shard = shard.index();
        run.number = ++m_lastNumber;
        addWaiter(request, run, std::move(done));
        LedgerDelta delta { LedgerDelta::IntentAdded { request, m_context.runtime.wallMilliseconds() } };
        run.ticket = shard.commit(std::move(delta),
            m_lifetime.guard([this, request, number = run.number](const Common::Result<Common::Done>& result) {
                onIntentCommitted(request, number, result);
            }));
    }
    void addWaiter(const Common::RequestId& request, Run& run, Callback done)
    {
        const uint64_t number = ++m_lastNumber;
        const auto timer = m_context.runtime.schedule(
            m_settings.acceptTimeout, m_lifetime.guard([this, request, number] { onAcceptTimeout(request, number); }));
        run.waiters.push_back(Waiter { std::move(done), timer, number });
    }
    /// The request was not dispatched, so it did not run, even if its intent is in the log.
    void onAcceptTimeout(const Common::RequestId& request, uint64_t number)
    {
        const auto found = m_runs.find(request);
        if (found == m_runs.end())
            return;
        auto& waiters = found->second.waiters;
        const auto waiter = std::find_if(
            waiters.begin(), waiters.end(), [number](const Waiter& other) { return other.number == number; });
        if (waiter == waiters.end())
            return;
        const Callback done = std::move(waiter->done);
        waiters.erase(waiter);
        if (waiters.empty())
            withdraw(found);
        refuse(done, Common::ErrorCode::StoreUnavailable, "the intent was not durable in time");
    }
    void withdraw(Runs::iterator found)
    {
        LedgerShard* const shard = m_owners.owned(found->second.shard);
        if (shard != nullptr && shard->withdraw(found->second.ticket))
            m_runs.erase(found);
    }
    void onIntentCommitted(
        const Common::RequestId& request, uint64_t number, const Common::Result<Common::Done>& result)
    {
        const auto found = m_runs.find(request);
        if (found == m_runs.end() || found->second.number != number)
            return;
        std::vector<Waiter> waiters = std::exchange(found->second.waiters, {});
        for (const Waiter& waiter : waiters)
            m_context.runtime.cancel(waiter.timer);
        if (!result) {
            m_runs.erase(found);
            for (const Waiter& waiter : waiters)
                waiter.done(notOwner(m_settings.storeRetryAfter));
            return;
        }
        if (waiters.empty()) {
            removeIntent(found);
            return;
        }
        const Callback first = std::move(waiters.front().done);
        waiters.erase(waiters.begin());
        m_joined.Increment(static_cast<double>(waiters.size()));
        found->second.phase = Phase::Running;
        found->second.waiters = std::move(waiters);
        answer(m_fresh, Fresh {}, first);
    }
    void removeIntent(Runs::iterator found)
    {
        const Common::RequestId request = found->first;
        Run& run = found->second;
        LedgerShard* const shard = m_owners.owned(run.shard);
        if (run.shardLost || shard == nullptr) {
            m_runs.erase(found);
            return;
        }
        run.phase = Phase::Removing;
        shard->commit(LedgerDelta { LedgerDelta::IntentRemoved { request } },
            m_lifetime.guard([this, request, number = run.number](const Common::Result<Common::Done>&) {
                const auto removed = m_runs.find(request);
                if (removed != m_runs.end() && removed->second.number == number)
                    m_runs.erase(removed);
            }));
    }
    /// Keeps the answer and drops the oldest ones beyond maximumAnswerBytes. Their intents stay, so repeats get
    /// Unknown.
    void keepAnswer(Runs::iterator found, const Scheduler::RunAnswer& answer)
    {
        if (found->second.shardLost) {
            m_runs.erase(found);
            return;
        }
        found->second.phase = Phase::Answered;
        found->second.answer = answer;
        m_keptAnswerBytes += answer.body.size();
        m_keptAnswers.emplace_back(found->first, found->second.number);
        while (m_keptAnswerBytes > m_settings.maximumAnswerBytes && !m_keptAnswers.empty())
            dropOldestAnswer();
    }
    void dropOldestAnswer()
    {
        const auto [request, number] = m_keptAnswers.front();
        m_keptAnswers.pop_front();
        const auto found = m_runs.find(request);
        if (found != m_runs.end() && found->second.number == number)
            eraseRun(found);
    }
    Runs::iterator eraseRun(Runs::iterator found)
    {
        if (found->second.phase == Phase::Answered)
            m_keptAnswerBytes -= found->second.answer.body.size();
        return m_runs.erase(found);
    }
    void onShardLost(ShardIndex shard)
    {
        for (auto run = m_runs.begin(); run != m_runs.end();) {
            const bool affected = run->second.shard == shard;
            run->second.shardLost |= affected;
            const bool finished
                = affected && (run->second.phase == Phase::Answered || run->second.phase == Phase::Removing);
            run = finished ? eraseRun(run) : std::next(run);
        }
    }
    void pruneExpired()
    {
        for (const ShardIndex index : m_owners.ownedShards()) {
            for (const Common::RequestId& request : m_owners.owned(index)->pruneIntents()) {
                const auto found = m_runs.find(request);
                if (found != m_runs.end() && found->second.phase == Phase::Answered)
                    eraseRun(found);
            }
        }
        m_context.runtime.schedule(pruneInterval, m_lifetime.guard([this] { pruneExpired(); }));
    }

    Scheduler::ServiceContext m_context;
    ShardOwners& m_owners;
    const LedgerSettings& m_settings;
    Runs m_runs;
    std::deque<std::pair<Common::RequestId, uint64_t>> m_keptAnswers;
    uint64_t m_keptAnswerBytes = 0;
    uint64_t m_lastNumber = 0;
    prometheus::Counter& m_fresh;
    prometheus::Counter& m_joined;
    prometheus::Counter& m_answered;
    prometheus::Counter& m_unknown;
    prometheus::Counter& m_refused;
    Lifetime m_lifetime;
};

IntentService::IntentService(
    const Scheduler::ServiceContext& context, ShardOwners& owners, const LedgerSettings& settings)
    : m_impl(std::make_unique<Impl>(context, owners, settings))
{
}

IntentService::~IntentService() = default;

void IntentService::begin(const Common::RequestId& request, Callback done) { m_impl->begin(request, std::move(done)); }
void IntentService::finish(const Common::RequestId& request, const Outcome& outcome)
{
    m_impl->finish(request, outcome);
}

} // namespace Ledger
