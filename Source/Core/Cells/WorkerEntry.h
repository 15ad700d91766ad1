// A worker as the platform lists it.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cells {

struct WorkerEntry {
    Common::WorkerId id;
    /// "IP:port"
    std::string address;
    Common::ServiceName service;
    Common::DomainId domain;
    /// Empty: unknown.
    Common::RackId rack;
    /// Labels that steps may require; the rack is one of them.
    std::vector<std::string> labels;
    Common::Resources capacity;
    /// The worker shuts down soon and gets no new runs.
    bool draining = false;
    /// Minimum time for which a draining worker keeps running.
    Common::Duration remaining {};
    /// Wall clock of the worker's start, in milliseconds; 0: unknown. Changes when the worker reboots under the same
    /// id.
    int64_t startedAtMilliseconds = 0;

    bool operator==(const WorkerEntry&) const = default;
};

} // namespace Cells
