// Compares offers of the same kind by their price.
#include "Policy/RoomOffer.h"

#include <algorithm>

namespace Policy {

namespace {

    struct IsBetter {
        bool operator()(const FreeRoom& a, const FreeRoom& b) const { return a.tasks > b.tasks; }
        bool operator()(const RoomByStops& a, const RoomByStops& b) const { return a.cost < b.cost; }
        bool operator()(const RoomByEnds& a, const RoomByEnds& b) const { return a.wait < b.wait; }
        /// Others by their kinds, which are listed with the best first.
        template <typename A, typename B> bool operator()(const A&, const B&) const
        {
            return RoomOffer(A {}).index() < RoomOffer(B {}).index();
        }
    };

} // namespace

std::optional<size_t> chooseRoomOffer(const std::vector<RoomOffer>& offers)
{
    std::optional<size_t> best;
    for (size_t index = 0; index < offers.size(); ++index) {
        if (std::holds_alternative<NoRoom>(offers[index]))
            continue;
        if (!best || std::visit(IsBetter {}, offers[index], offers[*best]))
            best = index;
    }
    return best;
}

} // namespace Policy
