// Head of a frame: kind (1 byte), length of the payload (2), key, epoch and version (8 each), all big-endian.
#include "Cells/GossipFrame.h"

#include <optional>

namespace Cells {

namespace {

    constexpr size_t headBytes = 1 + 2 + 3 * 8;

    void appendNumber(std::string& bytes, uint64_t number, size_t length)
    {
        for (size_t shift = 8 * length; shift > 0; shift -= 8)
            bytes.push_back(static_cast<char>((number >> (shift - 8)) & 0xFFU));
    }

    uint64_t takeNumber(std::string_view& bytes, size_t length)
    {
        uint64_t number = 0;
        for (size_t index = 0; index < length; ++index)
            number = (number << 8U) | static_cast<unsigned char>(bytes[index]);
        bytes.remove_prefix(length);
        return number;
    }

    std::optional<GossipFrame> takeFrame(std::string_view& bytes)
    {
        if (bytes.size() < headBytes)
            return std::nullopt;
        GossipFrame frame;
        frame.kind = static_cast<GossipFrame::Kind>(takeNumber(bytes, 1));
        const size_t length = takeNumber(bytes, 2);
        frame.key = takeNumber(bytes, 8);
        frame.epoch = takeNumber(bytes, 8);
        frame.version = takeNumber(bytes, 8);
        if (length > bytes.size() || length > maximumFramePayload)
            return std::nullopt;
        frame.payload = bytes.substr(0, length);
        bytes.remove_prefix(length);
        return frame;
    }

    Common::Failure malformed(const char* detail)
    {
        return Common::Failure { Common::ErrorCode::ProtocolError, detail, std::nullopt };
    }

} // namespace

std::string GossipFrame::encode() const
{
    std::string bytes;
    bytes.reserve(headBytes + payload.size());
    appendTo(bytes);
    return bytes;
}

void GossipFrame::appendTo(std::string& bytes) const
{
    appendNumber(bytes, static_cast<uint64_t>(kind), 1);
    appendNumber(bytes, payload.size(), 2);
    appendNumber(bytes, key, 8);
    appendNumber(bytes, epoch, 8);
    appendNumber(bytes, version, 8);
    bytes.append(payload);
}

Common::Result<std::vector<GossipFrame>> readGossip(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != gossipFormat)
        return malformed("another format");
    bytes.remove_prefix(1);
    std::vector<GossipFrame> frames;
    while (!bytes.empty()) {
        const auto frame = takeFrame(bytes);
        if (!frame)
            return malformed("a frame is cut off");
        if ((frame->kind == GossipFrame::Kind::Sender) != frames.empty())
            return malformed("the first frame, and no other, must be about the sender");
        frames.push_back(*frame);
    }
    if (frames.empty())
        return malformed("no frames");
    return frames;
}

} // namespace Cells
