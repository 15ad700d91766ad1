// The configuration in force in this process.
#pragma once

#include <functional>
#include <memory>

namespace Scheduler {

struct ClusterConfig;

class ConfigView {
public:
    virtual ~ConfigView() = default;

    /// Null until a first revision is known; work is refused as not run until then.
    virtual std::shared_ptr<const ClusterConfig> current() const = 0;
    /// Called after each higher revision came into force.
    virtual void onChange(std::function<void()>) = 0;
};

} // namespace Scheduler
