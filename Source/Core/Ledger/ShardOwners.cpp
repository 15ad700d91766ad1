// Assigns shards, paces their recoveries and releases them.
#include "Ledger/ShardOwners.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Ledger/LedgerShard.h"
#include "Ledger/Lifetime.h"
#include "Scheduler/MembershipView.h"
#include "Scheduler/Runtime.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace Ledger {

namespace {

    constexpr Common::Duration assignmentCheckInterval = std::chrono::seconds(1);
    constexpr Common::Duration retryMinimum = std::chrono::milliseconds(500);
    constexpr Common::Duration retryMaximum = std::chrono::seconds(8);

    std::string shardName(ShardIndex shard) { return "shard-" + std::to_string(shard.value); }

} // namespace

class ShardOwners::Impl {
public:
    Impl(const Scheduler::ServiceContext& context, Scheduler::StorePort& store, Scheduler::MembershipView& members,
        const LedgerSettings& settings)
        : m_context(context)
        , m_store(store)
        , m_members(members)
        , m_settings(settings)
        , m_slots(settings.shardCount)
        , m_takeovers(context.metrics.counter("lavendercart_shard_takeovers_total", "Ledger shards recovered"))
        , m_fences(context.metrics.counter("lavendercart_shard_fenced_total", "Ledger shards lost to another owner"))
        , m_failures(
              context.metrics.counter("lavendercart_shard_recovery_failures_total", "Recoveries that did not succeed"))
        , m_owned(context.metrics.gauge("lavendercart_shards_owned", "Ledger shards owned by this process"))
    {
    }

    void start()
    {
        m_members.onChange(m_lifetime.guard([this] { applyAssignment(); }));
        tick();
    }
    void addListener(Listener listener) { m_listeners.push_back(std::move(listener)); }

    std::optional<Scheduler::PeerInfo> assignedOwner(ShardIndex shard) const
    {
        std::optional<Scheduler::PeerInfo> best;
        uint64_t bestWeight = 0;
        for (const Scheduler::PeerInfo& peer : m_members.livePeers()) {
            if (peer.draining || (m_draining && peer.id == m_members.self().id))
                continue;
            const uint64_t weight = Common::rendezvousWeight(shardName(shard), peer.id.value());
            if (best && weight <= bestWeight)
                continue;
            best = peer;
            bestWeight = weight;
        }
        return best;
    }
    LedgerShard* owned(ShardIndex shard) const
    {
        if (shard.value >= m_slots.size())
            return nullptr;
        const Slot& slot = m_slots[shard.value];
        return slot.phase == Phase::Owned ? slot.shard.get() : nullptr;
    }
    std::vector<ShardIndex> ownedShards() const
    {
        std::vector<ShardIndex> shards;
        for (uint32_t index = 0; index < m_slots.size(); ++index) {
            if (owned(ShardIndex { index }) != nullptr)
                shards.push_back(ShardIndex { index });
        }
        return shards;
    }
    ShardIndex shardOf(std::string_view key) const
    {
        return ShardIndex { static_cast<uint32_t>(Common::stableHash(key) % m_settings.shardCount) };
    }
    void drain(std::function<void()> done)
    {
        m_draining = true;
        m_onDrained = std::move(done);
        applyAssignment();
        reportDrained();
    }

private:
    enum class Phase {
        NotOwned,
        /// In the queue for recovery.
        Waiting,
        Recovering,
        Owned,
        Releasing,
    };
    struct Slot {
        Phase phase = Phase::NotOwned;
        std::unique_ptr<LedgerShard> shard;
        Common::Duration retryPause {};
        Common::MonotonicTime nextRecoveryAt {};
    };

