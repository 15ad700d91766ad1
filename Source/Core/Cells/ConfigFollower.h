// Keeps this host's configuration up to date, from the store or from other hosts.
#pragma once

#include "Cells/ConfigSource.h"
#include "Cells/HostHeartbeat.h"
#include "Common/Lifetime.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <functional>
#include <memory>
#include <string>

namespace Cells {

/// Invariant: the version in force never goes back.
class ConfigFollower {
public:
    ConfigFollower(Scheduler::Runtime&, ConfigSource&, Scheduler::PeerPort&);

    void start();
    /// Null while none is known.
    const std::shared_ptr<const ServingConfig>& current() const { return m_current; }
    /// Another host may have a newer one.
    void onHeartbeat(const HostHeartbeat&);
    void onChange(std::function<void(const ServingConfig&)> hook) { m_onChange = std::move(hook); }

private:
    void read();
    void watch();
    void learn(const std::string& text, const char* source);

    Scheduler::Runtime& m_runtime;
    ConfigSource& m_source;
    Scheduler::PeerPort& m_peers;
    std::shared_ptr<const ServingConfig> m_current;
    /// Passed on to hosts that have an older one.
    std::string m_text;
    Common::StoreRevision m_revision;
    bool m_asking = false;
    Common::Duration m_pause {};
    std::function<void(const ServingConfig&)> m_onChange;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
