// Orders the daemons to which a request may be passed on.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Policy/LinkBudget.h"
#include "Policy/RouteQuery.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Policy {

/// Knows of each peer what is in flight there beyond what its last load summary counted, and whether calls to it make
/// progress.
class Router {
public:
    struct Settings {
        /// Calls in a row without an answer after which a peer is passed over, except for probes.
        uint32_t failuresToSkip = 2;
        Common::Duration firstProbeAfter = std::chrono::milliseconds(500);
        Common::Duration longestProbeAfter = std::chrono::seconds(2);
        /// A peer whose usual answer takes more than this share of the time left is passed over.
        uint32_t slowSharePercent = 70;
        uint32_t candidatesPerScope = 2;
        /// A peer that refused for want of room is not asked again for this long.
        Common::Duration refusalPause = std::chrono::milliseconds(50);
    };
    enum class Scope {
        Here,
        Domain,
        Region,
        OtherRegion,
    };
    struct Candidate {
        Scope scope = Scope::Here;
        Common::DaemonId daemon;
    };

    /// The budget outlives the router. The caller takes from it when it does send to another region.
    Router(Settings, const LinkBudget&);

    /// This daemon first if it has room, then peers, near ones first, last of all this daemon if it has none: its queue
    /// is the place to wait. Summaries are old by the time of many short requests, so that a peer of the region that
    /// had no room is asked all the same, after one that had; another region is asked only if it had room.
    std::vector<Candidate> choose(const RouteQuery&, Common::MonotonicTime now, std::mt19937_64&) const;

    void onSent(const Common::DaemonId&, Common::MonotonicTime now);
    /// `took` counts from the sending to the whole answer. An answer "not run" tells of no room: `refused`.
    void onAnswered(const Common::DaemonId&, Common::Duration took, bool refused, Common::MonotonicTime now);
    /// No answer in time, or no connection.
    void onNoAnswer(const Common::DaemonId&, Common::MonotonicTime now);
    /// A fresh load summary came: what was sent before it is counted in it.
    void onLoadSummary(const Common::DaemonId&, Common::MonotonicTime now);
    void forget(const Common::DaemonId&);

private:
    struct Peer {
        uint32_t failuresInARow = 0;
        int64_t inFlight = 0;
        /// The last answer, or the first call after a time without any in flight.
        Common::MonotonicTime progressAt;
        int64_t inFlightAtSummary = 0;
        Common::MonotonicTime refusedUntil;
        /// Moving average; zero: no answer yet.
        double answerMicroseconds = 0;
        Common::MonotonicTime answeredAt;
        /// While the peer makes no progress, one call may go there from then on.
        Common::MonotonicTime probeAt;
    };

    const Peer* find(const Common::DaemonId&) const;
    Common::Duration backoff(const Peer&) const;
    bool progresses(const Peer&, Common::MonotonicTime now) const;
    bool fastEnough(const Peer&, const RouteQuery&, Common::MonotonicTime now) const;
    bool usable(const RouteQuery&, const Scheduler::PeerInfo&, Common::MonotonicTime now) const;
    int64_t room(const Scheduler::PeerInfo&) const;
    void appendScope(
        std::vector<Candidate>&, Scope, const RouteQuery&, Common::MonotonicTime now, std::mt19937_64&) const;

    Settings m_settings;
    const LinkBudget& m_link;
    std::unordered_map<Common::DaemonId, Peer> m_peers;
};

} // namespace Policy
