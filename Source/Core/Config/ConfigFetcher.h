// Fetches newer documents from peers that have them in force. ConfigService calls it at each poll of the peers.
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

/// Prefers peers in its own domain, so that a document crosses a link once per domain and not once per daemon.
/// Invariant: at most one call is under way.
class ConfigFetcher final : public std::enable_shared_from_this<ConfigFetcher> {
public:
    using DocumentHandler = std::function<void(const ConfigDocument&)>;

    ConfigFetcher(Scheduler::Runtime&, Scheduler::PeerPort&, const ConfigServiceOptions&, DocumentHandler);

    /// Asks one of the live peers that have a revision above `known`, unless a call is under way. With
    /// `mayAskOtherDomains` it asks a peer of another domain without waiting for its own domain first.
    void fetchIfNewer(const Scheduler::PeerInfo& self, const std::vector<Scheduler::PeerInfo>& peers,
        Common::ConfigRevision known, bool mayAskOtherDomains);

private:
    std::optional<Scheduler::PeerInfo> choosePeer(const Scheduler::PeerInfo& self,
        const std::vector<Scheduler::PeerInfo>& peers, Common::ConfigRevision known, bool mayAskOtherDomains);
    void fetch(const Scheduler::PeerInfo&, Common::ConfigRevision known);

    Scheduler::Runtime& m_runtime;
    Scheduler::PeerPort& m_peers;
    ConfigServiceOptions m_options;
    DocumentHandler m_onDocument;
    bool m_fetching = false;
    /// Since when only other domains have a newer revision; empty if none has, or the own domain has one too.
    std::optional<Common::MonotonicTime> m_onlyOtherDomainsSince;
};

} // namespace Config
