// Runs an event loop until a condition holds.
#pragma once

#include "Http/EventLoop.h"

#include <asio/io_context.hpp>

#include <functional>

namespace Fakes {

/// Handles events one at a time until `done` returns true. Returns false if no event is left to wait for.
inline bool runUntil(Http::EventLoop& loop, const std::function<bool()>& done)
{
    loop.context().restart();
    while (!done()) {
        if (loop.context().run_one() == 0)
            return false;
    }
    return true;
}

} // namespace Fakes
