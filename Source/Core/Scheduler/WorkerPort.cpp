// Classification of failed starts.
#include "Scheduler/WorkerPort.h"

namespace Scheduler {

bool provesNotRun(Common::ErrorCode code)
{
    using Common::ErrorCode;
    return code == ErrorCode::ConnectFailed || code == ErrorCode::StartTooLate || code == ErrorCode::WorkerRebooted
        || code == ErrorCode::WorkerFull;
}

} // namespace Scheduler
