// Intents: committed before the dispatch, joined by repeats, removed when the run did not happen.
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
        return Common::Failure { Common::ErrorCode::NotOwner, "the request's shard is owned elsewhere", retryAfter };
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
                shardLost(shard.index());
        });
        prune();
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
            beginAgain(*shard, request, run->second, std::move(done));
        else if (shard->state().hasIntent(request))
            answer(m_unknown, Unknown {}, done);
        else if (shard->state().intents() >= m_settings.maximumIntents)
            refuse(done, Common::ErrorCode::Overloaded, "too many at-most-once requests are remembered");
        else
            intend(*shard, request, std::move(done));
    }

    void finish(const Common::RequestId& request, const Outcome& outcome)
    {
        const auto found = m_runs.find(request);
        if (found == m_runs.end() || found->second.phase != Phase::Running)
            return;
        const std::vector<Waiter> joiners = std::exchange(found->second.waiters, {});
        if (const auto* const answer = std::get_if<Scheduler::RunAnswer>(&outcome))
            keep(found, *answer);
        else if (std::holds_alternative<NotRun>(outcome))
            remove(found);
        else
            m_runs.erase(found);
        for (const Waiter& joiner : joiners)
            joiner.done(verdictOf(outcome));
    }

private:
    enum class Phase {
        /// The intent is on its way to the store.
        Committing,
        Running,
        Answered,
        /// It did not run; the removal of the intent is on its way.
        Removing,
    };
    struct Waiter {
        Callback done;
        Scheduler::TimerId timer {};
        uint64_t number = 0;
    };
    /// Invariant: a request without a run here whose intent is in the shard's state may have run.
    struct Run {
        Phase phase = Phase::Committing;
        ShardIndex shard;
        /// The shard was lost while this ran: its end is told to those who wait, and never written.
        bool orphan = false;
        LedgerLog::Ticket ticket;
        std::vector<Waiter> waiters;
        Scheduler::RunAnswer answer;
        /// Tells this run from a later one of the same id.
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

    void beginAgain(LedgerShard& shard, const Common::RequestId& request, Run& run, Callback done)
    {
        switch (run.phase) {
        case Phase::Committing:
            wait(request, run, std::move(done));
            return;
        case Phase::Running:
            if (run.orphan) {
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
            // The log keeps the order: removal first, then the new intent.
            m_runs.erase(request);
            intend(shard, request, std::move(done));
            return;
        }
    }
    void intend(LedgerShard& shard, const Common::RequestId& request, Callback done)
    {
        Run& run = m_runs[request];
        run.shard = shard.index();
        run.number = ++m_lastNumber;
        wait(request, run, std::move(done));
        LedgerDelta delta { LedgerDelta::IntentAdded { request, m_context.runtime.wallMilliseconds() } };
        run.ticket = shard.commit(std::move(delta),
            m_lifetime.guard([this, request, number = run.number](
                                 const Common::Result<Common::Done>& result) { intended(request, number, result); }));
    }
    void wait(const Common::RequestId& request, Run& run, Callback done)
    {
        const uint64_t number = ++m_lastNumber;
        const auto timer = m_context.runtime.schedule(
            m_settings.acceptTimeout, m_lifetime.guard([this, request, number] { giveUp(request, number); }));
        run.waiters.push_back(Waiter { std::move(done), timer, number });
    }
    /// Not dispatched, so it did not run, even if the intent stands in the log.
    void giveUp(const Common::RequestId& request, uint64_t number)
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
    void intended(const Common::RequestId& request, uint64_t number, const Common::Result<Common::Done>& result)
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
            remove(found);
            return;
        }
        const Callback first = std::move(waiters.front().done);
        waiters.erase(waiters.begin());
        m_joined.Increment(static_cast<double>(waiters.size()));
        found->second.phase = Phase::Running;
        found->second.waiters = std::move(waiters);
        answer(m_fresh, Fresh {}, first);
    }
    void remove(Runs::iterator found)
    {
        const Common::RequestId request = found->first;
        Run& run = found->second;
        LedgerShard* const shard = m_owners.owned(run.shard);
        if (run.orphan || shard == nullptr) {
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
    /// Answers past the byte bound are forgotten, oldest first; their intents stay, so repeats get Unknown.
    void keep(Runs::iterator found, const Scheduler::RunAnswer& answer)
    {
        if (found->second.orphan) {
            m_runs.erase(found);
            return;
        }
        found->second.phase = Phase::Answered;
        found->second.answer = answer;
        m_keptBytes += answer.body.size();
        m_kept.emplace_back(found->first, found->second.number);
        while (m_keptBytes > m_settings.maximumAnswerBytes && !m_kept.empty())
            forgetOldest();
    }
    void forgetOldest()
    {
        const auto [request, number] = m_kept.front();
        m_kept.pop_front();
        const auto found = m_runs.find(request);
        if (found != m_runs.end() && found->second.number == number)
            forget(found);
    }
    Runs::iterator forget(Runs::iterator found)
    {
        if (found->second.phase == Phase::Answered)
            m_keptBytes -= found->second.answer.body.size();
        return m_runs.erase(found);
    }
    void shardLost(ShardIndex shard)
    {
        for (auto run = m_runs.begin(); run != m_runs.end();) {
            const bool affected = run->second.shard == shard;
            run->second.orphan |= affected;
            const bool gone
                = affected && (run->second.phase == Phase::Answered || run->second.phase == Phase::Removing);
            run = gone ? forget(run) : std::next(run);
        }
    }
    void prune()
    {
        for (const ShardIndex index : m_owners.ownedShards()) {
            for (const Common::RequestId& request : m_owners.owned(index)->pruneIntents()) {
                const auto found = m_runs.find(request);
                if (found != m_runs.end() && found->second.phase == Phase::Answered)
                    forget(found);
            }
        }
        m_context.runtime.schedule(pruneInterval, m_lifetime.guard([this] { prune(); }));
    }

    Scheduler::ServiceContext m_context;
    ShardOwners& m_owners;
    const LedgerSettings& m_settings;
    Runs m_runs;
    std::deque<std::pair<Common::RequestId, uint64_t>> m_kept;
    uint64_t m_keptBytes = 0;
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
