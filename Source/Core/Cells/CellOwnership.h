// Claims, holds and hands over this host's cells, and tracks the owners of all others. JobGateway finds engines and
// owners here.
#pragma once

#include "Cells/CellEngine.h"
#include "Cells/CellLayout.h"
#include "Cells/CellSettings.h"
#include "Cells/HeartbeatPort.h"
#include "Cells/HostDirectory.h"
#include "Cells/HostSettings.h"
#include "Cells/LagMonitor.h"
#include "Cells/RecordStore.h"
#include "Cells/WorkerList.h"
#include "Cells/WorkerOrders.h"
#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Scheduler/Runtime.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Cells {

/// Hosts announce the cells they own in heartbeats. Heartbeats only determine which host tries to claim a cell; the
/// cell's record in the store decides, and its fencing token makes workers and store reject a replaced owner.
class CellOwnership {
public:
    struct Ports {
        Scheduler::Runtime& runtime;
        RecordStore& store;
        WorkerList& workers;
        WorkerOrders& orders;
        HeartbeatPort& heartbeats;
    };
    /// The owner of a cell according to the last heartbeat or the cell's record.
    struct Owner {
        Common::DaemonId id;
        std::string address;
        FencingToken token;
        CellLoad load;
        Common::MonotonicTime lastHeartbeatAt;
        bool released = false;
    };

    CellOwnership(Ports, const HostSettings&, const CellSettings&);
    ~CellOwnership();

    void start();
    /// Releases all cells and claims no more. `done` is called when these releases have ended; releases already in
    /// progress aren't awaited.
    void drain(const std::function<void()>& done);

    const CellLayout& layout() const { return m_layout; }
    /// The cell's engine; null unless this host owns the cell.
    CellEngine* engine(const CellId&);
    const std::map<CellId, std::unique_ptr<CellEngine>>& engines() const { return m_engines; }
    /// The other host that owns the cell; null when none is known to be alive or it has released the cell.
    const Owner* liveOwner(const CellId&) const;
    /// The region of a failure domain; empty when no live host of the domain is known.
    Common::RegionId regionOf(const Common::DomainId&) const;
    /// Number of cells with a live owner, this host included.
    size_t servedCells() const;
    HostDirectory& hosts() { return m_directory; }
    void setConfigVersion(int64_t version) { m_configVersion = version; }
    /// Whether the store answered this host's last direct call; sent in heartbeats.
    void setStoreAvailable(bool answers) { m_storeAvailable = answers; }
    using PartMessage = CellEngine::PartMessage;
    /// Sends a message to the owner of a cell at `address`; Done when the owner has handled it. JobGateway sets it.
    using Messenger = std::function<void(
        const std::string& address, const CellId&, const PartMessage&, Common::Callback<Common::Done>)>;
    void setMessenger(Messenger messenger) { m_messenger = std::move(messenger); }
    /// Whether this host has the cell in its hands: it owns the cell and may act, or its claim is written.
    bool holds(const CellId&) const;
    /// What the process at an owner's address says about a cell.
    struct ProbeAnswer {
        /// Host and boot of the process.
        Common::DaemonId process;
        /// See holds().
        bool holdsCell = false;
    };
    /// Asks the process at `address` whether it holds the cell. JobGateway sets it.
    using OwnerProbe = std::function<void(
        const std::string& address, const CellId&, Common::Duration timeout, Common::Callback<ProbeAnswer>)>;
    void setOwnerProbe(OwnerProbe probe) { m_ownerProbe = std::move(probe); }
    /// Asks the owner at `address` to release a cell because it is late. JobGateway sets it.
    using ReliefRequest = std::function<void(const std::string& address, const CellId&)>;
    void setReliefRequest(ReliefRequest request) { m_reliefRequest = std::move(request); }
    /// Releases the cell if this host owns it and is late; another host that is in time asks for it.
    void releaseIfLate(const CellId&);
    /// Calls the hook for each readable heartbeat received.
    void onHostHeartbeat(std::function<void(const HostHeartbeat&)> hook) { m_onHeartbeat = std::move(hook); }

private:
    struct Claim;
    /// An owner that this host knows only from the cell's record: no heartbeat of it was received.
    struct UnconfirmedOwner {
        FencingToken token;
        Common::MonotonicTime since;
    };

    /// Probes of a cell's owner in a row that failed while this host was too late to judge.
    struct LateProbes {
        /// Time that the next probe may take.
        Common::Duration timeout {};
        uint32_t connectFailures = 0;
    };

