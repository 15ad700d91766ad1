// Claims, holds and hands over this host's cells, and tracks the owners of all others. JobGateway finds engines and
// owners here.
#pragma once

#include "Cells/CellEngine.h"
#include "Cells/CellLayout.h"
#include "Cells/CellReport.h"
#include "Cells/CellSettings.h"
#include "Cells/HeartbeatPort.h"
#include "Cells/HostDirectory.h"
#include "Cells/HostGossip.h"
#include "Cells/HostSettings.h"
#include "Cells/LagMonitor.h"
#include "Cells/PartMessage.h"
#include "Cells/PartOutbox.h"
#include "Cells/RecordStore.h"
#include "Cells/WorkerList.h"
#include "Cells/WorkerOrders.h"
#include "Common/Ids.h"
#include "Common/Lifetime.h"
#include "Scheduler/Runtime.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cells {

/// Hosts announce the cells they own, see HostGossip. That only determines which host tries to claim a cell; the cell's
/// record in the store decides, and its fencing token makes workers and store reject a replaced owner. Loads of cells
/// are sent to hosts that may own cells only; others ask one of them, see loadHolders().
class CellOwnership {
public:
    struct Ports {
        Scheduler::Runtime& runtime;
        RecordStore& store;
        WorkerList& workers;
        WorkerOrders& orders;
        HeartbeatPort& heartbeats;
    };
    /// The owner of a cell according to its own announcement or the cell's record.
    struct Owner {
        Common::DaemonId id;
        std::string address;
        FencingToken token;
        /// Empty until the first report; then of the last report, which may be that of an earlier owner.
        CellLoad load;
        Common::MonotonicTime loadReceivedAt;
        uint64_t loadVersion = 0;
        /// When the record or the owner itself last confirmed the ownership; empty if only announcements did.
        std::optional<Common::MonotonicTime> confirmedAt;
        /// Since when the owner no longer announces the cell.
        std::optional<Common::MonotonicTime> unannouncedSince;
        /// When the owner's newest state was received, if it says that the owner has released the cell. An owner whose
        /// release couldn't be written may hold the cell on under the same token.
        std::optional<Common::MonotonicTime> releasedAt;
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
    /// What this host believes about the cell's other owner, for log lines.
    std::string describeOwner(const CellId&) const;
    /// The region of a failure domain; empty when no host of the domain is known.
    Common::RegionId regionOf(const Common::DomainId& domain) const { return m_directory.regionOf(domain); }
    /// Whether this host receives the loads of all cells.
    bool receivesLoads() const { return m_mayOwnCells || !m_engines.empty(); }
    /// Addresses for calls of live hosts that receive the loads of all cells, those of this host's domain and region
    /// first; hosts in one place begin with different ones.
    std::vector<std::string> loadHolders() const;
    /// Messages on transferred tasks that owners of other cells haven't handled.
    size_t pendingPartMessages() const { return m_partOutbox.size(); }
    /// Number of cells with a live owner, this host included.
    size_t servedCells() const;
    HostDirectory& hosts() { return m_directory; }
    const GossipCounters& gossipCounters() const { return m_gossip.counters(); }
    void setConfigVersion(int64_t version)
    {
        m_configVersion = version;
        m_gossip.setConfigVersion(version);
    }
    /// Whether the store answered this host's last direct call; announced to other hosts.
    void setStoreAvailable(bool answers) { m_storeAvailable = answers; }
    /// Sends a message to the owner of a cell at `address`; Done when the owner has handled it. JobGateway sets it.
    using Messenger = std::function<void(const std::string& address, const CellId&, const PartMessage&,
        Common::Duration timeout, Common::Callback<Common::Done>)>;
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
    /// Has the host at `address` carry out a poll. JobGateway sets it.
    using PollMessenger
        = std::function<void(const std::string& address, const PollForHost&, Common::Callback<RunReport>)>;
    void setPollMessenger(PollMessenger messenger) { m_pollMessenger = std::move(messenger); }
    /// Carries out a poll for another host. Errors as WorkerOrders::pollRuns.
    void pollForHost(const PollForHost&, Common::Callback<RunReport>);
    /// Asks the owner of a cell at `address` for room. JobGateway sets it.
    using RoomMessenger = std::function<void(
        const std::string& address, const CellId&, const RoomQuestion&, Common::Callback<Policy::RoomOffer>)>;
    void setRoomMessenger(RoomMessenger messenger) { m_roomMessenger = std::move(messenger); }
    /// Offers the owner of a cell at `address` room that is kept for its tasks. JobGateway sets it.
    using PromiseMessenger = std::function<void(
        const std::string& address, const CellId&, const PromisedRoom&, Common::Callback<TakenRoom>)>;
    void setPromiseMessenger(PromiseMessenger messenger) { m_promiseMessenger = std::move(messenger); }
    /// Releases the cell if this host owns it and is late; another host that is in time asks for it.
    void releaseIfLate(const CellId&);
    /// Calls the hook with a host's address and its version of the configuration for each message of the host itself.
    using ConfigVersionHook = std::function<void(const std::string& address, int64_t version)>;
    void onConfigVersion(ConfigVersionHook hook) { m_onConfigVersion = std::move(hook); }

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
    bool isDiscoveringHosts() const;
    HostState ownState() const;
    void announce();
    void sendLoads();
    std::vector<const HostState*> loadReceivers();
    std::string heartbeatForEarlierRelease();
    void onState(const HostState&, bool isNewHost);
    void onContact(const HostGossip::Contact&);
    void onCellFrame(const GossipFrame&);
    void onCellReport(CellReport);
    void onEarlierRelease(const HostHeartbeat&);
    void noteFormerOwners(const HostState&);
    void watchOwners();
    void askFormerOwners();
    std::string heartbeatAddressAt(const std::string& address) const;
    void informSuccessor(const CellId&);
    void confirmOwner(const CellId&, const CellRecord&, Common::MonotonicTime askedAt);
    bool isAnnounced(const CellId&, const Owner&) const;
    void findAnnouncedOwner(const CellId&);
    void tick();
    void detectStall();
    bool isOwnerless(const CellId&) const;
    void rankOwners();
    bool isPreferred(const CellId&) const;
    bool hearsNobody() const;
    bool knowsFewHosts() const;
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
    CellRecord recordOfClaim(const CellRecord& former, bool allOwnersStopped) const;
    bool isProofOfDeath(
        const CellId&, const CellRecord&, const Common::Failure&, bool wasRead, Common::MonotonicTime askedAt);
    bool wasLateSince(Common::MonotonicTime) const;
    bool isProvablyStopped(const CellRecord&) const;
    void takeOwnership(const CellId&, CellEngine::RecoveredCell);
    void endClaim(const CellId&, const char* reason);
    CellEngine::PeerCells peerCells();
    std::string pollThroughHost(
        const CellId&, const PollForHost&, const std::string& address, Common::Callback<RunReport>);
    ServiceRooms serviceRooms(const CellId& self) const;
    std::map<CellId, size_t> taskSlots(
        const CellId& self, const Common::ServiceName&, const Jobs::StepSpec&, CellLoad::RoomKind) const;
    Common::Duration oldestLoad(const CellId& self) const;
    std::vector<WantedRoom> wantedRoom(const CellId& self, const Common::Resources& room) const;
    void offerRoom(const CellId&, const PromisedRoom&, const Common::Callback<TakenRoom>&);
    std::optional<std::string> addressForParts(const CellId&);
    void sendPartMessage(const std::string& address, const CellId&, const PartMessage&, Common::Duration timeout,
        const Common::Callback<Common::Done>&);
    void askForRoom(const CellId&, const RoomQuestion&, const Common::Callback<Policy::RoomOffer>&);
    void requestTransferCheck(const CellId&, const Common::JobId&);
    void checkTransfers();
    void onTransfersRead(const CellId&, const Common::JobId&, const Common::Result<RecordListing>&);
    void releaseCell(const CellId&, std::function<void()> done);
    void removeEngine(const CellId&);
    void listWorkers();
    void watchWorkers();
    void onWorkers(const WorkerChanges&);
    void readEntry(const Common::WorkerId&);
    void listWorker(const WorkerEntry&);

