// Messages on transferred tasks that the owners of other cells haven't handled yet. Each is repeated until it is
// handled; how many are under way at a time follows from what the owner answers in time, as repeats of messages that it
// is still handling would keep it from handling any.
#pragma once

#include "Cells/CellId.h"
#include "Cells/PartMessage.h"
#include "Common/Lifetime.h"
#include "Common/Result.h"
#include "Common/Units.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace Scheduler {
class Runtime;
}

namespace Cells {

/// Transfers go in the order in which they are due. Of the cancellations those that haven't been sent yet go first, as
/// an owner answers a cancellation only once the runs concerned have ended.
class PartOutbox {
public:
    struct Ports {
        /// Address of the cell's owner: empty if it is this process, nothing if no owner is known to be alive.
        std::function<std::optional<std::string>(const CellId&)> ownerAddress;
        /// Sends the message to the owner at the address; Done when the owner has handled it. This process answers
        /// without a timeout.
        std::function<void(const std::string& address, const CellId&, const PartMessage&, Common::Duration timeout,
            Common::Callback<Common::Done>)>
            send;
    };

    PartOutbox(Scheduler::Runtime&, Ports);

    /// `handled` may be null. No effect for a transfer that is in the outbox already.
    void add(const CellId&, PartMessage, std::function<void()> handled);
    /// Number of messages that haven't been handled.
    size_t size() const;

private:
    enum class Kind {
        Transfer,
        Cancellation,
    };
    struct Message {
        std::shared_ptr<const PartMessage> content;
        std::function<void()> handled;
        /// Attempts at the present owner that ended without an answer.
        uint32_t unanswered = 0;
        uint64_t attempt = 0;
        /// When it may be sent next, or was sent last.
        Common::MonotonicTime at;
        /// Whether it waits for the answer of another process.
        bool isUnderWay = false;
        /// Whether messages that haven't been sent yet go first.
        bool yields = false;
    };
    /// Messages of one kind to one cell. Invariant: each message waits, is under way, or is with this process;
    /// `underWay` is the number of those under way.
    struct Lane {
        std::map<uint64_t, Message> messages;
        /// Whether it yields, when it is due, and number, of the messages that wait.
        std::set<std::tuple<bool, Common::MonotonicTime, uint64_t>> waiting;
        std::set<std::string> transferKeys;
        size_t underWay = 0;
        /// How many messages may be under way. Fractions add up.
        double window = 0;
        Common::MonotonicTime windowReducedAt;
        /// The owner to which messages go; see Ports::ownerAddress.
        std::string address;
        /// Nothing is sent before, since the process at the address doesn't take messages for the cell.
        Common::MonotonicTime sendsFrom;
        bool hasFailed = false;
        std::optional<Common::MonotonicTime> loggedAt;
        size_t failuresToLog = 0;
    };
    using LaneKey = std::pair<CellId, Kind>;

    static const char* nameOf(Kind);
    void sendDue(const LaneKey&);
    void send(const LaneKey&, Lane&, uint64_t number, Common::MonotonicTime now);
    void onAnswer(const LaneKey&, uint64_t number, uint64_t attempt, const Common::Result<Common::Done>&);
    void onFailure(const LaneKey&, Lane&, uint64_t number, Common::ErrorCode);
    void onHandled(const LaneKey&, Lane&, uint64_t number);
    void logFailure(const LaneKey&, Lane&, Common::ErrorCode);
    void noteOwner(const LaneKey&, Lane&, const std::string& address);
    void watchOwners();

    Scheduler::Runtime& m_runtime;
    Ports m_ports;
    std::map<LaneKey, Lane> m_lanes;
    /// Lanes for which sendDue() is running: this process may answer within it.
    std::set<LaneKey> m_sending;
    uint64_t m_lastNumber = 0;
    bool m_watchingOwners = false;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
