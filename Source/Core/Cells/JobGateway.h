// Takes callers' calls about jobs and brings them to the owners of the cells.
#pragma once

#include "Cells/CellId.h"
#include "Cells/CellOwnership.h"
#include "Cells/RecordStore.h"
#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Common/Result.h"
#include "Jobs/JobPhase.h"
#include "Jobs/JobRecord.h"
#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Cells {

/// A job's id may be submitted anywhere, any number of times: the store keeps one place for it.
class JobGateway {
public:
    JobGateway(Scheduler::Runtime&, RecordStore&, Scheduler::PeerPort&, CellOwnership&, const HostSettings&);
    ~JobGateway();

    /// Serves the calls of other hosts.
    void start();

    /// Done: the job is durable. OutcomeUnknown: it may be. Any other failure: it is not and won't be.
    void submit(Jobs::JobRecord, Common::Duration timeout, Common::Callback<Common::Done>);
    /// UnknownJob: there is no such job. Other failures: it can't be told now.
    void phase(const Common::JobId&, Common::Duration timeout, Common::Callback<Jobs::JobPhase>);
    /// Done once the cancellation is durable.
    void cancel(const Common::JobId&, Common::Duration timeout, Common::Callback<Common::Done>);
    /// Accepted jobs of the route for which nothing has started.
    uint32_t pending(const std::string& route) const;

private:
    struct Submission;
    struct Lookup;
    using Location = std::optional<CellId>;

    void serveSubmit(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void servePhase(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void servePart(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void serveCancel(const nlohmann::json&, const Scheduler::PeerPort::Reply&);

    void tryCell(const std::shared_ptr<Submission>&);
    std::optional<CellId> chooseCell(const Submission&) const;
    /// Cells that nobody can take a job for yet, shortly after the fleet started.
    bool cellsComing() const;
    void onSubmitted(const std::shared_ptr<Submission>&, const CellId&, const Common::Result<AcceptOutcome>&);
    CellEngine::Fit fitOf(const Submission&) const;
    void sendSubmission(const CellId&, const Submission&, Common::Callback<AcceptOutcome>);

    /// Finds the cell of a job; nothing inside the result when there is no such job.
    void locate(const Common::JobId&, Common::Callback<Location>);
    void locateInStore(const Common::JobId&, Freshness, Common::Callback<Location>);
    void phaseAt(const CellId&, const std::shared_ptr<Lookup>&);
    void phaseFromStore(const CellId&, const std::shared_ptr<Lookup>&);
    void cancelAt(const CellId&, const Common::JobId&, Common::Duration timeout, Common::Callback<Common::Done>);
    void remember(const Common::JobId&, const CellId&);

    Scheduler::Runtime& m_runtime;
    RecordStore& m_store;
    Scheduler::PeerPort& m_peers;
    CellOwnership& m_cellOwnership;
    const HostSettings& m_settings;
    std::map<Common::JobId, CellId> m_locations;
    /// Demand that was sent to a cell since its load was last heard, in thousandths of a core.
    struct Sent {
        Common::MonotonicTime loadReceivedAt;
        int64_t regular = 0;
        int64_t backfill = 0;
        std::map<std::string, int64_t> serving;
    };
    mutable std::map<CellId, Sent> m_sent;
    Common::MonotonicTime m_startedAt;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
