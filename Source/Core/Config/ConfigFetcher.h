// Fetches newer documents from peers that have them in force.
#pragma once

#include "Common/Units.h"
#include "Config/ConfigDocument.h"
#include "Config/ConfigServiceOptions.h"
#include "Scheduler/PeerInfo.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Scheduler {
class PeerPort;
class Runtime;
}

namespace Config {

/// Own domain first, so that a document crosses a link once a domain and not once a daemon.
/// Invariant: at most one call is under way.
class ConfigFetcher final : public std::enable_shared_from_this<ConfigFetcher> {
public:
    using Learn = std::function<void(const ConfigDocument&)>;

    ConfigFetcher(Scheduler::Runtime&, Scheduler::PeerPort&, const ConfigServiceOptions&, Learn);

    /// Looks at the live peers and asks one that has a revision above `known`. `mayAskOutside`: needs not wait for its
    /// own domain.
    void fetchIfNewer(const Scheduler::PeerInfo& self, const std::vector<Scheduler::PeerInfo>& peers,
        Common::ConfigRevision known, bool mayAskOutside);

private:
    std::optional<Scheduler::PeerInfo> choose(const Scheduler::PeerInfo& self,
        const std::vector<Scheduler::PeerInfo>& peers, Common::ConfigRevision known, bool mayAskOutside);
    void fetch(const Scheduler::PeerInfo&, Common::ConfigRevision known);

    Scheduler::Runtime& m_runtime;
    Scheduler::PeerPort& m_peers;
    ConfigServiceOptions m_options;
    Learn m_learn;
    bool m_fetching = false;
    /// Since when only other domains have a newer revision.
    std::optional<Common::MonotonicTime> m_onlyOutsideSince;
};

} // namespace Config
