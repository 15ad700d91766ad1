// Interface to the workers that this daemon owns, for the daemon's other services.
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
    /// What changed about a worker. `Owned`: ownership began and the worker's tasks are adopted. `Reported`: a later
    /// sync returned a report. `Lost`: ownership ended, because it was taken over, expired or was handed over.
    enum class Change {
        Owned,
        Reported,
        Lost,
    };
    using Listener = std::function<void(Change, const OwnedWorker&)>;

    virtual ~WorkerFleet() = default;

    /// The worker if this daemon may start work on it now. The validity is counted from when the last sync was sent.
    virtual std::optional<OwnedWorker> ownedWorker(const Common::WorkerId&) const = 0;
    /// Ids of all owned workers.
    virtual std::vector<Common::WorkerId> owned() const = 0;
    /// "IP:port" of any worker on the host list, owned or not.
    virtual std::optional<std::string> addressOf(const Common::WorkerId&) const = 0;
    /// The daemon that should own the worker now, by the assignment that all daemons of the domain compute identically.
    virtual std::optional<Common::DaemonId> assignedOwner(const Common::WorkerId&) const = 0;
    /// Acknowledges ended tasks to the worker with the next sync.
    virtual void acknowledge(const Common::WorkerId&, const std::vector<Common::TaskId>&) = 0;
    /// Syncs early instead of at the next interval, for example after a start or a stop. Limited to a few syncs a
    /// second per worker.
    virtual void requestSync(const Common::WorkerId&) = 0;
    virtual void onChange(Listener) = 0;
};

} // namespace Scheduler
