// Id types used by every layer.
#pragma once

#include "Common/StrongId.h"

namespace Common {

using RequestId = StrongId<struct RequestIdTag>;
using JobId = StrongId<struct JobIdTag>;
/// Identifies one task on a worker: a job id or a request id with its attempt ("job-1#3").
using TaskId = StrongId<struct TaskIdTag>;
using WorkerId = StrongId<struct WorkerIdTag>;
/// Identifies one run of a worker process; changes each time the process starts.
using WorkerBootId = StrongId<struct WorkerBootIdTag>;
/// Identifies one run of a daemon: host name and boot, unique across restarts ("catania-1@5f0c").
using DaemonId = StrongId<struct DaemonIdTag>;
using DomainId = StrongId<struct DomainIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using RackId = StrongId<struct RackIdTag>;
using ProfileName = StrongId<struct ProfileNameTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using TeamName = StrongId<struct TeamNameTag>;
using LeaseId = StrongId<struct LeaseIdTag>;
using ChangeId = StrongId<struct ChangeIdTag>;

} // namespace Common
