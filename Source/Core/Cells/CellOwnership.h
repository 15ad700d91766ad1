// Which cells this host owns, and who owns the others.
#pragma once

#include "Cells/CellEngine.h"
#include "Cells/CellLayout.h"
#include "Cells/CellSettings.h"
#include "Cells/HeartbeatPort.h"
#include "Cells/HostDirectory.h"
#include "Cells/HostSettings.h"
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

/// Hosts tell each other by beats what they own. Beats only steer who should try to own what; the cell's record in the
/// store decides, and its token keeps a replaced owner from doing harm.
class CellOwnership {
public:
    struct Ports {
        Scheduler::Runtime& runtime;
        RecordStore& store;
        WorkerList& workers;
        WorkerOrders& orders;
        HeartbeatPort& heartbeats;
    };
    /// The owner of a cell as last heard of.
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
    /// Hands all cells over; takes none any more.
    void drain(const std::function<void()>& done);

    const CellLayout& layout() const { return m_layout; }
    /// The cell's engine, when this host owns it.
    CellEngine* engine(const CellId&);
    const std::map<CellId, std::unique_ptr<CellEngine>>& engines() const { return m_engines; }
    /// The owner of a cell of another host, if it is alive.
    const Owner* liveOwner(const CellId&) const;
    /// The region of a failure domain, as far as a live host there has told it.
    Common::RegionId regionOf(const Common::DomainId&) const;
    /// Cells with a live owner.
    size_t servedCells() const;
    HostDirectory& hosts() { return m_directory; }
    void setConfigVersion(int64_t version) { m_configVersion = version; }
    /// Whether the store answered this host lately.
    void setStoreAvailable(bool answers) { m_storeAvailable = answers; }
    using PartMessage = CellEngine::PartMessage;
    /// Carries news to the owner of a cell; Done when it was heard. Set by whoever can call other hosts.
    using Messenger = std::function<void(
        const std::string& address, const CellId&, const PartMessage&, Common::Callback<Common::Done>)>;
    void setMessenger(Messenger messenger) { m_messenger = std::move(messenger); }
    /// Called for each beat of another host.
    void onHostHeartbeat(std::function<void(const HostHeartbeat&)> hook) { m_onHeartbeat = std::move(hook); }

private:
    struct Claim;
    /// An owner that this host knows from the cell's record only.
    struct UnconfirmedOwner {
        FencingToken token;
        Common::MonotonicTime since;
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
    void recordOwnerlessCells();
    bool ownerless(const CellId&) const;
    void rankOwners();
    void considerClaim(const CellId&);
    void considerHandOver(const CellId&);
    void claim(const CellId&);
    void onRecord(const CellId&, const std::optional<Scheduler::StoreValue>&);
    void writeClaim(const CellId&, const CellRecord&, Common::StoreRevision expected, bool formerOwnerStopped);
    void readCell(const CellId&, const CellRecord&, Common::StoreRevision fence, bool formerOwnerStopped);
    bool mayOwnerBeAlive(const CellId&, const CellRecord&);
    bool isProvablyStopped(const CellRecord&) const;
    void own(const CellId&, CellEngine::RecoveredCell);
    void endClaim(const CellId&, const char* reason);
    CellEngine::PeerCells peerCells();
    std::map<CellId, size_t> taskSlots(const CellId& self, const Common::ServiceName&, const Jobs::StepSpec&) const;
    void notifyOwner(const CellId&, const PartMessage&);
    void requestTransferCheck(const CellId&, const Common::JobId&);
    void releaseCell(const CellId&, std::function<void()> done);
    void forgetEngine(const CellId&);
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
    /// For each cell the hosts that should own it, the best first; as of the last tick.
    std::map<CellId, std::vector<Common::DaemonId>> m_ranks;
    /// Who owned our cells before, while that process may still live.
    std::map<CellId, CellRecord> m_formerOwners;
    /// Since when a cell has had no owner, and since when another host has been the first choice for one of ours.
    std::map<CellId, Common::MonotonicTime> m_ownerlessSince;
    std::map<CellId, Common::MonotonicTime> m_betterOwnerSince;
    /// What the owners of other cells have learned, for cells that are taken over.
    std::map<CellId, std::vector<Policy::TailLatencyModel::PressureEstimate>> m_pressureEstimates;
    std::map<CellId, UnconfirmedOwner> m_unconfirmedOwners;
    std::set<CellId> m_releasing;
    std::map<CellId, Common::MonotonicTime> m_released;
    std::map<Common::WorkerId, WorkerEntry> m_listed;
    Common::StoreRevision m_listRevision;
    size_t m_workersAtLayout = 0;
    uint64_t m_heartbeatCount = 0;
    /// Where the next beat goes on naming live hosts.
    size_t m_nextNamed = 0;
    bool m_watchingList = false;
    bool m_listKnown = false;
    Common::MonotonicTime m_startedAt;
    Common::MonotonicTime m_lastTick;
    /// When the host last woke after it had stood still.
    std::optional<Common::MonotonicTime> m_wokeAt;
    int64_t m_startedWall = 0;
    int64_t m_configVersion = -1;
    bool m_storeAvailable = false;
    bool m_draining = false;
    std::function<void(const HostHeartbeat&)> m_onHeartbeat;
    Messenger m_messenger;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
