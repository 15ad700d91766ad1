// Fencing tokens of owners and of workers' lives.
#include "Cells/TokenRange.h"

#include <doctest/doctest.h>

using Cells::FencingToken;
using Cells::TokenRange;

namespace {

constexpr FencingToken none {};

} // namespace

TEST_CASE("each token of an owner is higher than those before it and not above the one of its record")
{
    const FencingToken last = TokenRange::lastAfter(none);
    TokenRange tokens(last);
    FencingToken before;
    for (size_t count = 0; count < 1000; ++count) {
        const FencingToken token = tokens.take();
        CHECK(token > before);
        CHECK(token <= last);
        before = token;
    }
}

TEST_CASE("the tokens of a successor are higher than all of the owner before it")
{
    FencingToken last = none;
    for (size_t owners = 0; owners < 100; ++owners) {
        const FencingToken next = TokenRange::lastAfter(last);
        CHECK(TokenRange(next).take() > last);
        last = next;
    }
}

// Guards against a rolling release, or its reversal, after which workers refuse the orders of a cell's owner.
TEST_CASE("owners of an earlier release, which take the number after the recorded one, have higher tokens, and so do "
          "their successors")
{
    for (const uint64_t recorded : { UINT64_C(1), UINT64_C(3), UINT64_C(500) }) {
        const FencingToken last = TokenRange::lastAfter(FencingToken { recorded });
        CHECK(TokenRange(last).take().value > recorded);
        const FencingToken earlierRelease { last.value + 1 };
        CHECK(TokenRange(TokenRange::lastAfter(earlierRelease)).take() > earlierRelease);
    }
}

TEST_CASE("an owner that has used up its tokens keeps the last one")
{
    // The record may name any last token.
    const FencingToken first = TokenRange(TokenRange::lastAfter(none)).take();
    const FencingToken last { first.value + 1000 };
    TokenRange tokens(last);
    FencingToken token;
    for (uint64_t count = 0; count <= 1000; ++count)
        token = tokens.take();
    CHECK(token == last);
    CHECK(tokens.take() == last);
    CHECK(TokenRange(TokenRange::lastAfter(last)).take() > last);
}

TEST_CASE("an owner has tokens for years of orders beside acknowledgements")
{
    constexpr uint64_t secondsInYear = 365 * 24 * 3600;
    constexpr uint64_t tokensEachSecond = 20;
    const FencingToken last = TokenRange::lastAfter(none);
    CHECK(last.value - TokenRange(last).take().value > 5 * secondsInYear * tokensEachSecond);
}
