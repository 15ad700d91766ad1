// A cell accepts a service only when all its tasks fit and a reserve is left.
#include "Policy/ServiceFit.h"

#include <doctest/doctest.h>

using namespace Policy;

TEST_CASE("a service fits by its task slots, not by the sum of free capacity")
{
    CHECK(serviceFits({ 64'000, 64'000 }, 128'000, 0, { 8, 13'000, 0 }));
    CHECK_FALSE(serviceFits({ 12'000, 12'000, 12'000, 12'000 }, 128'000, 0, { 2, 13'000, 0 }));
    CHECK_FALSE(serviceFits({ 64'000, 64'000 }, 128'000, 0, { 3, 13'000, 1 }));
    CHECK_FALSE(serviceFits({ 64'000, 64'000 }, 128'000, 60'000, { 8, 13'000, 0 }));
    CHECK_FALSE(serviceFits({ 30'000 }, 600'000, 0, { 1, 20'000, 0 }));
}
