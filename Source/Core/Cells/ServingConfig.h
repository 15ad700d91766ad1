// The parts of the operator's configuration that job serving uses. ConfigFollower provides it, JobApi looks up routes.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Jobs/JobPolicy.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Cells {

/// A queue of jobs, selected by host name and path prefix.
struct JobRoute {
    Jobs::JobPolicy policy;
    std::string host;
    std::string prefix;
    /// Time limit of a caller's call.
    Common::Duration timeout {};
};

struct UnreadableRoute {
    /// Empty if not even the name could be read.
    std::string name;
    std::string reason;
};

struct ServingConfig {
    /// Increases with each change; -1 when none is known.
    int64_t version = -1;
    std::vector<JobRoute> routes;
    size_t maximumBodyBytes = 0;
    /// Routes that could not be read and are missing in `routes`.
    std::vector<UnreadableRoute> unreadableRoutes;

    /// The route of the host with the longest matching prefix of the path; null when there is none.
    const JobRoute* find(std::string_view host, std::string_view path) const;
};

} // namespace Cells
