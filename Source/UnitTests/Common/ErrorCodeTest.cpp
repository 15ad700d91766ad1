// Public names and HTTP statuses of error codes.
#include "Common/ErrorCode.h"

#include <doctest/doctest.h>

using Common::ErrorCode;

TEST_CASE("every error code converts to its public name and back")
{
    for (int i = 0; i <= static_cast<int>(ErrorCode::Internal); ++i) {
        const auto code = static_cast<ErrorCode>(i);
        CHECK(Common::errorFromName(Common::errorName(code)) == code);
        CHECK(Common::httpStatus(code) >= 400);
    }
    CHECK_FALSE(Common::errorFromName("no-such-error"));
}
