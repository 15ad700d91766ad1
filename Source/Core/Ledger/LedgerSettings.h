// Times and bounds of the ledger.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Ledger {

/// The same shard and slot counts on every daemon; the rest may differ.
struct LedgerSettings {
    uint32_t shardCount = 16;
    /// Slots in a shard's ring, and how many of them are kept for fences and for naming a snapshot.
    uint32_t slotCount = 256;
    uint32_t reservedSlots = 64;
    /// A snapshot is begun once this many entries follow the last one.
    uint32_t snapshotEvery = 128;
    /// Most bytes of one entry's deltas and of one part of a snapshot; the store takes a megabyte.
    uint32_t maximumEntryBytes = 256 * 1024;
    uint32_t maximumPartBytes = 900 * 1024;

    /// Pace of commits a shard: the least gap, then a bucket of tokens; a slower one while the store is slow or
    /// failing.
    Common::Duration commitGap = std::chrono::milliseconds(20);
    uint32_t commitBurst = 8;
    double commitsPerSecond = 8;
    double commitsPerSecondUnderPressure = 2;
    /// How long a delta that nobody waits for may wait for others.
    Common::Duration lazyCommitDelay = std::chrono::seconds(5);
    /// The store counts as slow from this latency on.
    Common::Duration slowStoreLatency = std::chrono::milliseconds(250);
    /// Longest time to wait for durability before a caller is refused.
    Common::Duration acceptTimeout = std::chrono::seconds(1);
    /// When a caller that was refused for want of the store may come back.
    Common::Duration storeRetryAfter = std::chrono::seconds(1);
    /// Pause after a failed call to the store, growing to the maximum.
    Common::Duration storeRetryMinimum = std::chrono::milliseconds(50);
    Common::Duration storeRetryMaximum = std::chrono::seconds(2);

    /// An owner that has committed nothing for this long looks whether its shard was taken over; one read a shard.
    Common::Duration ownershipCheckInterval = std::chrono::seconds(5);

    /// Takeover: a random wait before the first read, and the recoveries under way at once in this process.
    Common::Duration takeoverJitter = std::chrono::milliseconds(500);
    uint32_t maximumRecoveries = 2;
    /// Least time between two attempts at recovering shards in this process.
    Common::Duration recoveryGap = std::chrono::milliseconds(100);

    /// At-most-once requests: how long an id is remembered, how many a shard, bytes of kept answers a process.
    Common::Duration intentRetention = std::chrono::hours(1);
    uint32_t maximumIntents = 50000;
    uint64_t maximumAnswerBytes = 16 * 1024 * 1024;

    /// Ended jobs: how long and how many a shard are kept.
    Common::Duration endedJobRetention = std::chrono::hours(24);
    uint32_t maximumEndedJobs = 2000;
    /// Jobs not yet ended, a shard.
    uint32_t maximumOpenJobs = 50000;
    /// Longest command of a job.
    uint32_t maximumCommandBytes = 64 * 1024;

    /// The round in which jobs are started and overdue views asked for.
    Common::Duration jobTickInterval = std::chrono::milliseconds(100);
    /// Reservations under way at once, a shard.
    uint32_t maximumReserving = 64;
    /// After NoWorker nothing is reserved for this long.
    Common::Duration noWorkerPause = std::chrono::milliseconds(250);
    /// A view is asked for when none came for this long from a worker with unresolved attempts.
    Common::Duration viewOverdue = std::chrono::seconds(2);
    /// Longest lease of a batch task, with the bound on how much slower a worker's clock may run.
    Common::Duration longestTaskLease = std::chrono::seconds(30);
    Common::Duration leaseMargin = std::chrono::seconds(5);
    /// A view of another boot counts only when confirmed this much later: longer than a view can be under way.
    Common::Duration bootConfirmation = std::chrono::seconds(5);
    /// A running task's new checkpoint is recorded at most this often.
    Common::Duration checkpointRecordGap = std::chrono::minutes(10);
    /// How long eviction waits for a new checkpoint before it goes on with the one that it has.
    Common::Duration evictCheckpointWait = std::chrono::seconds(10);
    /// Controls are repeated this often until a view shows their effect.
    Common::Duration controlRepeatInterval = std::chrono::seconds(1);
    /// Waiting raises a job by one priority step for each of these, so that low priority does not starve.
    Common::Duration agingStep = std::chrono::minutes(10);

    /// How often daemons that own shards tell each other what teams hold.
    Common::Duration usageExchangeInterval = std::chrono::seconds(10);
    /// Calls between daemons about jobs, and the wait before NotOwner is tried again.
    Common::Duration peerTimeout = std::chrono::seconds(3);
    Common::Duration notOwnerRetry = std::chrono::milliseconds(300);
};

} // namespace Ledger
