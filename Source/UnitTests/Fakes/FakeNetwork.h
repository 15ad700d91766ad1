// A network that delays, loses, repeats and cuts.
#pragma once

#include "Fakes/VirtualRuntime.h"

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace Fakes {

class FakeNetwork {
public:
    FakeNetwork(VirtualRuntime& world, uint64_t seed)
        : m_world(world)
        , m_random(seed)
    {
    }

    /// Messages take between 1 ms and this.
    void setMaximumDelay(std::chrono::milliseconds delay) { m_maximumDelay = delay; }
    void setLossPerMille(uint64_t loss) { m_lossPerMille = loss; }
    void setDuplicatesPerMille(uint64_t duplicates) { m_duplicatesPerMille = duplicates; }
    /// One way only.
    void cut(const std::string& from, const std::string& to) { m_cuts.emplace(from, to); }
    void heal()
    {
        m_cuts.clear();
        m_lossPerMille = m_duplicatesPerMille = 0;
        m_maximumDelay = std::chrono::milliseconds(5);
    }
    /// Delivers never, once or twice.
    void send(const std::string& from, const std::string& to, const std::function<void()>& deliver)
    {
        if (sendOnce(from, to, deliver) && happens(m_duplicatesPerMille))
            m_world.schedule(delay() * 4, deliver);
    }
    /// Delivers never or once, as a connection does. False: never.
    bool sendOnce(const std::string& from, const std::string& to, const std::function<void()>& deliver)
    {
        if (m_cuts.contains({ from, to }) || happens(m_lossPerMille))
            return false;
        m_world.schedule(delay(), deliver);
        return true;
    }

private:
    bool happens(uint64_t perMille) { return perMille > 0 && m_random() % 1000 < perMille; }
    Common::Duration delay()
    {
        return std::chrono::milliseconds(1 + m_random() % static_cast<uint64_t>(m_maximumDelay.count()));
    }

    VirtualRuntime& m_world;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_maximumDelay { 5 };
    uint64_t m_lossPerMille = 0;
    uint64_t m_duplicatesPerMille = 0;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

} // namespace Fakes
