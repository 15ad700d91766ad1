// Which cells this host owns, and who owns the others.
#pragma once

#include "Cells/BeatPort.h"
#include "Cells/CellEngine.h"
#include "Cells/CellLayout.h"
#include "Cells/CellSettings.h"
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
class CellKeeper {
public:
    struct Ports {
        Scheduler::Runtime& runtime;
        RecordStore& store;
        WorkerList& workers;
        WorkerOrders& orders;
        BeatPort& beats;
    };
    /// The owner of a cell as last heard of.
    struct Owner {
        Common::DaemonId id;
        std::string address;
        FencingToken token;
        CellLoad load;
        Common::MonotonicTime heardAt;
        bool released = false;
    };

    CellKeeper(Ports, const HostSettings&, const CellSettings&);
    ~CellKeeper();

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
    void setStoreAnswers(bool answers) { m_storeAnswers = answers; }
    using PartNews = CellEngine::PartNews;
    /// Carries news to the owner of a cell; Done when it was heard. Set by whoever can call other hosts.
    using Messenger = std::function<void(
        const std::string& address, const CellId&, const PartNews&, Common::Callback<Common::Done>)>;
    void setMessenger(Messenger messenger) { m_messenger = std::move(messenger); }
    /// Called for each beat of another host.
    void onHostBeat(std::function<void(const HostBeat&)> hook) { m_onBeat = std::move(hook); }

private:
    struct Claim;
    /// An owner that this host knows from the cell's record only.
    struct UnheardOwner {
        FencingToken token;
        Common::MonotonicTime since;
    };

    void readLayout();
    void createLayout();
    void writeLayout(const std::vector<WorkerEntry>&);
    void useLayout(CellLayout);
    void beatRegularly();
    void beat();
    bool introducing() const;
    std::vector<std::string> namesByTurns();
    void onBeat(std::string_view text);
    void tick();
    void noteAbsence();
    bool ownerless(const CellId&) const;
    void rankOwners();
    void considerClaim(const CellId&);
    void considerHandOver(const CellId&);
    void claim(const CellId&);
    void onRecord(const CellId&, const std::optional<Scheduler::StoreValue>&);
    void writeClaim(const CellId&, const CellRecord&, Common::StoreRevision expected, bool formerOwnerGone);
    void inherit(const CellId&, const CellRecord&, Common::StoreRevision fence, bool formerOwnerGone);
    bool mayBeUnheard(const CellId&, const CellRecord&);
    bool surelyGone(const CellRecord&) const;
    void own(const CellId&, CellEngine::Inheritance);
    void endClaim(const CellId&, const char* reason);
    CellEngine::Neighbours neighbours();
    std::map<CellId, size_t> rooms(const CellId& self, const Common::ServiceName&, const Jobs::StepSpec&) const;
    void tellOwner(const CellId&, const PartNews&);
    void remind(const CellId&, const Common::JobId&);
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
    std::map<CellId, std::vector<Policy::TailModel::Belief>> m_beliefs;
    std::map<CellId, UnheardOwner> m_unheardOwners;
    std::set<CellId> m_releasing;
    std::map<CellId, Common::MonotonicTime> m_released;
    std::map<Common::WorkerId, WorkerEntry> m_listed;
    Common::StoreRevision m_listRevision;
    size_t m_workersAtLayout = 0;
    uint64_t m_beatCount = 0;
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
    bool m_storeAnswers = false;
    bool m_draining = false;
    std::function<void(const HostBeat&)> m_onBeat;
    Messenger m_messenger;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
