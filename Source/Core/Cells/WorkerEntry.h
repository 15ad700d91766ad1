// A worker as the platform's list has it.
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
    /// Kinds of the worker, the rack among them.
    std::vector<std::string> labels;
    Common::Resources capacity;
    /// It leaves soon and gets no new work.
    bool draining = false;
    /// The least time that a draining worker still runs.
    Common::Duration remaining {};
    /// Wall clock of the worker's start, in milliseconds; 0: unknown. Changes when it starts again under its id.
    int64_t startedAtMilliseconds = 0;

    bool operator==(const WorkerEntry&) const = default;
};

} // namespace Cells
