// The kind of work that usage and interference are learned for.
#pragma once

#include "Common/Ids.h"

namespace Policy {

/// A service's requests, or a team's jobs of one profile.
using WorkClass = Common::StrongId<struct WorkClassTag>;

WorkClass classOfService(const Common::ServiceName&);
WorkClass classOfJobs(const Common::TeamName&, const Common::ProfileName&);

} // namespace Policy
