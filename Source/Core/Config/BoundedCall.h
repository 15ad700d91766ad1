// Limits the time of a call through a port, even if the port never answers.
#pragma once

#include "Common/Result.h"
#include "Scheduler/Runtime.h"

#include <memory>
#include <utility>

namespace Config {

/// Returns the callback to pass to the port. `callback` is called once: with the port's result, or with Timeout after
/// `timeout`. A result that arrives later is dropped.
template <typename T>
Common::Callback<T> withTimeout(Scheduler::Runtime& runtime, Common::Duration timeout, Common::Callback<T> callback)
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
    state->timer = runtime.schedule(timeout,
        [finish] { finish(Common::Failure { .code = Common::ErrorCode::Timeout, .detail = "no answer in time" }); });
    return [state, finish, &runtime](Common::Result<T> result) {
        runtime.cancel(state->timer);
        finish(std::move(result));
    };
}

} // namespace Config
