// Tests the comparison of configuration documents.
#include "Config/DocumentDifference.h"

#include <doctest/doctest.h>

using Config::difference;
using Config::DocumentChange;

TEST_CASE("comments, member order and white space are ignored")
{
    CHECK(difference("{\"a\": 1, \"b\": {\"c\": 2}} // one", "{\"b\":{\"c\":2},\"a\":1}").empty());
    CHECK(difference("{}", "{}").empty());
}

TEST_CASE("changed, added and removed paths are listed in path order")
{
    const auto changes = difference(R"({"profiles": {"a": {"deadline": "1s", "spill": "domain"}, "gone": {}}})",
        R"({"profiles": {"a": {"deadline": "2s", "spill": "domain"}, "new": {"priority": "high"}}})");
    CHECK(changes
        == std::vector<DocumentChange> {
            { "profiles.a.deadline", "\"1s\"", "\"2s\"" },
            { "profiles.gone", "{}", "" },
            { "profiles.new.priority", "", "\"high\"" },
        });
}

TEST_CASE("a value that is replaced by an object is one change")
{
    CHECK(
        difference(R"({"a": 5})", R"({"a": {"b": 1}})") == std::vector<DocumentChange> { { "a", "5", R"({"b":1})" } });
    CHECK(difference("", R"({"a": 1})") == std::vector<DocumentChange> { { "a", "", "1" } });
}
