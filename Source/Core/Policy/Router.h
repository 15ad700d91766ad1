// Orders the daemons to which a request may be forwarded.
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

/// Tracks for each peer the calls in flight that its last load summary doesn't include, and whether calls to it make
/// progress.
class Router {
public:
    struct Settings {
        /// Consecutive calls without an answer after which a peer is skipped, except for probes.
        uint32_t failuresToSkip = 2;
        Common::Duration firstProbeAfter = std::chrono::milliseconds(500);
        Common::Duration longestProbeAfter = std::chrono::seconds(2);
        /// A peer whose usual answer takes more than this share of the time left is skipped.
        uint32_t slowSharePercent = 70;
        uint32_t candidatesPerScope = 2;
        /// A peer that refused a request for lack of room gets none for this long.
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

    /// The budget must outlive the router. The caller takes from it when it sends a request to another region.
    Router(Settings, const LinkBudget&);

    /// Lists this daemon first if it has room, then peers, near ones first. Without room this daemon comes last, since
    /// the request can wait in its queue; it is left out while it drains. Load summaries are out of date for short
    /// requests, so a peer of this region without room is still listed, usually after one with room. A peer of another
    /// region is listed only if it has room.
    std::vector<Candidate> choose(const RouteQuery&, Common::MonotonicTime now, std::mt19937_64&) const;

    void onSent(const Common::DaemonId&, Common::MonotonicTime now);
    /// `took` counts from sending the request to receiving the whole answer. `refused`: the peer answered "not run"
    /// because it has no room.
    void onAnswered(const Common::DaemonId&, Common::Duration took, bool refused, Common::MonotonicTime now);
    /// The call got no answer in time, or no connection.
    void onNoAnswer(const Common::DaemonId&, Common::MonotonicTime now);
    /// Records a new load summary, which includes all calls sent before it.
    void onLoadSummary(const Common::DaemonId&, Common::MonotonicTime now);
    void forget(const Common::DaemonId&);

private:
    struct Peer {
        uint32_t failuresInARow = 0;
        int64_t inFlight = 0;
        /// Time of the last answer, or of the first call after none was in flight.
        Common::MonotonicTime progressAt;
        int64_t inFlightAtSummary = 0;
        Common::MonotonicTime refusedUntil;
        /// Moving average of answer times; zero: no answer yet.
        double answerMicroseconds = 0;
        Common::MonotonicTime answeredAt;
        /// While the peer makes no progress, one probe may be sent from this time on.
        Common::MonotonicTime probeAt;
    };

    const Peer* find(const Common::DaemonId&) const;
    Common::Duration backoff(const Peer&) const;
    bool makesProgress(const Peer&, Common::MonotonicTime now) const;
    bool isFastEnough(const Peer&, const RouteQuery&, Common::MonotonicTime now) const;
    bool isUsable(const RouteQuery&, const Scheduler::PeerInfo&, Common::MonotonicTime now) const;
    int64_t remainingSlots(const Scheduler::PeerInfo&) const;
    void appendScope(
        std::vector<Candidate>&, Scope, const RouteQuery&, Common::MonotonicTime now, std::mt19937_64&) const;

    Settings m_settings;
    const LinkBudget& m_link;
    std::unordered_map<Common::DaemonId, Peer> m_peers;
};

} // namespace Policy
