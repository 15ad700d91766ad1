// An entry of the platform's host list, which may lag behind the actual state.
#pragma once

#include "Common/Ids.h"

#include <string>

namespace Scheduler {

enum class HostState {
    Live,
    Leaving,
};

/// A worker's host as listed by the platform.
struct HostEntry {
    Common::WorkerId worker;
    Common::DomainId domain;
    /// "127.0.0.1:7001"
    std::string address;
    HostState state = HostState::Live;
};

} // namespace Scheduler
