// Timing and limits of the ledger.
#pragma once

#include "Common/Units.h"

#include <cstdint>

namespace Ledger {

/// shardCount and slotCount must be the same on every daemon; the rest may differ.
struct LedgerSettings {
    uint32_t shardCount = 16;
    /// Slots in a shard's ring, and how many of them are reserved for fences and for entries that name a snapshot.
    uint32_t slotCount = 256;
    uint32_t reservedSlots = 64;
    /// A snapshot starts once this many entries follow the last one.
    uint32_t snapshotEvery = 128;
    /// Maximum bytes of the deltas in one entry, and of one part of a snapshot. The store accepts values of up to one
    /// megabyte.
    uint32_t maximumEntryBytes = 256 * 1024;
    uint32_t maximumPartBytes = 900 * 1024;

    /// Pace of commits per shard: a minimum gap and a token bucket, which refills more slowly while the store is slow
    /// or failing.
    Common::Duration commitGap = std::chrono::milliseconds(20);
    uint32_t commitBurst = 8;
    double commitsPerSecond = 8;
    double commitsPerSecondUnderPressure = 2;
    /// Maximum time that a lazy delta waits for other deltas.
    Common::Duration lazyCommitDelay = std::chrono::seconds(5);
    /// The store counts as slow at this latency or more.
    Common::Duration slowStoreLatency = std::chrono::milliseconds(250);
    /// Maximum time to wait for durability before the call fails.
    Common::Duration acceptTimeout = std::chrono::seconds(1);
    /// When a caller may retry after a failure for lack of the store.
    Common::Duration storeRetryAfter = std::chrono::seconds(1);
    /// Pause after a failed call to the store; it doubles up to the maximum.
    Common::Duration storeRetryMinimum = std::chrono::milliseconds(50);
    Common::Duration storeRetryMaximum = std::chrono::seconds(2);

    /// An owner that has committed nothing for this long checks whether its shard was taken over; this costs one read
    /// per shard.
    Common::Duration ownershipCheckInterval = std::chrono::seconds(5);

    /// Takeover: the longest random delay before the first read, and the maximum of concurrent recoveries in this
    /// process.
    Common::Duration takeoverJitter = std::chrono::milliseconds(500);
    uint32_t maximumRecoveries = 2;
    /// Minimum time between the starts of two recoveries in this process.
    Common::Duration recoveryGap = std::chrono::milliseconds(100);

    /// At-most-once requests: how long an id is kept, how many ids per shard, and bytes of kept answers per process.
    Common::Duration intentRetention = std::chrono::hours(1);
    uint32_t maximumIntents = 50000;
    uint64_t maximumAnswerBytes = 16 * 1024 * 1024;

    /// Ended jobs: how long they are kept, and how many per shard.
    Common::Duration endedJobRetention = std::chrono::hours(24);
    uint32_t maximumEndedJobs = 2000;
    /// Maximum number of jobs per shard that haven't ended.
    uint32_t maximumOpenJobs = 50000;
    /// Maximum size of a job's command.
    uint32_t maximumCommandBytes = 64 * 1024;

    /// How often queued jobs are started and due task controls are sent.
    Common::Duration jobTickInterval = std::chrono::milliseconds(100);
    /// Maximum number of concurrent reservations per shard.
    uint32_t maximumReserving = 64;
    /// How long jobs of a size are held back after a reservation for it failed, and the delay before a job whose
    /// attempt did not start is queued again.
    Common::Duration noWorkerPause = std::chrono::milliseconds(250);
    /// A view is requested if none arrived for this long from a worker with unresolved attempts.
    Common::Duration viewOverdue = std::chrono::seconds(2);
    /// Longest lease of a batch task, and a margin for worker clocks that run slower.
    Common::Duration longestTaskLease = std::chrono::seconds(30);
    Common::Duration leaseMargin = std::chrono::seconds(5);
    /// A reboot is accepted only if another view confirms it after this time, which is longer than a view can be in
    /// transit.
    Common::Duration bootConfirmation = std::chrono::seconds(5);
    /// Minimum time between two recorded checkpoints of a running task.
    Common::Duration checkpointRecordGap = std::chrono::minutes(10);
    /// How long eviction waits for a new checkpoint before it stops the task with the last recorded one.
    Common::Duration evictCheckpointWait = std::chrono::seconds(10);
    /// Task controls are repeated at this interval until a view shows their effect.
    Common::Duration controlRepeatInterval = std::chrono::seconds(1);
    /// Waiting raises a job by one priority step per this time, so that low-priority jobs don't starve.
    Common::Duration agingStep = std::chrono::minutes(10);

    /// How often daemons that own shards exchange the usage of teams.
    Common::Duration usageExchangeInterval = std::chrono::seconds(10);
    /// Timeout of job calls between daemons, and the delay before such a call is retried.
    Common::Duration peerTimeout = std::chrono::seconds(3);
    Common::Duration notOwnerRetry = std::chrono::milliseconds(300);
};

} // namespace Ledger
