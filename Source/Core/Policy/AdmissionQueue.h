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
/// A request is under way from its admission until it is cancelled in the queue, dropped, or reported to `onCompleted`.
/// Invariant: holds at most `Settings::maximumQueued` requests, and per profile at most its maximumQueued.
class AdmissionQueue {
public:
    struct Settings {
        /// Bound on the waiting requests of all profiles together.
        size_t maximumQueued = 20000;
        /// A priority that has had requests waiting for a whole `overloadInterval` is overloaded: new requests are then
        /// admitted only if they would wait at most this share of the profile's maximumQueueTime. In a shorter burst
        /// the whole maximumQueueTime is allowed.
        uint32_t standingWaitPercent = 20;
        Common::Duration overloadInterval = std::chrono::milliseconds(500);
        Common::Duration shortestRetryAfter = std::chrono::milliseconds(50);
        Common::Duration longestRetryAfter = std::chrono::seconds(5);
    };
    struct Admitted { };
    struct Refused {
        /// Carries a retry delay, except where a retry can't succeed.
        Common::Failure failure;
    };
    using Offer = std::variant<Admitted, Refused>;

    explicit AdmissionQueue(Settings);

    void setConfig(std::shared_ptr<const Scheduler::ClusterConfig>);

    /// Admits the request to the queue, or refuses it if it would not be answered within its deadline.
    Offer offer(const QueuedRequest&, Common::MonotonicTime now);
    /// Removes and returns the request to dispatch next; nothing when none can be dispatched. Requests that can no
    /// longer meet their deadline are skipped and stay for `dropExpired`.
    std::optional<QueuedRequest> takeNext(Common::MonotonicTime now);
    /// Removes the requests that can no longer meet their deadline. The caller answers them "not run".
    std::vector<Common::RequestId> dropExpired(Common::MonotonicTime now);
    /// False when the request isn't waiting here.
    bool cancel(const Common::RequestId&, Common::MonotonicTime now);
    /// Returns a taken request to the queue because no worker had room for it. It isn't counted as a new admission.
    void putBack(const QueuedRequest&, Common::MonotonicTime now);

    /// Records the end of a dispatched request. `runTime` counts from the dispatch. The run time of an unanswered
    /// request is learned only if it is longer than the estimate.
    void onCompleted(const Common::ProfileName&, const Common::TeamName&, Common::Duration runTime, bool answered,
        Common::MonotonicTime now);

    size_t size() const { return m_byId.size(); }
    bool empty() const { return m_byId.empty(); }
    /// Earliest time at which `dropExpired` would drop a request; nothing when the queue is empty.
    std::optional<Common::MonotonicTime> nextExpiry() const;
    /// Number of the team's requests that wait or run.
    uint32_t underWay(const Common::TeamName&) const;
    /// Estimated run time of the profile's requests; zero when none has been seen.
    Common::Duration runTime(const Common::ProfileName&, Common::MonotonicTime now) const;
    /// Expected wait of a request queued behind all others of its priority; zero when the drain rate is unknown.
    Common::Duration estimatedWait(Scheduler::Priority, Common::MonotonicTime now) const;

private:
    static constexpr size_t classCount = 4;
    /// Latest start time, then order of admission.
    using Key = std::pair<Common::MonotonicTime, uint64_t>;
    using Entries = __gnu_pbds::tree<Key, QueuedRequest, std::less<>, __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>;
    /// The waiting requests of one priority, ordered by latest start time.
    struct PriorityClass {
        Entries entries;
        /// Virtual time at which the next turn of this class starts; the class whose turn ends first is served next.
        uint64_t pass = 0;
        /// Time since which requests have been waiting; meaningful only while `entries` isn't empty.
        Common::MonotonicTime waitingSince;
    };
    struct QueuePosition {
        size_t priorityClass = 0;
        Key key;
    };
    struct ProfileState {
        uint32_t queued = 0;
        RunTimeEstimate runTime;
    };

    std::optional<Common::Failure> checkAdmission(const QueuedRequest&, const Key&, Common::MonotonicTime now);
    std::optional<Common::ErrorCode> checkWait(const QueuedRequest&, const Key&, Common::MonotonicTime now) const;
    const Scheduler::Profile* profile(const Common::ProfileName&) const;
    Common::Duration expectedRunTime(const QueuedRequest&, Common::MonotonicTime now) const;
    Common::MonotonicTime latestStart(const QueuedRequest&, Common::MonotonicTime now) const;
    Common::Duration waitBehind(size_t priorityClass, size_t ahead, Common::MonotonicTime now) const;
    Common::Duration allowedWait(size_t priorityClass, const Scheduler::Profile&, Common::MonotonicTime now) const;
    Common::Duration retryAfter(const Common::RequestId&, Common::MonotonicTime now);
    void insert(const QueuedRequest&, const Key&, Common::MonotonicTime now);
    void erase(const Common::RequestId&, Common::MonotonicTime now);
    void releaseTeamSlot(const Common::TeamName&);
    std::optional<size_t> nextClass(Common::MonotonicTime now) const;

    Settings m_settings;
    std::shared_ptr<const Scheduler::ClusterConfig> m_config;
    std::array<PriorityClass, classCount> m_classes;
    std::unordered_map<Common::RequestId, QueuePosition> m_byId;
    std::unordered_map<Common::ProfileName, ProfileState> m_profiles;
    /// Only teams with requests under way.
    std::unordered_map<Common::TeamName, uint32_t> m_underWay;
    DrainRate m_drainRate;
    uint64_t m_lastSequence = 0;
    uint64_t m_virtualTime = 0;
    /// End of the time slots already assigned to the retries of refused callers.
    Common::MonotonicTime m_retriesScheduledUntil;
};

} // namespace Policy
