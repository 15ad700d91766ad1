// Binary form of the datagrams that hosts exchange: frames with a fixed head, so that a receiver skips what it knows
// already without decoding it.
#pragma once

#include "Common/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Cells {

struct GossipFrame {
    enum class Kind : uint8_t {
        /// The host that sent the datagram; the first frame of each.
        Sender = 1,
        HostState = 2,
        /// A host's report that it doesn't hear another one.
        Silence = 3,
        /// Load of a cell, see CellReport.
        CellLoad = 4,
    };

    Kind kind = Kind::Sender;
    /// Stable hash of the id of the host or cell that the frame is about.
    uint64_t key = 0;
    /// Orders frames with the same kind and key: start of the host's process, or token of the cell's owner; then a
    /// number that grows with each change.
    uint64_t epoch = 0;
    uint64_t version = 0;
    std::string_view payload;

    std::string encode() const;
    /// Appends the encoded frame.
    void appendTo(std::string&) const;
};

/// Begins each datagram; no JSON text begins with it.
inline constexpr char gossipFormat = 1;
/// Longest payload of a frame, in bytes.
inline constexpr size_t maximumFramePayload = 16'384;

/// The frames of a datagram; their payloads are parts of `bytes`. ProtocolError unless the first frame, and no other,
/// is about the sender.
Common::Result<std::vector<GossipFrame>> readGossip(std::string_view bytes);

} // namespace Cells
