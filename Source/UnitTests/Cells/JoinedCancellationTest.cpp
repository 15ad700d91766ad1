// A caller that joins an attempt under way.
#include "Cells/PendingCancellations.h"

#include "Fakes/VirtualRuntime.h"

#include <doctest/doctest.h>

#include <optional>

using namespace std::chrono_literals;

TEST_CASE("a cancellation that is sent after the job was accepted isn't answered by an attempt that began before")
{
    Fakes::VirtualRuntime clock { 1 };
    bool exists = false;
    size_t sent = 0;
    Cells::PendingCancellations pending { clock,
        [&](const Common::JobId&, Common::Duration, const Common::Callback<Common::Done>& callback) {
            ++sent;
            // The store's answer takes a while; it shows the time of the read.
            clock.schedule(100ms, [callback, found = exists] {
                if (found)
                    callback(Common::Done {});
                else
                    callback(Common::Failure { Common::ErrorCode::UnknownJob, "", std::nullopt });
            });
        } };
    std::optional<Common::Result<Common::Done>> first;
    std::optional<Common::Result<Common::Done>> second;
    pending.add(Common::JobId("a"), 3s, [&](const Common::Result<Common::Done>& done) { first = done; });
    clock.advance(50ms);
    exists = true;
    pending.add(Common::JobId("a"), 3s, [&](const Common::Result<Common::Done>& done) { second = done; });
    clock.advance(3s);
    REQUIRE(second);
    CHECK(second->hasValue());
    CHECK(sent == 2);
}
