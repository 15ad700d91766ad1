// Limits, repeats and times of messages on transferred tasks.
#include "Cells/PartOutbox.h"

#include "Common/ErrorCode.h"
#include "Common/Log.h"
#include "Scheduler/Runtime.h"

#include <algorithm>
#include <vector>

namespace Cells {

namespace {

    /// Pause before a message is sent again that wasn't handled, and before another look for an owner.
    constexpr Common::Duration retryPause = std::chrono::milliseconds(400);
    /// Time for the answer to the first attempt at an owner. It doubles, and so does the pause, with each attempt
    /// without an answer: a late owner's answers must be in time some day, and its successor must not wait for long.
    constexpr Common::Duration answerTime = std::chrono::milliseconds(1000);
    constexpr uint32_t maximumDoublings = 2;
    /// Messages of one kind that may be under way to one cell.
    constexpr double firstWindow = 16;
    constexpr double smallestWindow = 1;
    constexpr double largestWindow = 32;
    constexpr double windowReduction = 2;
    /// At most one line a lane within this time.
    constexpr Common::Duration logInterval = std::chrono::seconds(1);

    Common::Duration doubled(Common::Duration time, uint32_t times)
    {
        return time * (1 << std::min(times, maximumDoublings));
    }

} // namespace

const char* PartOutbox::nameOf(Kind kind) { return kind == Kind::Transfer ? "transfer" : "cancellation"; }

PartOutbox::PartOutbox(Scheduler::Runtime& runtime, Ports ports)
    : m_runtime(runtime)
    , m_ports(std::move(ports))
{
}

size_t PartOutbox::size() const
{
    size_t messages = 0;
    for (const auto& [key, lane] : m_lanes)
        messages += lane.messages.size();
    return messages;
}

void PartOutbox::add(const CellId& cell, PartMessage content, std::function<void()> handled)
{
    const auto* const transfer = std::get_if<TaskTransfer>(&content);
    const LaneKey key { cell, transfer ? Kind::Transfer : Kind::Cancellation };
    Lane& lane = m_lanes[key];
    if (transfer && !lane.transferKeys.insert(transfer->key()).second)
        return;
    if (lane.messages.empty())
        lane.window = firstWindow;
    const uint64_t number = ++m_lastNumber;
    Message& message = lane.messages[number];
    message.content = std::make_shared<const PartMessage>(std::move(content));
    message.handled = std::move(handled);
    message.at = m_runtime.now();
    lane.waiting.insert({ message.yields, message.at, number });
    if (!m_watchingOwners)
        watchOwners();
    sendDue(key);
}

void PartOutbox::sendDue(const LaneKey& key)
{
    if (!m_sending.insert(key).second)
        return;
    const Common::MonotonicTime now = m_runtime.now();
    while (true) {
        const auto found = m_lanes.find(key);
        if (found == m_lanes.end() || found->second.waiting.empty())
            break;
        Lane& lane = found->second;
        const std::optional<std::string> address = m_ports.ownerAddress(key.first);
        if (!address)
            break;
        noteOwner(key, lane, *address);
        const auto [yields, due, number] = *lane.waiting.begin();
        const bool isFull = !address->empty() && static_cast<double>(lane.underWay) + 1 > lane.window;
        if (due > now || lane.sendsFrom > now || isFull)
            break;
        send(key, lane, number, now);
    }
    m_sending.erase(key);
}

void PartOutbox::send(const LaneKey& key, Lane& lane, uint64_t number, Common::MonotonicTime now)
{
    Message& message = lane.messages.at(number);
    lane.waiting.erase({ message.yields, message.at, number });
    message.at = now;
    message.isUnderWay = !lane.address.empty();
    lane.underWay += message.isUnderWay ? 1 : 0;
    const uint64_t attempt = ++message.attempt;
    // This process may answer, which removes the message, within the call.
    const std::shared_ptr<const PartMessage> content = message.content;
    m_ports.send(lane.address, key.first, *content, doubled(answerTime, message.unanswered),
        m_lifetime.guard([this, key, number, attempt](
                             const Common::Result<Common::Done>& answer) { onAnswer(key, number, attempt, answer); }));
}

void PartOutbox::onAnswer(
    const LaneKey& key, uint64_t number, uint64_t attempt, const Common::Result<Common::Done>& answer)
{
    const auto lane = m_lanes.find(key);
    if (lane == m_lanes.end())
        return;
    const auto message = lane->second.messages.find(number);
    if (message == lane->second.messages.end())
        return;
    if (answer)
        onHandled(key, lane->second, number);
    else if (message->second.attempt == attempt)
        onFailure(key, lane->second, number, answer.reason().code);
    sendDue(key);
}

void PartOutbox::onFailure(const LaneKey& key, Lane& lane, uint64_t number, Common::ErrorCode reason)
{
    const Common::MonotonicTime now = m_runtime.now();
    Message& message = lane.messages.at(number);
    lane.underWay -= message.isUnderWay ? 1 : 0;
    Common::Duration pause = retryPause;
    if (reason == Common::ErrorCode::Timeout) {
        pause = doubled(retryPause, message.unanswered);
        ++message.unanswered;
        // The answer to a cancellation takes as long as the job's runs take to end.
        if (key.second == Kind::Transfer && message.at >= lane.windowReducedAt) {
            lane.window = std::max(smallestWindow, lane.window / windowReduction);
            lane.windowReducedAt = now;
        }
    } else if (reason == Common::ErrorCode::NotOwner || reason == Common::ErrorCode::ConnectFailed) {
        lane.sendsFrom = now + retryPause;
    }
    message.isUnderWay = false;
    message.yields = key.second == Kind::Cancellation;
    message.at = now + pause;
    lane.waiting.insert({ message.yields, message.at, number });
    m_runtime.schedule(pause, m_lifetime.guard([this, key] { sendDue(key); }));
    logFailure(key, lane, reason);
}

void PartOutbox::onHandled(const LaneKey& key, Lane& lane, uint64_t number)
{
    Message& message = lane.messages.at(number);
    if (message.isUnderWay) {
        --lane.underWay;
        lane.window = std::min(largestWindow, lane.window + 1 / lane.window);
    }
    // It waits again if a former owner has handled it.
    lane.waiting.erase({ message.yields, message.at, number });
    if (const auto* const transfer = std::get_if<TaskTransfer>(message.content.get()))
        lane.transferKeys.erase(transfer->key());
    const std::function<void()> handled = std::move(message.handled);
    lane.messages.erase(number);
    if (lane.messages.empty()) {
        if (lane.hasFailed)
            LC_INFO(Peer, "event=part-messages-handled cell=" << key.first.value() << " kind=" << nameOf(key.second));
        m_lanes.erase(key);
    }
    if (handled)
        handled();
}

void PartOutbox::logFailure(const LaneKey& key, Lane& lane, Common::ErrorCode reason)
{
    lane.hasFailed = true;
    ++lane.failuresToLog;
    const Common::MonotonicTime now = m_runtime.now();
    if (lane.loggedAt && now - *lane.loggedAt < logInterval)
        return;
    LC_WARN(Peer,
        "event=part-message-unanswered cell=" << key.first.value() << " kind=" << nameOf(key.second) << " reason="
                                              << Common::errorName(reason) << " attempts=" << lane.failuresToLog
                                              << " messages=" << lane.messages.size() << " under-way=" << lane.underWay
                                              << " window=" << static_cast<size_t>(lane.window));
    lane.loggedAt = now;
    lane.failuresToLog = 0;
}

/// A new owner gets all that the former one hasn't handled at once.
void PartOutbox::noteOwner(const LaneKey& key, Lane& lane, const std::string& address)
{
    if (lane.address == address)
        return;
    lane.address = address;
    lane.underWay = 0;
    lane.window = firstWindow;
    lane.windowReducedAt = lane.sendsFrom = {};
    lane.waiting.clear();
    for (auto& [number, message] : lane.messages) {
        message.unanswered = 0;
        // A failure of the former owner counts no more.
        ++message.attempt;
        message.isUnderWay = message.yields = false;
        message.at = m_runtime.now();
        lane.waiting.insert({ message.yields, message.at, number });
    }
}

/// Looks for owners of cells that had none, and for other owners of cells whose owner doesn't answer.
void PartOutbox::watchOwners()
{
    m_watchingOwners = !m_lanes.empty();
    if (!m_watchingOwners)
        return;
    std::vector<LaneKey> keys;
    for (auto& [key, lane] : m_lanes) {
        if (const std::optional<std::string> address = m_ports.ownerAddress(key.first))
            noteOwner(key, lane, *address);
        keys.push_back(key);
    }
    for (const LaneKey& key : keys)
        sendDue(key);
    m_runtime.schedule(retryPause, m_lifetime.guard([this] { watchOwners(); }));
}

} // namespace Cells
