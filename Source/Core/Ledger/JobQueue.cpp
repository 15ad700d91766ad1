// Lanes by priority and team.
#include "Ledger/JobQueue.h"

#include <algorithm>
#include <utility>

namespace Ledger {

void JobQueue::push(const Item& item)
{
    double& virtualTime = m_virtualTimes[item.team];
    virtualTime = std::max(virtualTime, m_virtualTime);
    laneOf(item).entries.push_back(Entry { item, nextSequence(item.job) });
}

void JobQueue::pushFront(const Item& item) { laneOf(item).entries.push_front(Entry { item, nextSequence(item.job) }); }

void JobQueue::holdBack(const Item& item, Common::MonoTime until) { laneOf(item).notBefore = until; }

uint64_t JobQueue::nextSequence(const Common::JobId& job)
{
    m_waiting[job] = ++m_lastSequence;
    return m_lastSequence;
}

const JobQueue::Entry* JobQueue::front(Lane& lane)
{
    while (!lane.entries.empty()) {
        const Entry& first = lane.entries.front();
        const auto waiting = m_waiting.find(first.item.job);
        if (waiting != m_waiting.end() && waiting->second == first.sequence)
            return &first;
        lane.entries.pop_front();
    }
    return nullptr;
}

int JobQueue::effectivePriority(const Item& item, int64_t wallMilliseconds) const
{
    const int declared = static_cast<int>(item.priority);
    const int highest = static_cast<int>(Scheduler::Priority::High);
    if (declared > highest)
        return declared;
    const auto step = std::chrono::duration_cast<std::chrono::milliseconds>(m_agingStep).count();
    const int64_t raised
        = std::max<int64_t>(0, wallMilliseconds - item.submittedAtMilliseconds) / std::max<int64_t>(1, step);
    return static_cast<int>(std::min<int64_t>(highest, declared + raised));
}

double JobQueue::cost(const Item& item) { return static_cast<double>(std::max<int64_t>(1, item.declared.slots)); }

std::optional<JobQueue::Item> JobQueue::pop(Common::MonoTime now, int64_t wallMilliseconds, const Allows& allows)
{
    Lane* best = nullptr;
    std::pair<int, double> bestRank;
    for (Lanes& lanes : m_lanes) {
        for (auto lane = lanes.begin(); lane != lanes.end();) {
            const Entry* const first = front(lane->second);
            if (first == nullptr) {
                lane = lanes.erase(lane);
                continue;
            }
            const std::pair rank(effectivePriority(first->item, wallMilliseconds), -m_virtualTimes[first->item.team]);
            const bool candidate = lane->second.notBefore <= now && (best == nullptr || rank > bestRank);
            if (candidate && allows(first->item)) {
                best = &lane->second;
                bestRank = rank;
            }
            ++lane;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    Item item = std::move(best->entries.front().item);
    best->entries.pop_front();
    m_waiting.erase(item.job);
    double& virtualTime = m_virtualTimes[item.team];
    m_virtualTime = std::max(m_virtualTime, virtualTime);
    virtualTime += cost(item);
    return item;
}

} // namespace Ledger