    bool shouldOwn(ShardIndex shard) const
    {
        const auto assigned = assignedOwner(shard);
        return assigned && assigned->id == m_members.self().id;
    }
    void tick()
    {
        applyAssignment();
        m_context.runtime.schedule(assignmentCheckInterval, m_lifetime.guard([this] { tick(); }));
    }
    void applyAssignment()
    {
        for (uint32_t index = 0; index < m_slots.size(); ++index) {
            const ShardIndex shard { index };
            Slot& slot = m_slots[index];
            const bool wanted = shouldOwn(shard);
            if (wanted && slot.phase == Phase::NotOwned && m_context.runtime.now() >= slot.nextRecoveryAt)
                queueRecovery(shard);
            // The shard is kept while there is no other daemon to take it over.
            if (!wanted && slot.phase == Phase::Owned && (m_draining || assignedOwner(shard)))
                release(shard);
        }
    }
    void queueRecovery(ShardIndex shard)
    {
        m_slots[shard.value].phase = Phase::Waiting;
        const auto jitter = static_cast<uint64_t>(m_settings.takeoverJitter.count());
        const Common::Duration wait(static_cast<int64_t>(m_context.runtime.random()() % (jitter + 1)));
        m_context.runtime.schedule(wait, m_lifetime.guard([this, shard] {
            m_queue.push_back(shard);
            recoverNext();
        }));
    }
    /// Runs at most maximumRecoveries at once and starts one per recoveryGap. Each makes at most five calls to the
    /// store.
    void recoverNext()
    {
        if (m_queue.empty() || m_recovering >= m_settings.maximumRecoveries || m_recoveryGapPending)
            return;
        const ShardIndex shard = m_queue.front();
        m_queue.pop_front();
        if (!shouldOwn(shard)) {
            m_slots[shard.value].phase = Phase::NotOwned;
            recoverNext();
            return;
        }
        m_recoveryGapPending = true;
        m_context.runtime.schedule(m_settings.recoveryGap, m_lifetime.guard([this] {
            m_recoveryGapPending = false;
            recoverNext();
        }));
        recover(shard);
    }
    void recover(ShardIndex shard)
    {
        ++m_recovering;
        Slot& slot = m_slots[shard.value];
        slot.phase = Phase::Recovering;
        slot.shard = std::make_unique<LedgerShard>(m_context, m_store, shard, m_members.self().id, m_settings);
        slot.shard->recover(m_lifetime.guard([this, shard](const Common::Result<Common::Done>& result) {
            --m_recovering;
            if (result)
                onRecovered(shard);
            else
                onRecoveryFailed(shard);
            recoverNext();
        }));
    }
    void onRecoveryFailed(ShardIndex shard)
    {
        m_failures.Increment();
        backOff(shard);
        reportDrained();
    }
    void onRecovered(ShardIndex shard)
    {
        Slot& slot = m_slots[shard.value];
        slot.phase = Phase::Owned;
        slot.shard->onFenced([this, shard] { handleFenced(shard); });
        m_takeovers.Increment();
        m_owned.Increment();
        m_context.timeline.record({ .kind = Common::EventKind::ShardOwned, .note = shardName(shard) });
        LC_INFO(Jobs, shardName(shard) + " owned, epoch " + std::to_string(slot.shard->epoch()));
        notifyListeners(Change::Owned, *slot.shard);
        applyAssignment();
    }
    void handleFenced(ShardIndex shard)
    {
        m_fences.Increment();
        if (m_slots[shard.value].phase == Phase::Owned)
            reportLost(shard, "taken over");
        backOff(shard);
        reportDrained();
    }
    void release(ShardIndex shard)
    {
        reportLost(shard, "handed over");
        Slot& slot = m_slots[shard.value];
        slot.phase = Phase::Releasing;
        slot.shard->release(m_lifetime.guard([this, shard] {
            m_slots[shard.value].retryPause = {};
            destroyLater(shard);
            m_slots[shard.value].phase = Phase::NotOwned;
            reportDrained();
        }));
    }
    void reportLost(ShardIndex shard, const char* reason)
    {
        m_owned.Decrement();
        m_context.timeline.record({ .kind = Common::EventKind::ShardLost, .note = shardName(shard) });
        LC_INFO(Jobs, shardName(shard) + " " + reason);
        notifyListeners(Change::Lost, *m_slots[shard.value].shard);
    }
    /// Backs off, so that two daemons that both believe they should own a shard don't keep fencing each other.
    void backOff(ShardIndex shard)
    {
        Slot& slot = m_slots[shard.value];
        destroyLater(shard);
        slot.phase = Phase::NotOwned;
        slot.retryPause = std::clamp(slot.retryPause * 2, retryMinimum, retryMaximum);
        const auto jitterRange = static_cast<uint64_t>(slot.retryPause.count());
        slot.nextRecoveryAt = m_context.runtime.now() + slot.retryPause
            + Common::Duration(static_cast<int64_t>(m_context.runtime.random()() % (jitterRange + 1)));
    }
    /// The shard may be on the call stack.
    void destroyLater(ShardIndex shard)
    {
        std::shared_ptr<LedgerShard> old = std::move(m_slots[shard.value].shard);
        m_context.runtime.schedule(Common::Duration(0), [old] {});
    }
    void notifyListeners(Change change, LedgerShard& shard)
    {
        for (const Listener& listener : m_listeners)
            listener(change, shard);
    }
    void reportDrained()
    {
        const bool idle = std::all_of(m_slots.begin(), m_slots.end(),
            [](const Slot& slot) { return slot.phase == Phase::NotOwned || slot.phase == Phase::Waiting; });
        if (!m_draining || !idle || !m_onDrained)
            return;
        const auto done = std::exchange(m_onDrained, nullptr);
        done();
    }

    Scheduler::ServiceContext m_context;
    Scheduler::StorePort& m_store;
    Scheduler::MembershipView& m_members;
    const LedgerSettings& m_settings;
    std::vector<Slot> m_slots;
    std::deque<ShardIndex> m_queue;
    uint32_t m_recovering = 0;
    bool m_recoveryGapPending = false;
    bool m_draining = false;
    std::function<void()> m_onDrained;
    std::vector<Listener> m_listeners;
    prometheus::Counter& m_takeovers;
    prometheus::Counter& m_fences;
    prometheus::Counter& m_failures;
    prometheus::Gauge& m_owned;
    Lifetime m_lifetime;
};

ShardOwners::ShardOwners(const Scheduler::ServiceContext& context, Scheduler::StorePort& store,
    Scheduler::MembershipView& members, const LedgerSettings& settings)
    : m_impl(std::make_unique<Impl>(context, store, members, settings))
{
}

ShardOwners::~ShardOwners() = default;

void ShardOwners::start() { m_impl->start(); }
void ShardOwners::addListener(Listener listener) { m_impl->addListener(std::move(listener)); }
ShardIndex ShardOwners::shardOf(std::string_view key) const { return m_impl->shardOf(key); }
std::optional<Scheduler::PeerInfo> ShardOwners::assignedOwner(ShardIndex shard) const
{
    return m_impl->assignedOwner(shard);
}
LedgerShard* ShardOwners::owned(ShardIndex shard) const { return m_impl->owned(shard); }
std::vector<ShardIndex> ShardOwners::ownedShards() const { return m_impl->ownedShards(); }
void ShardOwners::drain(std::function<void()> done) { m_impl->drain(std::move(done)); }

} // namespace Ledger
