// Read access to the list of daemons and their liveness.
#pragma once

#include "Common/Ids.h"
#include "Scheduler/PeerInfo.h"

#include <functional>
#include <optional>
#include <vector>

namespace Scheduler {

/// Liveness is an estimate that decides which daemon should own what; safety never depends on it.
class MembershipView {
public:
    virtual ~MembershipView() = default;

    /// This daemon's own entry.
    virtual const PeerInfo& self() const = 0;
    /// Daemons that count as alive, this one included, ordered by id.
    virtual std::vector<PeerInfo> livePeers() const = 0;
    virtual std::optional<PeerInfo> find(const Common::DaemonId&) const = 0;
    /// Registers a listener that is called after each change of the set of live peers or of a peer's draining flag.
    virtual void onChange(std::function<void()>) = 0;
};

} // namespace Scheduler
