// Holds the operators' configuration of a daemon: accepts changes, and learns revisions from the store and from peers.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Config/ApplyOutcome.h"
#include "Config/ConfigDocument.h"
#include "Config/ConfigServiceOptions.h"
#include "Config/ConfigStatus.h"
#include "Scheduler/ConfigView.h"
#include "Scheduler/ServiceContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Scheduler {
class MembershipView;
class PeerPort;
class StorePort;
}

namespace Config {

/// Serves "config.get" to peers. The live daemon with the lowest id in each domain watches the store; the other daemons
/// of the domain fetch new revisions from a peer.
/// Invariant: the revision in force only grows, and its document passed the whole check in this process.
class ConfigService final : public Scheduler::ConfigView {
public:
    using RevisionHook = std::function<void(Common::ConfigRevision)>;

    /// `onRevision` is called with each revision that comes into force, so that heartbeats publish it.
    ConfigService(const Scheduler::ServiceContext&, Scheduler::StorePort&, Scheduler::PeerPort&,
        Scheduler::MembershipView&, ConfigServiceOptions, RevisionHook onRevision);
    ~ConfigService() override;

    void start();
    void stop();

    std::shared_ptr<const Scheduler::ClusterConfig> current() const override;
    void onChange(std::function<void()>) override;

    /// The document in force; empty if there is none.
    std::optional<ConfigDocument> document() const;
    /// Checks and writes a change that was edited from revision `base` (zero: there was none). The callback is called
    /// once.
    void apply(Common::ConfigRevision base, Common::ChangeId, std::string author, std::string text, ApplyCallback);
    /// The newest `limit` accepted documents in the store, newest first. Fails with the store's failure.
    void history(size_t limit, Common::Callback<std::vector<ConfigDocument>>);
    ConfigStatus status() const;

private:
    struct Impl;
    /// Callbacks of calls under way hold it weakly.
    std::shared_ptr<Impl> m_impl;
};

} // namespace Config
