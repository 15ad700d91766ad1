// Timers of the answer window.
#include "Cells/AnswerWindow.h"

namespace Cells {

namespace {

    /// A timer that is set in one turn of the event loop fires in a later turn, after the sockets were read.
    constexpr Common::Duration nextTurn = std::chrono::milliseconds(1);

} // namespace

AnswerWindow::AnswerWindow(Scheduler::Runtime& runtime, Common::Duration timeout)
{
    runtime.schedule(timeout / 2, m_lifetime.guard([this, &runtime] {
        runtime.schedule(nextTurn, m_lifetime.guard([this] { m_wasRead = true; }));
    }));
}

} // namespace Cells
