// A row of the platform's lagging list of hosts.
#pragma once

#include "Common/Ids.h"

#include <string>

namespace Scheduler {

enum class HostState {
    Live,
    Leaving,
};

/// A worker's host as the platform lists it.
struct HostEntry {
    Common::WorkerId worker;
    Common::DomainId domain;
    /// "127.0.0.1:7001"
    std::string address;
    HostState state = HostState::Live;
};

} // namespace Scheduler
