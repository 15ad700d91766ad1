// Tells the silence of a called host or worker from the lateness of this process.
#pragma once

#include "Common/Lifetime.h"
#include "Common/Units.h"
#include "Scheduler/Runtime.h"

namespace Cells {

/// Starts when a call is sent. If the call times out and `wasRead()` holds, the answer had not arrived by half of the
/// timeout, nor within a quarter of it after the request had left: this process has read its sockets since then.
/// Otherwise the answer may have arrived and been discarded.
class AnswerWindow {
public:
    AnswerWindow(Scheduler::Runtime&, Common::Duration timeout);

    /// Whether the event loop has read its sockets in the second half of the timeout, and at least a quarter of it
    /// earlier.
    bool wasRead() const { return m_wasRead; }

private:
    bool m_wasRead = false;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
