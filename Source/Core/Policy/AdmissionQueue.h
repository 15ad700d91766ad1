// Decides which latency-critical requests wait, in which order they go, and which are refused at once.
#pragma once

#include "Common/Failure.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Common/Units.h"
#include "Policy/DrainRate.h"
#include "Policy/QueuedRequest.h"
#include "Policy/RunTimeEstimate.h"
#include "Scheduler/ClusterConfig.h"

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include <array>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Policy {

/// The requests that wait at one daemon. All operations take O(log n) in the number of waiting requests.
/// A request is under way from its admission until it is cancelled in the queue, dropped, or `onCompleted`.
/// Invariant: holds at most `Settings::maximumQueued` requests, and per profile at most its maximumQueued.
class AdmissionQueue {
public:
    struct Settings {
        /// Bound on all waiting requests, whatever the profiles say.
        size_t maximumQueued = 20000;
        /// A priority that has had requests waiting for a whole `overloadInterval` is overloaded; newcomers are then
        /// admitted only if they wait at most this share of the profile's maximumQueueTime. Bursts get all of it.
        uint32_t standingWaitPercent = 20;
        Common::Duration overloadInterval = std::chrono::milliseconds(500);
        Common::Duration shortestRetryAfter = std::chrono::milliseconds(50);
        Common::Duration longestRetryAfter = std::chrono::seconds(5);
    };
    struct Admitted { };
    struct Refused {
        /// Says when to come back, except where coming back is of no use.
        Common::Failure failure;
    };
    using Offer = std::variant<Admitted, Refused>;

    explicit AdmissionQueue(Settings);

    void setConfig(std::shared_ptr<const Scheduler::ClusterConfig>);

    /// Admits the request to the queue, or refuses it if it would not be answered within its deadline.
    Offer offer(const QueuedRequest&, Common::MonotonicTime now);
    /// The request to dispatch next, removed from the queue. Never one that can't make its deadline any more:
    /// those stay for `dropExpired`.
    std::optional<QueuedRequest> takeNext(Common::MonotonicTime now);
    /// Removes the requests that can't make their deadline any more. The caller answers them "not run".
    std::vector<Common::RequestId> dropExpired(Common::MonotonicTime now);
    /// False when the request isn't waiting here.
    bool cancel(const Common::RequestId&, Common::MonotonicTime now);
    /// Puts a taken request back that could not be dispatched (no worker had room). Not an admission.
    void putBack(const QueuedRequest&, Common::MonotonicTime now);

    /// The dispatched request ended. `runTime` counts from the dispatch; only answers teach the run time.
    void onCompleted(const Common::ProfileName&, const Common::TeamName&, Common::Duration runTime, bool answered,
        Common::MonotonicTime now);

    size_t size() const { return m_byId.size(); }
    bool empty() const { return m_byId.empty(); }
    /// When the next `dropExpired` would drop something; nothing when the queue is empty.
    std::optional<Common::MonotonicTime> nextExpiry() const;
    /// Requests of the team that wait or run.
    uint32_t underWay(const Common::TeamName&) const;
    Common::Duration runTime(const Common::ProfileName&, Common::MonotonicTime now) const;
    /// How long a request would wait that goes behind all others of its priority.
    Common::Duration estimatedWait(Scheduler::Priority, Common::MonotonicTime now) const;

private:
    static constexpr size_t classCount = 4;
    /// Latest start, then order of admission.
    using Key = std::pair<Common::MonotonicTime, uint64_t>;
    using Entries = __gnu_pbds::tree<Key, QueuedRequest, std::less<>, __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>;
    /// The waiting requests of one priority, earliest latest start first.
    struct PriorityClass {
        Entries entries;
        /// Virtual time at which its next turn starts; the non-empty class whose turn ends first goes next.
        uint64_t pass = 0;
        /// Since when it has not been empty; meaningful only while it is not.
        Common::MonotonicTime waitingSince;
    };
    struct Place {
        size_t priorityClass = 0;
        Key key;
    };
    struct ProfileState {
        uint32_t queued = 0;
        RunTimeEstimate runTime;
    };

    std::optional<Common::Failure> refusal(const QueuedRequest&, const Key&, Common::MonotonicTime now);
    std::optional<Common::ErrorCode> waitRefusal(const QueuedRequest&, const Key&, Common::MonotonicTime now) const;
    const Scheduler::Profile* profile(const Common::ProfileName&) const;
    Common::Duration expectedRunTime(const QueuedRequest&, Common::MonotonicTime now) const;
    Common::MonotonicTime latestStart(const QueuedRequest&, Common::MonotonicTime now) const;
    Common::Duration waitBehind(size_t priorityClass, size_t ahead, Common::MonotonicTime now) const;
    Common::Duration allowedWait(size_t priorityClass, const Scheduler::Profile&, Common::MonotonicTime now) const;
    Common::Duration retryAfter(const Common::RequestId&, Common::MonotonicTime now);
    void insert(const QueuedRequest&, const Key&, Common::MonotonicTime now);
    void erase(const Common::RequestId&, Common::MonotonicTime now);
    void leaveTeam(const Common::TeamName&);
    std::optional<size_t> nextClass(Common::MonotonicTime now) const;

    Settings m_settings;
    std::shared_ptr<const Scheduler::ClusterConfig> m_config;
    std::array<PriorityClass, classCount> m_classes;
    std::unordered_map<Common::RequestId, Place> m_byId;
    std::unordered_map<Common::ProfileName, ProfileState> m_profiles;
    /// Only teams with requests under way.
    std::unordered_map<Common::TeamName, uint32_t> m_underWay;
    DrainRate m_drainRate;
    uint64_t m_lastSequence = 0;
    uint64_t m_virtualTime = 0;
    /// Up to when the capacity has been promised to refused callers.
    Common::MonotonicTime m_returnsBookedUntil;
};

} // namespace Policy
