// The objects that every service of the daemon is constructed with.
#pragma once

namespace Common {
class Metrics;
class Timeline;
}

namespace Scheduler {

class Runtime;

/// The referenced objects outlive all services.
struct ServiceContext {
    Runtime& runtime;
    Common::Timeline& timeline;
    Common::Metrics& metrics;
};

} // namespace Scheduler
