// Rounds, pauses and the choice among the answers.
#include "Policy/RoomInquiry.h"

#include <algorithm>
#include <tuple>

namespace Policy {

namespace {

    constexpr Common::Duration shortestPause = std::chrono::milliseconds(250);
    constexpr Common::Duration longestPause = std::chrono::seconds(4);
    /// A cell's answers don't account for a task that was given to it until the transfer has arrived there.
    constexpr Common::Duration pauseOfReceiver = std::chrono::milliseconds(500);
    /// How long a cell isn't asked after it gave a task back for the first time.
    constexpr Common::Duration pauseOfRefuser = std::chrono::seconds(1);
    constexpr uint32_t mostDoublings = 4;

} // namespace

void RoomInquiry::noteRefusals(Common::MonotonicTime now, const std::vector<Peer>& peers)
{
    for (const Peer& peer : peers) {
        // What happened before the first question says nothing about the offers that follow.
        const auto [known, isNew] = m_refusals.try_emplace(peer.cell, peer.refusals);
        if (isNew || peer.refusals <= known->second)
            continue;
        known->second = peer.refusals;
        m_skippedUntil[peer.cell] = now + pauseOfRefuser * (1 << std::min(peer.refusals - 1, mostDoublings));
    }
}

/// `askedAgainAt`: when the first of the cells that aren't asked for a while is asked again.
void RoomInquiry::beginPause(Common::MonotonicTime now, std::optional<Common::MonotonicTime> askedAgainAt)
{
    // Nothing was asked in vain.
    if (m_asked.empty() && askedAgainAt) {
        m_notBefore = *askedAgainAt;
        return;
    }
    m_asked.clear();
    m_ends.reset();
    m_pause = std::clamp(2 * m_pause, shortestPause, longestPause);
    m_notBefore = now + m_pause;
}

std::vector<std::string> RoomInquiry::begin(Common::MonotonicTime now, uint64_t number, std::vector<Peer> peers)
{
    if (!isDue(now))
        return {};
    noteRefusals(now, peers);
    std::optional<Common::MonotonicTime> askedAgainAt;
    std::erase_if(peers, [&](const Peer& peer) {
        const auto skipped = m_skippedUntil.find(peer.cell);
        const bool isSkipped = skipped != m_skippedUntil.end() && skipped->second > now;
        if (isSkipped && (!askedAgainAt || skipped->second < *askedAgainAt))
            askedAgainAt = skipped->second;
        return isSkipped || m_asked.contains(peer.cell);
    });
    if (peers.empty()) {
        beginPause(now, askedAgainAt);
        return {};
    }
    std::stable_sort(peers.begin(), peers.end(),
        [](const Peer& a, const Peer& b) { return std::tuple(a.refusals, b.room) < std::tuple(b.refusals, a.room); });
    m_isLastRound = peers.size() <= cellsOfRound;
    if (!m_isLastRound)
        peers.resize(cellsOfRound);
    m_number = number;
    std::vector<std::string> cells;
    for (const Peer& peer : peers) {
        m_round[peer.cell] = {};
        m_asked.insert(peer.cell);
        cells.push_back(peer.cell);
    }
    return cells;
}

bool RoomInquiry::note(uint64_t number, const std::string& cell, std::optional<RoomOffer> offer)
{
    const auto asked = m_round.find(cell);
    if (number != m_number || asked == m_round.end() || asked->second.arrived)
        return false;
    asked->second.arrived = true;
    if (offer) {
        m_silent.erase(cell);
        asked->second.offer = *offer;
    } else {
        m_silent.insert(cell);
    }
    return std::all_of(m_round.begin(), m_round.end(), [](const auto& row) { return row.second.arrived; });
}

std::optional<RoomInquiry::Choice> RoomInquiry::conclude(Common::MonotonicTime now, bool acceptsEnds)
{
    std::vector<std::string> cells;
    std::vector<RoomOffer> offers;
    for (const auto& [cell, answer] : m_round) {
        cells.push_back(cell);
        offers.push_back(answer.offer);
    }
    m_round.clear();
    std::optional<Choice> chosen;
    if (const std::optional<size_t> best = chooseRoomOffer(offers)) {
        const RoomOffer& offer = offers[*best];
        const auto* const ends = std::get_if<RoomByEnds>(&offer);
        const auto* const free = std::get_if<FreeRoom>(&offer);
        if (!ends)
            chosen = Choice { cells[*best], free ? free->tasks : 1 };
        else if (!m_ends || ends->wait < m_ends->second)
            m_ends.emplace(cells[*best], ends->wait);
    }
    if (!chosen && m_ends && m_isLastRound && acceptsEnds)
        chosen = Choice { m_ends->first, 1 };
    if (!chosen)
        return std::nullopt;
    m_asked.clear();
    m_ends.reset();
    m_pause = {};
    m_skippedUntil[chosen->cell] = now + pauseOfReceiver;
    return chosen;
}

} // namespace Policy
