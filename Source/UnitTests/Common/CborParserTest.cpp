// Tests of the checks that precede the parsing of CBOR.
#include "Common/CborParser.h"

#include "Common/JsonFault.h"
#include "Common/JsonParser.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace Common;
using namespace std::string_literals;

TEST_CASE("what the library writes is read back")
{
    const nlohmann::json value = { { "a", { 1, -2, 70000, 5'000'000'000 } }, { "b", 1.5 }, { "c", nullptr },
        { "d", { true, false, "text", std::string(300, 'x') } }, { "e", nlohmann::json::object() } };
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    CHECK(parseCborOrThrow(bytes) == value);
    for (size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(isPlainCbor(std::string_view(bytes).substr(0, length)));
    CHECK_FALSE(isPlainCbor(bytes + "x"));
}

TEST_CASE("CBOR that is nested too deeply, tagged, of indefinite length or longer than it says is refused")
{
    CHECK(isPlainCbor(std::string(maximumJsonDepth, '\x81') + '\x01'));
    CHECK_FALSE(isPlainCbor(std::string(maximumJsonDepth + 1, '\x81') + '\x01'));
    CHECK_FALSE(isPlainCbor(std::string(60'000, '\x81')));
    for (const std::string& odd :
        { ""s, "\x9f\x01\xff"s, "\x7f\x61x\xff"s, "\xc1\x01"s, "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"s,
            "\xbb\x80\x00\x00\x00\x00\x00\x00\x01\x01"s, "\x5a\xff\xff\xff\xff"s, "\x1c"s }) {
        CAPTURE(odd);
        CHECK_FALSE(isPlainCbor(odd));
        CHECK_THROWS_AS(parseCborOrThrow(odd), JsonFault);
    }
}
