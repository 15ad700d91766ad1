// A fault is logged when it appears and when its reason changes, and memory is bounded.
#include "Common/FaultLog.h"

#include <doctest/doctest.h>

using Common::FaultLog;

TEST_CASE("a fault that stays is logged once")
{
    FaultLog log;
    CHECK(log.report("a", "too large"));
    CHECK_FALSE(log.report("a", "too large"));
    CHECK(log.report("b", "too large"));
    CHECK(log.report("a", "too deep"));
    CHECK(log.size() == 2);
}

TEST_CASE("a fault that comes back is logged again")
{
    FaultLog log;
    log.report("a", "x");
    log.report("b", "x");
    log.resolve("a");
    CHECK(log.report("a", "x"));
    log.keepOnly({ "a" });
    CHECK_FALSE(log.report("a", "x"));
    CHECK(log.report("b", "x"));
}

TEST_CASE("faults of a great many keys take bounded memory")
{
    FaultLog log;
    for (size_t key = 0; key < 3 * FaultLog::maximumKeys; ++key)
        log.report(std::to_string(key), "x");
    CHECK(log.size() == FaultLog::maximumKeys);
    CHECK_FALSE(log.report("one more", "x"));
    FaultLog longKeys;
    longKeys.report(std::string(1'000'000, 'k'), "x");
    CHECK_FALSE(longKeys.report(std::string(1'000'000, 'k'), "x"));
    longKeys.resolve(std::string(1'000'000, 'k'));
    CHECK(longKeys.size() == 0);
}
