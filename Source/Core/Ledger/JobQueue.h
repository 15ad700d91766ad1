// Queued jobs of one shard: urgent first, then by priority, then fair over teams, then first come.
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

/// Teams share by virtual time: each start costs a team its slots, and the team that has had least goes first. Waiting
/// raises a lane's priority step by step, never to urgent. Removal is constant time; a removed entry is skipped later.
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
    /// Puts a job that ran or was tried before its lane's others.
    void pushFront(const Item&);
    /// Gives a team back what a job cost that did not start.
    void refund(const Item& item) { m_virtualTimes[item.team] -= cost(item); }
    void remove(const Common::JobId& job) { m_waiting.erase(job); }
    /// The next job that is not held back and that `allows` lets pass.
    std::optional<Item> pop(Common::MonotonicTime now, int64_t wallMilliseconds, const Allows& allows);
    /// Nothing as large as `amount` has room now: holds back all such jobs until then. After that only the first of
    /// them is yielded until markFitting() or holdBack() tells how it fared, so that others don't take the room before
    /// it.
    void holdBack(const Common::Resources& amount, Common::MonotonicTime until);
    void markFitting(const Item&);
    size_t size() const { return m_waiting.size(); }

private:
    struct Entry {
        Item item;
        uint64_t sequence = 0;
    };
    struct NoRoom {
        Common::Resources amount;
        Common::MonotonicTime until;
        /// The first job of this size is being tried.
        bool probing = false;
    };
    using Lane = std::deque<Entry>;
    using Lanes = std::map<Common::TeamName, Lane>;

    static constexpr size_t priorityCount = 4;

    Lane& laneOf(const Item& item) { return m_lanes.at(static_cast<size_t>(item.priority))[item.team]; }
    uint64_t nextSequence(const Common::JobId&);
    /// The first entry that is still waiting; null when there is none.
    const Entry* front(Lane&);
    bool heldBack(const Item&, Common::MonotonicTime now) const;
    int effectivePriority(const Item&, int64_t wallMilliseconds) const;
    static double cost(const Item&);

    static constexpr size_t maximumSizesHeldBack = 64;

    Common::Duration m_agingStep;
    std::array<Lanes, priorityCount> m_lanes;
    /// The valid entry of each queued job.
    std::unordered_map<Common::JobId, uint64_t> m_waiting;
    std::map<Common::TeamName, double> m_virtualTimes;
    double m_virtualTime = 0;
    std::vector<NoRoom> m_noRoom;
    uint64_t m_lastSequence = 0;
};

} // namespace Ledger
