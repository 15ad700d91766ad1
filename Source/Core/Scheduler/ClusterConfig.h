// The operators' configuration: the profiles, services and teams of one revision.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/Profile.h"
#include "Scheduler/ServiceConfig.h"
#include "Scheduler/TeamConfig.h"

#include <map>

namespace Scheduler {

/// Invariant: every name that is referenced, such as a service's profile and team, is defined.
struct ClusterConfig {
    Common::ConfigRevision revision;
    std::map<Common::ProfileName, Profile> profiles;
    std::map<Common::ServiceName, ServiceConfig> services;
    std::map<Common::TeamName, TeamConfig> teams;
};

} // namespace Scheduler
