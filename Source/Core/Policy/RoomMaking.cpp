// Stops the cheapest runs first until the need fits, and leaves out those whose stops weren't needed in the end.
#include "Policy/RoomMaking.h"

#include <algorithm>

namespace Policy {

namespace {

    StopCost costOf(const RoomHolder& run)
    {
        return { !run.backfill, run.backfill ? 0 : -static_cast<int64_t>(run.priority), run.workLost, 1 };
    }

    StopCost costOf(const RoomMakingOffer& offer, const std::vector<size_t>& stopped)
    {
        StopCost cost;
        cost.negatedPriority = -static_cast<int64_t>(UINT32_MAX);
        for (const size_t index : stopped) {
            const StopCost one = costOf(offer.runs[index]);
            cost.stopsOrdinary = cost.stopsOrdinary || one.stopsOrdinary;
            if (one.stopsOrdinary)
                cost.negatedPriority = std::max(cost.negatedPriority, one.negatedPriority);
            cost.workLost += one.workLost;
            ++cost.stops;
        }
        return cost;
    }

    /// Whether the need fits once the runs that end and those of `stopped` are gone.
    bool fitsWithout(const Common::Resources& needed, const RoomMakingOffer& offer, const std::vector<size_t>& stopped)
    {
        Common::Resources wanted = needed;
        for (size_t index = 0; index < offer.runs.size(); ++index) {
            const bool goes
                = offer.runs[index].ending || std::find(stopped.begin(), stopped.end(), index) != stopped.end();
            if (!goes)
                wanted += offer.runs[index].held;
        }
        return Common::fits(wanted, offer.capacity);
    }

    /// Leaves out stops without which the need fits too, the dearest ones first.
    void leaveOutNeedless(const Common::Resources& needed, const RoomMakingOffer& offer, std::vector<size_t>& stopped)
    {
        for (size_t kept = stopped.size(); kept-- > 0;) {
            std::vector<size_t> others = stopped;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(kept));
            if (fitsWithout(needed, offer, others))
                stopped = std::move(others);
        }
    }

    std::optional<RoomMakingPlan> planOn(
        const Common::Resources& needed, uint32_t priority, const RoomMakingOffer& offer)
    {
        std::vector<size_t> cheapestFirst;
        for (size_t index = 0; index < offer.runs.size(); ++index) {
            const RoomHolder& run = offer.runs[index];
            if (!run.kept && !run.ending && run.priority >= priority)
                cheapestFirst.push_back(index);
        }
        std::stable_sort(cheapestFirst.begin(), cheapestFirst.end(),
            [&offer](size_t a, size_t b) { return costOf(offer.runs[a]) < costOf(offer.runs[b]); });
        std::vector<size_t> stopped;
        for (const size_t index : cheapestFirst) {
            if (fitsWithout(needed, offer, stopped))
                break;
            stopped.push_back(index);
        }
        if (!fitsWithout(needed, offer, stopped))
            return std::nullopt;
        leaveOutNeedless(needed, offer, stopped);
        RoomMakingPlan best { 0, stopped, costOf(offer, stopped) };
        // A single run may cost less than several that are cheaper each.
        for (const size_t index : cheapestFirst) {
            RoomMakingPlan single { 0, { index }, costOf(offer, { index }) };
            if (single.cost < best.cost && fitsWithout(needed, offer, single.stopped))
                best = std::move(single);
        }
        return best;
    }

} // namespace

std::optional<RoomMakingPlan> planRoomMaking(
    const Common::Resources& needed, uint32_t priority, const std::vector<RoomMakingOffer>& offers)
{
    std::optional<RoomMakingPlan> best;
    for (size_t worker = 0; worker < offers.size(); ++worker) {
        std::optional<RoomMakingPlan> plan = planOn(needed, priority, offers[worker]);
        if (!plan || (best && best->cost <= plan->cost))
            continue;
        plan->worker = worker;
        best = std::move(plan);
    }
    return best;
}

} // namespace Policy
