// Typed access to JSON: values within bounds are read, all others are refused with a short reason.
#include "Common/JsonField.h"
#include "Common/JsonFault.h"
#include "Common/JsonParser.h"
#include "Common/ShortText.h"

#include "Fakes/OddJson.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Common;
using Json = nlohmann::json;

namespace {

std::string reasonOf(const std::function<void()>& read)
{
    try {
        read();
    } catch (const JsonFault& fault) {
        return fault.what();
    }
    return {};
}

} // namespace

TEST_CASE("numbers at their bounds are read, those beyond are refused")
{
    for (const int64_t number : { INT64_MIN, int64_t { -1 }, int64_t { 0 }, INT64_MAX }) {
        CHECK(JsonField(Json(number)).integer(INT64_MIN, INT64_MAX) == number);
        CHECK(JsonField(Json(number)).integer(number, number) == number);
    }
    for (const char* const text :
        { "9223372036854775808", "18446744073709551615", "1e19", "-1e19", "1e300", "-1e300" }) {
        CAPTURE(text);
        const Json value = Json::parse(text);
        CHECK_THROWS_AS(JsonField(value).integer(INT64_MIN, INT64_MAX), JsonFault);
        CHECK_THROWS_AS(JsonField(value).amount(INT64_MIN, INT64_MAX), JsonFault);
        CHECK(JsonField(value).clampedAmount(-7, 7) == (text[0] == '-' ? -7 : 7));
    }
    CHECK_THROWS_AS(JsonField(Json(11)).integer(0, 10), JsonFault);
    CHECK_THROWS_AS(JsonField(Json(-1)).integer(0, 10), JsonFault);
    CHECK_THROWS_AS(JsonField(Json(-0.5)).amount(0, 10), JsonFault);
    CHECK_THROWS_AS(JsonField(Json(4294967296)).count(), JsonFault);
}

TEST_CASE("a fraction is dropped from an amount and refused in a whole number")
{
    CHECK(JsonField(Json(10.9)).amount(0, 10) == 10);
    CHECK(JsonField(Json(8.0)).integer(0, 10) == 8);
    CHECK_THROWS_AS(JsonField(Json(8.5)).integer(0, 10), JsonFault);
    CHECK(JsonField(Json(8.5)).number(0, 10) == 8.5);
    CHECK_THROWS_AS(JsonField(Json(10.5)).number(0, 10), JsonFault);
}

TEST_CASE("a port out of range is no address")
{
    for (const char* const text : { "h:1", "10.0.0.1:65535", "[::1]:80" })
        CHECK(JsonField(Json(text)).address() == text);
    for (const char* const text : { "", "h", "h:", ":1", "h:0", "h:65536", "h:99999", "h:-1", "h:+1", "h:1 ", "h:1e3" })
        CHECK_THROWS_AS(JsonField(Json(text)).address(), JsonFault);
}

TEST_CASE("a missing member has its fallback, one of another type is refused")
{
    const Json object { { "a", nullptr } };
    CHECK(JsonField(object)["b"].otherwise(5).integer(0, 9) == 5);
    CHECK(JsonField(object)["b"].listOrEmpty().empty());
    CHECK_THROWS_AS(JsonField(object)["a"].otherwise(5).integer(0, 9), JsonFault);
    CHECK_THROWS_AS(JsonField(object)["b"].integer(0, 9), JsonFault);
    CHECK_THROWS_AS(JsonField(object)["a"]["c"].text(), JsonFault);
    CHECK_THROWS_AS(JsonField(Json::array()).element(0).text(), JsonFault);
}

TEST_CASE("a reason names the field, its value and what was expected, and is short")
{
    const Json object { { "cpu", -5 }, { "name", std::string(100'000, '\n') }, { "list", Json(100'000, 7) } };
    CHECK(
        reasonOf([&] { JsonField(object)["cpu"].integer(0, 9); }) == "cpu is -5, expected a whole number from 0 to 9");
    CHECK(reasonOf([&] { JsonField(object)["name"].name(); }).size() < 150);
    CHECK(reasonOf([&] { JsonField(object)["name"].name(); }).find('\n') == std::string::npos);
    CHECK(reasonOf([&] { JsonField(object)["list"].text(); }) == "list is a list of 100000, expected a text");
    CHECK(reasonOf([&] { JsonField(object)["none"].text(); }).find("missing") != std::string::npos);
}

TEST_CASE("text that is nested too deeply is refused before it is parsed")
{
    CHECK(parseJson(Fakes::nestedLists(maximumJsonDepth)));
    CHECK(parseJson(Fakes::nestedObjects(maximumJsonDepth)));
    CHECK_FALSE(parseJson(Fakes::nestedLists(maximumJsonDepth + 1)));
    CHECK_FALSE(parseJson(Fakes::nestedObjects(maximumJsonDepth + 1)));
    CHECK_FALSE(parseJson(std::string(3'000'000, '[')));
    const std::string brackets(1000, '[');
    CHECK(*parseJson("\"\\\"" + brackets + "\\\\\"") == "\"" + brackets + "\\");
    CHECK(parseJson("[" + std::string(1000, ' ') + "[],[],[]]"));
}

TEST_CASE("text that isn't JSON is refused with a reason that doesn't repeat it")
{
    for (const std::string& text : { std::string(), std::string("{"), std::string("\xff\xfe"), std::string("1e400"),
             "\"" + std::string(1'000'000, 'x') }) {
        const auto parsed = parseJson(text);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.reason().code == ErrorCode::ProtocolError);
        CHECK(parsed.reason().detail.size() < 100);
    }
}

TEST_CASE("a short text has no bytes that end a line")
{
    CHECK(shortText("a b") == "a b");
    CHECK(shortText("a\nb\x01\xff") == "a?b??");
    CHECK(shortText(std::string(100, 'x'), 5) == "xxxxx...");
}
