// Forwards job calls of callers to the owners of cells, and serves such calls of other hosts for this host's cells.
// The entry process's JobApi calls it.
#pragma once

#include "Cells/CellId.h"
#include "Cells/CellOwnership.h"
#include "Cells/PendingCancellations.h"
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

/// A job id may be submitted at any host and any number of times: its location record in the store exists once, so only
/// one cell accepts the job.
class JobGateway {
public:
    JobGateway(Scheduler::Runtime&, RecordStore&, Scheduler::PeerPort&, CellOwnership&, const HostSettings&);
    ~JobGateway();

    /// Registers the handlers for calls of other hosts.
    void start();

    /// Done: the job is durable. OutcomeUnknown: it may be durable. Any other failure: it isn't and won't be.
    void submit(Jobs::JobRecord, Common::Duration timeout, Common::Callback<Common::Done>);
    /// UnknownJob: there is no such job, or its record has expired. Other failures: the phase can't be determined now.
    void phase(const Common::JobId&, Common::Duration timeout, Common::Callback<Jobs::JobPhase>);
    /// Done once the cancellation is durable and nothing of the job runs any more. OutcomeUnknown: that isn't confirmed
    /// yet; the cancellation goes on. UnknownJob: there is no such job. Overloaded: it was not begun.
    void cancel(const Common::JobId&, Common::Duration timeout, Common::Callback<Common::Done>);
    /// Number of accepted jobs of the route of which no task has started, over all cells with a live owner.
    /// PeerUnavailable: this host doesn't know the loads of cells, and no host that does answers.
    void pending(const std::string& route, Common::Duration timeout, Common::Callback<uint32_t>);
    size_t pendingCancellations() const { return m_pendingCancellations.size(); }

private:
    struct Submission;
    struct Lookup;
    using Location = std::optional<CellId>;

    void serveSubmit(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void serveChoice(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void servePhase(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void servePart(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void serveRoom(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void serveTakeRoom(const nlohmann::json&, const Scheduler::PeerPort::Reply&);
    void serveCancel(const nlohmann::json&, const Scheduler::PeerPort::Reply&);

    void tryCell(const std::shared_ptr<Submission>&);
    void submitTo(const std::optional<CellId>&, const std::shared_ptr<Submission>&);
    bool mayWaitForCells(const Submission&) const;
    void askForCell(const std::shared_ptr<Submission>&, std::vector<std::string> hosts, size_t asked);
    enum class Candidates {
        All,
        /// Cells whose owner has sent no load yet.
        WithoutLoad,
    };
    std::optional<CellId> anyCell(const Submission&, Candidates) const;
    std::optional<CellId> chooseCell(const Submission&, const Common::DomainId& callersDomain) const;
    uint32_t knownPending(const std::string& route) const;
    void askForPending(const std::string& route, Common::Callback<uint32_t>, std::vector<std::string> hosts,
        size_t asked, Common::MonotonicTime deadline);
    /// Whether, shortly after this host started, some cell has no live owner or no capacity yet.
    bool areCellsStarting() const;
    void onSubmitted(const std::shared_ptr<Submission>&, const CellId&, const Common::Result<AcceptOutcome>&);
    CellEngine::Fit fitOf(const Submission&) const;
    void sendSubmission(const CellId&, const std::shared_ptr<Submission>&, Common::Callback<AcceptOutcome>);

    /// Answers that the job may have been accepted, and remembers that for its cancellation.
    void answerUnclear(const Submission&, const char* detail);
    bool mayStillBeAccepted(const Common::JobId&) const;

    /// Finds the cell of a job; the result is nullopt when there is no such job.
    void locate(const Common::JobId&, Common::Callback<Location>);
    void locateInStore(const Common::JobId&, Freshness, Common::Callback<Location>);
    void phaseAt(const CellId&, const std::shared_ptr<Lookup>&);
    void phaseFromStore(const CellId&, const std::shared_ptr<Lookup>&);
    void phaseAtHome(const CellId& wrongCell, const std::shared_ptr<Lookup>&);
    void attemptCancellation(const Common::JobId&, Common::Duration timeout, Common::Callback<Common::Done>);
    void cancelAt(const CellId&, const Common::JobId&, Common::Duration timeout, Common::Callback<Common::Done>);
    void cancelOwned(CellEngine&, const CellId&, const Common::JobId&, Common::Duration timeout,
        const Common::Callback<Common::Done>&);
    void cacheLocation(const Common::JobId&, const CellId&);

    Scheduler::Runtime& m_runtime;
    RecordStore& m_store;
    Scheduler::PeerPort& m_peers;
    CellOwnership& m_cellOwnership;
    const HostSettings& m_settings;
    std::map<Common::JobId, CellId> m_locations;
    /// Submissions of unknown outcome, and when their callers were told so.
    std::map<Common::JobId, Common::MonotonicTime> m_unclearSubmissions;
    /// Demand sent to a cell since its load was last received, in thousandths of a core.
    struct SentDemand {
        Common::MonotonicTime loadReceivedAt;
        int64_t regular = 0;
        int64_t backfill = 0;
        std::map<std::string, int64_t> serving;
    };
    mutable std::map<CellId, SentDemand> m_sentDemand;
    Common::MonotonicTime m_startedAt;
    PendingCancellations m_pendingCancellations;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
