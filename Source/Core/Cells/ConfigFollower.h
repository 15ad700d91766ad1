// Keeps this host's configuration up to date from the store and from hosts with a newer version.
#pragma once

#include "Cells/ConfigSource.h"
#include "Common/FaultLog.h"
#include "Common/Lifetime.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Cells {

/// Invariant: the version in force never decreases.
class ConfigFollower {
public:
    ConfigFollower(Scheduler::Runtime&, ConfigSource&, Scheduler::PeerPort&);

    void start();
    /// Null until a configuration is known.
    const std::shared_ptr<const ServingConfig>& current() const { return m_current; }
    /// Fetches the configuration of the host at `address`, for calls, if its version is newer.
    void onVersionOf(const std::string& address, int64_t version);
    void onChange(std::function<void(const ServingConfig&)> hook) { m_onChange = std::move(hook); }

private:
    void read();
    void watch();
    void applyIfNewer(const std::string& text, const char* source);
    /// Adds the routes in force that the new configuration names but whose new form can't be read.
    void keepUnreadableRoutes(ServingConfig&) const;

    Scheduler::Runtime& m_runtime;
    ConfigSource& m_source;
    Scheduler::PeerPort& m_peers;
    std::shared_ptr<const ServingConfig> m_current;
    /// Text of the version in force, sent to hosts that ask for it; empty until one is known.
    std::string m_currentText;
    Common::StoreRevision m_revision;
    bool m_fetchInProgress = false;
    Common::Duration m_retryPause {};
    /// Configurations that can't be read, by source.
    Common::FaultLog m_faults;
    std::function<void(const ServingConfig&)> m_onChange;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
