// A scan of form and nesting depth that precedes the parsing of CBOR: the library parses nested items recursively.
#include "Common/CborParser.h"

#include "Common/JsonFault.h"
#include "Common/JsonParser.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <optional>

namespace Common {

namespace {

    /// Major types of RFC 8949, section 3.1.
    constexpr unsigned byteText = 2;
    constexpr unsigned utf8Text = 3;
    constexpr unsigned list = 4;
    constexpr unsigned object = 5;
    constexpr unsigned tag = 6;

    struct ItemHead {
        unsigned major = 0;
        uint64_t argument = 0;
    };

    /// Reads an item's first bytes from the front of `bytes`; nothing if they are cut off or not plain.
    std::optional<ItemHead> takeHead(std::string_view& bytes)
    {
        if (bytes.empty())
            return std::nullopt;
        const auto first = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        ItemHead head { static_cast<unsigned>(first) >> 5U, static_cast<unsigned>(first) & 0x1FU };
        if (head.argument < 24)
            return head;
        if (head.argument > 27)
            return std::nullopt;
        const size_t length = size_t { 1 } << (head.argument - 24);
        if (bytes.size() < length)
            return std::nullopt;
        head.argument = 0;
        for (size_t index = 0; index < length; ++index)
            head.argument = (head.argument << 8U) | static_cast<unsigned char>(bytes[index]);
        bytes.remove_prefix(length);
        return head;
    }

} // namespace

bool isPlainCbor(std::string_view bytes)
{
    /// Items that are missing at each level.
    std::array<uint64_t, maximumJsonDepth + 1> missing {};
    missing[0] = 1;
    size_t depth = 0;
    while (true) {
        while (missing.at(depth) == 0) {
            if (depth == 0)
                return bytes.empty();
            --depth;
        }
        --missing.at(depth);
        const auto head = takeHead(bytes);
        if (!head || head->major == tag)
            return false;
        if (head->major == byteText || head->major == utf8Text) {
            if (head->argument > bytes.size())
                return false;
            bytes.remove_prefix(head->argument);
        } else if (head->major == list || head->major == object) {
            // Each item takes a byte at least.
            if (++depth > maximumJsonDepth || head->argument > bytes.size())
                return false;
            missing.at(depth) = head->major == object ? 2 * head->argument : head->argument;
        }
    }
}

nlohmann::json parseCborOrThrow(std::string_view bytes)
{
    if (!isPlainCbor(bytes))
        throw JsonFault("not CBOR, or nested too deeply (" + std::to_string(bytes.size()) + " bytes)");
    nlohmann::json value = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (value.is_discarded())
        throw JsonFault("not CBOR (" + std::to_string(bytes.size()) + " bytes)");
    return value;
}

} // namespace Common
