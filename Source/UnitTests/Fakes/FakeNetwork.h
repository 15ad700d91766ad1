// A simulated network that delays, loses and duplicates messages and can cut connections, from a seed.
#pragma once

#include "Fakes/VirtualRuntime.h"

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace Fakes {

class FakeNetwork {
public:
    FakeNetwork(VirtualRuntime& runtime, uint64_t seed)
        : m_runtime(runtime)
        , m_random(seed)
    {
    }

    /// Messages take at least 1 ms and at most `delay`.
    void setMaximumDelay(std::chrono::milliseconds delay) { m_maximumDelay = delay; }
    void setLossPerMille(uint64_t loss) { m_lossPerMille = loss; }
    void setDuplicatesPerMille(uint64_t duplicates) { m_duplicatesPerMille = duplicates; }
    /// Drops all messages from `from` to `to`; the opposite direction is unaffected.
    void cut(const std::string& from, const std::string& to) { m_cuts.emplace(from, to); }
    bool isCut(const std::string& from, const std::string& to) const { return m_cuts.contains({ from, to }); }
    /// Removes the cut from `from` to `to`.
    void mend(const std::string& from, const std::string& to) { m_cuts.erase({ from, to }); }
    /// Removes cuts, loss and duplicates and resets the maximum delay to 5 ms.
    void heal()
    {
        m_cuts.clear();
        m_lossPerMille = m_duplicatesPerMille = 0;
        m_maximumDelay = std::chrono::milliseconds(5);
    }
    /// Delivers the message not at all, once or twice.
    void send(const std::string& from, const std::string& to, const std::function<void()>& deliver)
    {
        if (sendOnce(from, to, deliver) && happens(m_duplicatesPerMille))
            m_runtime.schedule(delay() * 4, deliver);
    }
    /// Delivers the message at most once, as a connection does. Returns false when it is lost.
    bool sendOnce(const std::string& from, const std::string& to, const std::function<void()>& deliver)
    {
        if (m_cuts.contains({ from, to }) || happens(m_lossPerMille))
            return false;
        m_runtime.schedule(delay(), deliver);
        return true;
    }

private:
    bool happens(uint64_t perMille) { return perMille > 0 && m_random() % 1000 < perMille; }
    Common::Duration delay()
    {
        return std::chrono::milliseconds(1 + m_random() % static_cast<uint64_t>(m_maximumDelay.count()));
    }

    VirtualRuntime& m_runtime;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_maximumDelay { 5 };
    uint64_t m_lossPerMille = 0;
    uint64_t m_duplicatesPerMille = 0;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

} // namespace Fakes
