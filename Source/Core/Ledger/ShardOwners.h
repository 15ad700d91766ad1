// Which ledger shards this daemon owns, and their takeover and hand-over.
#pragma once

#include "Common/Ids.h"
#include "Ledger/LedgerSettings.h"
#include "Ledger/ShardIndex.h"
#include "Scheduler/PeerInfo.h"
#include "Scheduler/ServiceContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Scheduler {
class MembershipView;
class StorePort;
}

namespace Ledger {

class LedgerShard;

/// Assignment is rendezvous hashing over the live daemons that aren't draining, and only steers: the ring of slots in
/// the store keeps two owners apart.
class ShardOwners {
public:
    enum class Change {
        /// Recovered and fenced; the shard's state is complete.
        Owned,
        /// Fenced or handed over; the shard is destroyed after the call.
        Lost,
    };
    using Listener = std::function<void(Change, LedgerShard&)>;

    ShardOwners(
        const Scheduler::ServiceContext&, Scheduler::StorePort&, Scheduler::MembershipView&, const LedgerSettings&);
    ~ShardOwners();

    /// Begins to recover what is assigned. Listeners are registered before.
    void start();
    void addListener(Listener);

    ShardIndex shardOf(std::string_view key) const;
    /// The daemon that should own the shard, this one included; nothing while no live daemon is known.
    std::optional<Scheduler::PeerInfo> assignedOwner(ShardIndex) const;
    /// The shard while this process owns it.
    LedgerShard* owned(ShardIndex) const;
    std::vector<ShardIndex> ownedShards() const;
    /// Flushes and releases every shard and takes none again; `done` is called when all are released.
    void drain(std::function<void()> done);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Ledger
