// Decides which ledger shards this daemon owns, and takes them over and hands them over.
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

/// Shards are assigned by rendezvous hashing over the live daemons that aren't draining. The assignment is only
/// advisory: the ring of slots in the store prevents two owners from committing.
class ShardOwners {
public:
    enum class Change {
        /// The shard is recovered, its previous owner is fenced, and its state is complete.
        Owned,
        /// The shard was fenced or handed over; it is destroyed after the call.
        Lost,
    };
    using Listener = std::function<void(Change, LedgerShard&)>;

    ShardOwners(
        const Scheduler::ServiceContext&, Scheduler::StorePort&, Scheduler::MembershipView&, const LedgerSettings&);
    ~ShardOwners();

    /// Starts to recover the assigned shards. Listeners must be registered before.
    void start();
    void addListener(Listener);

    ShardIndex shardOf(std::string_view key) const;
    /// Returns the daemon that should own the shard, which may be this one; nothing if no eligible live daemon is
    /// known.
    std::optional<Scheduler::PeerInfo> assignedOwner(ShardIndex) const;
    /// Returns the shard if this process owns it, else null.
    LedgerShard* owned(ShardIndex) const;
    std::vector<ShardIndex> ownedShards() const;
    /// Commits pending deltas, releases every shard and takes over none again. Calls `done` when all are released.
    void drain(std::function<void()> done);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Ledger
