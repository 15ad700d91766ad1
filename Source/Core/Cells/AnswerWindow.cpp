// Timers of the answer window.
#include "Cells/AnswerWindow.h"

namespace Cells {

namespace {

    /// A timer that is set in one turn of the event loop fires in a later turn, after the sockets were read.
    constexpr Common::Duration nextTurn = std::chrono::milliseconds(1);

} // namespace

AnswerWindow::AnswerWindow(Scheduler::Runtime& runtime, Common::Duration timeout)
{
    const auto read = [this] { m_wasRead = true; };
    // The request leaves in the first turn in which its connection is found established, the answer arrives later.
    const auto secondTurn = [this, &runtime, timeout, read] {
        runtime.schedule(timeout / 4,
            m_lifetime.guard([this, &runtime, read] { runtime.schedule(nextTurn, m_lifetime.guard(read)); }));
    };
    runtime.schedule(timeout / 4,
        m_lifetime.guard([this, &runtime, secondTurn] { runtime.schedule(nextTurn, m_lifetime.guard(secondTurn)); }));
}

} // namespace Cells
