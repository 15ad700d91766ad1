// The workers that this daemon owns, as other services see them.
#pragma once

#include "Common/Ids.h"
#include "Scheduler/OwnedWorker.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Scheduler {

class WorkerFleet {
public:
    /// What happened to a worker. `Owned` comes after adoption; `Reported` after each later sync;
    /// `Lost` when authority ended (taken over, lapsed or handed over).
    enum class Change {
        Owned,
        Reported,
        Lost,
    };
    using Listener = std::function<void(Change, const OwnedWorker&)>;

    virtual ~WorkerFleet() = default;

    /// The worker if this daemon holds authority over it at this moment, counted from when the last sync was sent.
    virtual std::optional<OwnedWorker> ownedWorker(const Common::WorkerId&) const = 0;
    virtual std::vector<Common::WorkerId> owned() const = 0;
    /// Address of any worker known from the host list, owned or not.
    virtual std::optional<std::string> addressOf(const Common::WorkerId&) const = 0;
    /// Which daemon should own a worker now, by the assignment that all daemons of the domain compute alike.
    virtual std::optional<Common::DaemonId> assignedOwner(const Common::WorkerId&) const = 0;
    /// Ended tasks to acknowledge with the next sync.
    virtual void acknowledge(const Common::WorkerId&, const std::vector<Common::TaskId>&) = 0;
    /// Syncs now instead of at the next interval (after a start or a stop, say). Bounded to a few a second a worker.
    virtual void requestSync(const Common::WorkerId&) = 0;
    virtual void onChange(Listener) = 0;
};

} // namespace Scheduler
