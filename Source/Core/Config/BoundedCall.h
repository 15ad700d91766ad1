// Puts a time bound on a call through a port, whatever the port itself does.
#pragma once

#include "Common/Result.h"
#include "Scheduler/Runtime.h"

#include <memory>
#include <utility>

namespace Config {

/// The returned callback goes to the port. `callback` is called once: with the port's result, or with Timeout after
/// `bound`; a result that comes later is dropped.
template <typename T>
Common::Callback<T> bounded(Scheduler::Runtime& runtime, Common::Duration bound, Common::Callback<T> callback)
{
    struct State {
        Common::Callback<T> callback;
        Scheduler::TimerId timer;
    };
    const auto state = std::make_shared<State>(State { std::move(callback), {} });
    const auto finish = [state](Common::Result<T> result) {
        if (!state->callback)
            return;
        const Common::Callback<T> once = std::exchange(state->callback, nullptr);
        once(std::move(result));
    };
    state->timer = runtime.schedule(bound,
        [finish] { finish(Common::Failure { .code = Common::ErrorCode::Timeout, .detail = "no answer in time" }); });
    return [state, finish, &runtime](Common::Result<T> result) {
        runtime.cancel(state->timer);
        finish(std::move(result));
    };
}

} // namespace Config
