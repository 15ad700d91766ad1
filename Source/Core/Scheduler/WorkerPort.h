// Interface for calls to workers.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Scheduler/TaskControl.h"

#include <string>
#include <vector>

namespace Scheduler {

struct RunAnswer;
struct RunCommand;
struct StartCommand;
struct SyncRequest;
struct WorkerReport;

/// `address` is "IP:port". start() and run() fail with ConnectFailed, StartTooLate, WorkerRebooted or WorkerFull if the
/// work certainly did not run. After any other failure it may have run or still be running.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;

    virtual void sync(
        const std::string& address, const SyncRequest&, Common::Duration timeout, Common::Callback<WorkerReport>)
        = 0;
    virtual void start(const std::string& address, const StartCommand&, Common::Callback<Common::Done>) = 0;
    virtual void run(const std::string& address, const RunCommand&, Common::Callback<RunAnswer>) = 0;
    /// Applies the action to all tasks in one call. Unknown tasks are ignored.
    virtual void control(
        const std::string& address, TaskControl, const std::vector<Common::TaskId>&, Common::Callback<Common::Done>)
        = 0;
};

/// True when the failure proves that the work did not run.
bool provesNotRun(Common::ErrorCode);

} // namespace Scheduler
