// The queued jobs of one shard, ordered by priority (urgent first), then fairly among teams, then by arrival. JobShard
// takes the next job to start from it.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Scheduler/Priority.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Ledger {

/// Teams share by virtual time: each start charges the job's slots to its team, and the team with the lowest virtual
/// time goes first. Waiting raises the priority of a lane by one step per agingStep, but never to urgent. Removal takes
/// constant time: pop() skips removed entries.
class JobQueue {
public:
    struct Item {
        Common::JobId job;
        Common::TeamName team;
        Scheduler::Priority priority = Scheduler::Priority::Normal;
        Common::Resources declared;
        int64_t submittedAtMilliseconds = 0;
    };
    using Allows = std::function<bool(const Item&)>;

    explicit JobQueue(Common::Duration agingStep)
        : m_agingStep(agingStep)
    {
    }

    void push(const Item&);
    /// Adds a job that ran or was tried before to the front of its lane.
    void pushFront(const Item&);
    /// Returns to the team the charge for a job that did not start.
    void refund(const Item& item) { m_virtualTimes[item.team] -= cost(item); }
    void remove(const Common::JobId& job) { m_waiting.erase(job); }
    /// Removes and returns the next job that is not held back and that `allows` accepts; nothing if there is none.
    std::optional<Item> pop(Common::MonotonicTime now, int64_t wallMilliseconds, const Allows& allows);
    /// Holds back all jobs that need at least `amount` until `until`, because no worker has room for them now. After
    /// that pop() returns only the first of them until markFitting() or holdBack() reports its result, so that later
    /// jobs don't take the room first.
    void holdBack(const Common::Resources& amount, Common::MonotonicTime until);
    /// Records that a worker had room for the job: hold-backs of sizes up to the job's are dropped.
    void markFitting(const Item&);
    size_t size() const { return m_waiting.size(); }

private:
    struct Entry {
        Item item;
        uint64_t sequence = 0;
    };
    struct HeldSize {
        Common::Resources amount;
        Common::MonotonicTime until;
        /// A reservation for the first job of this size is in progress.
        bool probing = false;
    };
    using Lane = std::deque<Entry>;
    using Lanes = std::map<Common::TeamName, Lane>;

    static constexpr size_t priorityCount = 4;

    Lane& laneOf(const Item& item) { return m_lanes.at(static_cast<size_t>(item.priority))[item.team]; }
    uint64_t nextSequence(const Common::JobId&);
    /// Returns the first entry that is still waiting; null if there is none.
    const Entry* front(Lane&);
    bool isHeldBack(const Item&, Common::MonotonicTime now) const;
    int effectivePriority(const Item&, int64_t wallMilliseconds) const;
    static double cost(const Item&);

    static constexpr size_t maximumSizesHeldBack = 64;

    Common::Duration m_agingStep;
    std::array<Lanes, priorityCount> m_lanes;
    /// Sequence number of the valid entry of each queued job.
    std::unordered_map<Common::JobId, uint64_t> m_waiting;
    std::map<Common::TeamName, double> m_virtualTimes;
    double m_virtualTime = 0;
    std::vector<HeldSize> m_heldSizes;
    uint64_t m_lastSequence = 0;
};

} // namespace Ledger
