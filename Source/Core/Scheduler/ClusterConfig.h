// The operators' configuration: one document, one revision.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduler/Profile.h"
#include "Scheduler/ServiceConfig.h"
#include "Scheduler/TeamConfig.h"

#include <map>

namespace Scheduler {

/// Invariant: every service's profile and team, and every name used elsewhere, is defined in the document.
struct ClusterConfig {
    Common::ConfigRevision revision;
    std::map<Common::ProfileName, Profile> profiles;
    std::map<Common::ServiceName, ServiceConfig> services;
    std::map<Common::TeamName, TeamConfig> teams;
};

} // namespace Scheduler
