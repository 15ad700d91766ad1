// Order of claims and choice of workers.
#include "Policy/RoomPromise.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace Policy {

std::vector<size_t> rankRoomClaims(const std::vector<RoomClaim>& claims)
{
    std::vector<size_t> ranked(claims.size());
    std::iota(ranked.begin(), ranked.end(), 0);
    std::stable_sort(ranked.begin(), ranked.end(), [&claims](size_t a, size_t b) {
        return std::tuple(claims[a].priority, -claims[a].waited) < std::tuple(claims[b].priority, -claims[b].waited);
    });
    return ranked;
}

std::vector<KeptRoom> chooseKeptRoom(const std::vector<uint32_t>& roomOf, uint32_t waiting, size_t mostWorkers)
{
    std::vector<size_t> byRoom(roomOf.size());
    std::iota(byRoom.begin(), byRoom.end(), 0);
    std::stable_sort(byRoom.begin(), byRoom.end(), [&roomOf](size_t a, size_t b) { return roomOf[a] > roomOf[b]; });
    std::vector<KeptRoom> chosen;
    for (const size_t worker : byRoom) {
        if (waiting == 0 || roomOf[worker] == 0 || chosen.size() == mostWorkers)
            break;
        const uint32_t tasks = std::min(roomOf[worker], waiting);
        chosen.push_back({ worker, tasks });
        waiting -= tasks;
    }
    return chosen;
}

} // namespace Policy
