// Builds the names of work classes.
#include "Policy/WorkClass.h"

namespace Policy {

WorkClass classOfService(const Common::ServiceName& service) { return WorkClass("service/" + service.value()); }

WorkClass classOfJobs(const Common::TeamName& team, const Common::ProfileName& profile)
{
    return WorkClass("jobs/" + team.value() + "/" + profile.value());
}

} // namespace Policy
