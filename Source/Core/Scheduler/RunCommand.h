// Parameters of WorkerPort::run(), which runs one latency-critical request and waits for the complete answer.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"

#include <string>

namespace Scheduler {

struct RunCommand {
    Common::TaskId task;
    /// The worker refuses with WorkerRebooted if it has another boot.
    Common::WorkerBootId boot;
    /// The worker refuses with StartTooLate once its clock has reached this.
    Common::WorkerTime startBy;
    Common::ServiceName service;
    Common::Resources declared;
    /// The caller's content type and body, passed on unchanged.
    std::string contentType;
    std::string body;
    /// Time limit of the call.
    Common::Duration timeout {};
};

} // namespace Scheduler
