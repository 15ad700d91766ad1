// Keeps one lane of jobs for each priority and team.
#include "Ledger/JobQueue.h"

#include <algorithm>
#include <utility>

namespace Ledger {

void JobQueue::push(const Item& item)
{
    double& virtualTime = m_virtualTimes[item.team];
    virtualTime = std::max(virtualTime, m_virtualTime);
    laneOf(item).push_back(Entry { item, nextSequence(item.job) });
}

void JobQueue::pushFront(const Item& item) { laneOf(item).push_front(Entry { item, nextSequence(item.job) }); }

void JobQueue::holdBack(const Common::Resources& amount, Common::MonotonicTime until)
{
    bool known = false;
    for (HeldSize& heldSize : m_heldSizes) {
        if (!Common::fits(heldSize.amount, amount))
            continue;
        heldSize.until = until;
        heldSize.probing = false;
        known |= heldSize.amount == amount;
    }
    if (!known && m_heldSizes.size() < maximumSizesHeldBack)
        m_heldSizes.push_back(HeldSize { amount, until });
}

void JobQueue::markFitting(const Item& item)
{
    // A team that joins later starts at the virtual time of the served teams, not at zero.
    m_virtualTime = std::max(m_virtualTime, m_virtualTimes[item.team] - cost(item));
    std::erase_if(m_heldSizes, [&](const HeldSize& heldSize) { return Common::fits(heldSize.amount, item.declared); });
}

bool JobQueue::isHeldBack(const Item& item, Common::MonotonicTime now) const
{
    return std::any_of(m_heldSizes.begin(), m_heldSizes.end(), [&](const HeldSize& heldSize) {
        return (heldSize.probing || now < heldSize.until) && Common::fits(heldSize.amount, item.declared);
    });
}

uint64_t JobQueue::nextSequence(const Common::JobId& job)
{
    m_waiting[job] = ++m_lastSequence;
    return m_lastSequence;
}

const JobQueue::Entry* JobQueue::front(Lane& lane)
{
    while (!lane.empty()) {
        const Entry& first = lane.front();
        const auto waiting = m_waiting.find(first.item.job);
        if (waiting != m_waiting.end() && waiting->second == first.sequence)
            return &first;
        lane.pop_front();
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

std::optional<JobQueue::Item> JobQueue::pop(Common::MonotonicTime now, int64_t wallMilliseconds, const Allows& allows)
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
            const bool better = best == nullptr || rank > bestRank;
            if (better && !isHeldBack(first->item, now) && allows(first->item)) {
                best = &lane->second;
                bestRank = rank;
            }
            ++lane;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    Item item = std::move(best->front().item);
    best->pop_front();
    m_waiting.erase(item.job);
    for (HeldSize& heldSize : m_heldSizes)
        heldSize.probing |= Common::fits(heldSize.amount, item.declared);
    m_virtualTimes[item.team] += cost(item);
    return item;
}

} // namespace Ledger
