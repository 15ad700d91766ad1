// The operator's configuration as far as the system serves by it.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"
#include "Jobs/JobPolicy.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Cells {

/// A route is a queue of jobs.
struct JobRoute {
    Jobs::JobPolicy policy;
    std::string host;
    std::string prefix;
    Common::Duration timeout {};
};

struct ServingConfig {
    int64_t version = -1;
    std::vector<JobRoute> routes;
    size_t maximumBodyBytes = 0;

    /// The route with the longest prefix of the path; null when there is none.
    const JobRoute* find(std::string_view host, std::string_view path) const;
};

} // namespace Cells
