// Read access to the configuration in force in this process.
#pragma once

#include <functional>
#include <memory>

namespace Scheduler {

struct ClusterConfig;

class ConfigView {
public:
    virtual ~ConfigView() = default;

    /// Null until a first revision is known; until then work is refused without being run.
    virtual std::shared_ptr<const ClusterConfig> current() const = 0;
    /// Registers a listener that is called after each newer revision has come into force.
    virtual void onChange(std::function<void()>) = 0;
};

} // namespace Scheduler
