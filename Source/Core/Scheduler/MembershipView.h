// Who is alive, as a service may ask.
#pragma once

#include "Common/Ids.h"
#include "Scheduler/PeerInfo.h"

#include <functional>
#include <optional>
#include <vector>

namespace Scheduler {

/// The daemon's own row included. Liveness is a guess that steers who should own what; safety never rests on it.
class MembershipView {
public:
    virtual ~MembershipView() = default;

    virtual const PeerInfo& self() const = 0;
    /// Daemons heard from lately, this one included, ordered by id.
    virtual std::vector<PeerInfo> livePeers() const = 0;
    virtual std::optional<PeerInfo> find(const Common::DaemonId&) const = 0;
    /// Called after each change of the set of live peers or of a peer's draining flag.
    virtual void onChange(std::function<void()>) = 0;
};

} // namespace Scheduler
