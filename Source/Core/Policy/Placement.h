// Chooses the worker for a task and keeps the account of what each worker holds.
#pragma once

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Units.h"
#include "Policy/FreeResourcesTree.h"
#include "Policy/InterferenceModel.h"
#include "Policy/PlacementRequest.h"
#include "Policy/UsageModel.h"
#include "Policy/WorkerHealth.h"
#include "Scheduler/WorkerReport.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Policy {

/// The workers that this daemon may use.
/// Invariant: nothing is committed to a worker unless its capacity holds, for each resource, the sum over its tasks of
/// the larger of declared, observed and expected use. Its tasks are those of the last report that run, and those
/// committed since that no report has shown yet; each counts once.
class Placement {
public:
    struct Settings {
        /// Workers compared for one decision.
        uint32_t candidates = 8;
        /// Share of all slots that only requests and urgent work may fill.
        uint32_t urgentReservePercent = 5;
        /// Weights of the score: load, crowding of a class on one rack, and predicted slowdown of and by a request or a
        /// batch task.
        double loadWeight = 1;
        double rackWeight = 0.3;
        double requestInterferenceWeight = 6;
        double batchInterferenceWeight = 2;
        /// How much batch prefers workers that requests had better avoid anyway, so that quiet ones stay free for them.
        double separationWeight = 1;
    };

    /// Both outlive this object; it teaches the one and asks the other.
    Placement(Settings, InterferenceModel&, WorkerHealth&);

    /// Adds the worker or takes in its next report. Reports of one worker come in the order in which they were taken.
    void upsert(const Scheduler::WorkerReport&, bool leaving, Common::MonotonicTime now);
    void remove(const Common::WorkerId&);

    /// A worker that has room; nothing is kept for the task until `commit`.
    std::optional<Common::WorkerId> choose(const PlacementRequest&, Common::MonotonicTime now, std::mt19937_64&);
    /// Counts the task on the worker; false, and nothing changes, when it does not fit there (any more).
    bool commit(const Common::WorkerId&, const Common::TaskId&, const PlacementRequest&, Common::MonotonicTime now);
    /// The task has ended or did not start.
    void release(const Common::TaskId&);
    /// The same for a request that was answered; its run time teaches how its neighbours slow it down.
    void finish(const Common::TaskId&, Common::Duration runTime, Common::MonotonicTime now);
    /// Mean speed, in thousandths of that alone, of the requests that finished between the last two reports; nothing
    /// when they were too few to tell. For EvictionPlanner.
    std::optional<int64_t> requestSpeed(const Common::WorkerId&) const;
    /// The harm that a task does to the requests beside it, for EvictionCandidate.
    double harmOf(const Common::TaskId&, Common::MonotonicTime now) const;
    /// Names the class of a task adopted from an earlier owner, so that its usage and interference are learned.
    void classify(const Common::TaskId&, const WorkClass&);

    /// Whether any worker, empty, could hold this.
    bool fitsAnywhere(const Common::Resources&) const;
    int64_t freeSlots() const { return m_totalSlots - m_usedSlots; }
    int64_t totalSlots() const { return m_totalSlots; }
    /// What the account says the worker holds; for checks and the time line.
    std::optional<Common::Resources> heldBy(const Common::WorkerId&) const;
    std::optional<Common::WorkerId> workerOf(const Common::TaskId&) const;
    size_t workerCount() const { return m_indexOf.size(); }

private:
    using ClassIndex = InterferenceModel::ClassIndex;
    struct HeldTask {
        Common::TaskId id;
        /// What it declared or is expected to use, the larger of each.
        Common::Resources expected;
        /// The same with what was observed.
        Common::Resources held;
        /// A report has shown it.
        bool reported = false;
        Scheduler::TaskKind kind = Scheduler::TaskKind::Batch;
        bool throttled = false;
    };
    struct Worker {
        Common::WorkerId id;
        Common::WorkerBootId boot;
        uint32_t rack = 0;
        bool leaving = false;
        Common::Resources capacity;
        /// Invariant: the sum over `tasks`.
        Common::Resources held;
        std::vector<HeldTask> tasks;
        /// Class of each task, in the order of `tasks`.
        std::vector<ClassIndex> classes;
        /// Speeds of the requests that finished since the last report, and the mean of those before it.
        int64_t speedSum = 0;
        int64_t speedCount = 0;
        std::optional<int64_t> lastSpeed;
    };
    /// A task on its way from one account of its worker to the next.
    struct DetachedTask {
        HeldTask task;
        ClassIndex workClass = 0;
    };
    struct Rack {
        int64_t usedSlots = 0;
        int64_t totalSlots = 0;
    };

    /// What one decision is about.
    struct Search {
        const PlacementRequest& request;
        Common::Resources wanted;
        ClassIndex workClass = 0;
        Common::MonotonicTime now;
    };

    size_t indexFor(const Common::WorkerId&);
    uint32_t rackNamed(const Common::RackId&);
    std::optional<size_t> positionOf(const Worker&, const Common::TaskId&) const;
    std::unordered_map<Common::TaskId, DetachedTask> detachTasks(Worker&);
    void takeIn(
        Worker&, size_t index, const Scheduler::WorkerReport&, std::unordered_map<Common::TaskId, DetachedTask> before);
    void learn(const Worker&, const Scheduler::WorkerReport&, Common::MonotonicTime now);
    void add(Worker&, size_t index, HeldTask, ClassIndex);
    void drop(Worker&, size_t position);
    void addCapacity(const Worker&, int64_t sign);
    void countTask(const Worker&, const HeldTask&, ClassIndex, int64_t sign);
    int32_t onRack(ClassIndex, uint32_t rack) const;
    void publish(const Worker&, size_t index);
    Common::Resources wantedBy(const PlacementRequest&, ClassIndex) const;
    bool reserveAllows(const PlacementRequest&, const Common::Resources& wanted) const;
    double score(const Worker&, const Search&) const;
    /// Mean slowdown that a task of the class causes to the services seen here.
    double harmToServices(ClassIndex, Common::MonotonicTime now) const;
    double harmOn(const Worker&, Common::MonotonicTime now) const;
    void noteService(const PlacementRequest&, ClassIndex);
    std::optional<size_t> best(const Search&, bool useAvoided, std::mt19937_64&) const;

    Settings m_settings;
    InterferenceModel& m_interference;
    WorkerHealth& m_health;
    UsageModel m_usage;
    std::vector<Worker> m_workers;
    std::vector<size_t> m_unused;
    std::unordered_map<Common::WorkerId, size_t> m_indexOf;
    std::unordered_map<Common::TaskId, size_t> m_workerOfTask;
    /// Classes of the requests seen here.
    std::vector<ClassIndex> m_services;
    /// Harm by class, worked out anew now and then.
    struct Harm {
        double value = 0;
        std::optional<Common::MonotonicTime> workedOutAt;
    };
    mutable std::vector<Harm> m_harm;
    FreeResourcesTree m_free;
    FreeResourcesTree m_capacities;
    std::vector<Rack> m_racks;
    std::unordered_map<Common::RackId, uint32_t> m_rackOf;
    /// Tasks by class and rack.
    std::vector<std::vector<int32_t>> m_classOnRack;
    int64_t m_totalSlots = 0;
    int64_t m_usedSlots = 0;
};

} // namespace Policy