    Ports m_ports;
    const HostSettings& m_settings;
    const CellSettings& m_cellSettings;
    HostDirectory m_directory;
    HostGossip m_gossip;
    CellLayout m_layout;
    std::map<CellId, Owner> m_owners;
    std::map<CellId, std::unique_ptr<CellEngine>> m_engines;
    std::map<CellId, Claim> m_claims;
    /// What the ranks depend on besides the layout and this host's settings.
    struct RankInputs {
        uint64_t directoryChanges = 0;
        size_t cells = 0;
        bool storeAvailable = false;
        bool late = false;
        bool hearsNobody = false;
        bool owns = false;
        bool operator==(const RankInputs&) const = default;
    };
    /// For each cell the hosts that may own it, the preferred first. Empty on a host that neither owns cells nor is to
    /// own any.
    std::map<CellId, std::vector<Common::DaemonId>> m_ranks;
    std::optional<RankInputs> m_rankInputs;
    /// Hosts that are large enough to own cells, this one aside.
    std::set<Common::DaemonId> m_cellHosts;
    bool m_mayOwnCells = true;
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
    uint64_t m_ticks = 0;
    /// Number of rounds in which loads were sent.
    uint64_t m_loadRounds = 0;
    uint64_t m_loadVersion = 0;
    /// When a host was last discovered; ranks differ between hosts until then.
    Common::MonotonicTime m_discoveredAt;
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
    ConfigVersionHook m_onConfigVersion;
    Messenger m_messenger;
    PartOutbox m_partOutbox;
    /// Cells and jobs whose transfers are to be read from the store.
    std::deque<std::pair<CellId, Common::JobId>> m_transferChecks;
    size_t m_transferChecksUnderWay = 0;
    OwnerProbe m_ownerProbe;
    ReliefRequest m_reliefRequest;
    PollMessenger m_pollMessenger;
    RoomMessenger m_roomMessenger;
    PromiseMessenger m_promiseMessenger;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