    void readLayout();
    void createLayout();
    void writeLayout(const std::vector<WorkerEntry>&);
    void useLayout(CellLayout);
    void sendHeartbeatsRegularly();
    void sendHeartbeat();
    bool isDiscoveringHosts() const;
    std::vector<std::string> nextHostAddresses();
    void onHeartbeat(std::string_view text);
    void tick();
    void detectStall();
    bool isOwnerless(const CellId&) const;
    void rankOwners();
    std::string rankInputs(const std::vector<const HostHeartbeat*>& live) const;
    void considerClaim(const CellId&);
    void considerHandOver(const CellId&);
    void considerRelief(const CellId&);
    Common::Duration claimDelay(const CellId&) const;
    bool isLate() const;
    void claim(const CellId&);
    void onRecord(const CellId&, const std::optional<Scheduler::StoreValue>&);
    void writeClaim(const CellId&, const CellRecord&, Common::StoreRevision expected, bool formerOwnerStopped);
    void readCell(const CellId&, const CellRecord&, Common::StoreRevision fence, bool formerOwnerStopped);
    bool mayOwnerBeAlive(const CellId&, const CellRecord&);
    void probeOwner(const CellId&, const CellRecord&, Common::StoreRevision);
    void onProbed(const CellId&, const CellRecord&, Common::StoreRevision, const Common::Result<ProbeAnswer>&,
        bool wasRead, Common::MonotonicTime askedAt);
    void replaceOwner(const CellId&, const CellRecord&, Common::StoreRevision, bool formerOwnerStopped);
    bool isProofOfDeath(
        const CellId&, const CellRecord&, const Common::Failure&, bool wasRead, Common::MonotonicTime askedAt);
    bool wasLateSince(Common::MonotonicTime) const;
    bool isProvablyStopped(const CellRecord&) const;
    void takeOwnership(const CellId&, CellEngine::RecoveredCell);
    void endClaim(const CellId&, const char* reason);
    CellEngine::PeerCells peerCells();
    ServiceRooms serviceRooms(const CellId& self) const;
    std::map<CellId, size_t> taskSlots(
        const CellId& self, const Common::ServiceName&, const Jobs::StepSpec&, CellLoad::RoomKind) const;
    void notifyOwner(const CellId&, const PartMessage&, const std::function<void()>& handled = {});
    void requestTransferCheck(const CellId&, const Common::JobId&);
    void releaseCell(const CellId&, std::function<void()> done);
    void removeEngine(const CellId&);
    void listWorkers();
    void watchWorkers();
    void onWorkers(const WorkerChanges&);
    void listWorker(const WorkerEntry&);

    Ports m_ports;
    const HostSettings& m_settings;
    const CellSettings& m_cellSettings;
    HostDirectory m_directory;
    CellLayout m_layout;
    std::map<CellId, Owner> m_owners;
    std::map<CellId, std::unique_ptr<CellEngine>> m_engines;
    std::map<CellId, Claim> m_claims;
    /// For each cell the hosts that may own it, the preferred first.
    std::map<CellId, std::vector<Common::DaemonId>> m_ranks;
    /// What the ranks were computed from.
    std::string m_rankInputs;
    /// Previous owners of this host's cells, until they are known to have stopped.
    std::map<CellId, CellRecord> m_formerOwners;
    /// Since when a cell has had no owner, and since when another host has been preferred for a cell of this host.
    std::map<CellId, Common::MonotonicTime> m_ownerlessSince;
    std::map<CellId, Common::MonotonicTime> m_betterOwnerSince;
    /// Since when this host has been the preferred owner of a cell whose owner is late.
    std::map<CellId, Common::MonotonicTime> m_lateOwnerSince;
    /// Pressure estimates of other cells, passed to cells that this host takes over.
    std::map<CellId, std::vector<Policy::TailLatencyModel::PressureEstimate>> m_pressureEstimates;
    std::map<CellId, UnconfirmedOwner> m_unconfirmedOwners;
    std::map<CellId, LateProbes> m_lateProbes;
    std::set<CellId> m_releasing;
    std::map<CellId, Common::MonotonicTime> m_releasedAt;
    std::map<Common::WorkerId, WorkerEntry> m_listedWorkers;
    Common::StoreRevision m_listRevision;
    size_t m_workersAtLayout = 0;
    uint64_t m_heartbeatCount = 0;
    /// Index of the live host whose address the next heartbeat lists first.
    size_t m_nextAddressIndex = 0;
    bool m_watchingList = false;
    bool m_listKnown = false;
    Common::MonotonicTime m_startedAt;
    Common::MonotonicTime m_lastTick;
    LagMonitor m_lag;
    bool m_wasLate = false;
    /// When a tick was last so late that this process may have read answers after their timeouts.
    Common::MonotonicTime m_lateAt;
    /// When this process last resumed after a stall; empty when it never stalled.
    std::optional<Common::MonotonicTime> m_resumedAt;
    int64_t m_startedAtMilliseconds = 0;
    int64_t m_configVersion = -1;
    bool m_storeAvailable = false;
    bool m_draining = false;
    std::function<void(const HostHeartbeat&)> m_onHeartbeat;
    Messenger m_messenger;
    OwnerProbe m_ownerProbe;
    ReliefRequest m_reliefRequest;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
