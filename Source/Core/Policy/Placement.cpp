// Keeps the account of the workers and scores a sample of them for each task.
#include "Policy/Placement.h"

#include <algorithm>

namespace Policy {

using Common::MonotonicTime;
using Common::Resources;
using Scheduler::TaskReport;
using Scheduler::TaskState;

namespace {

    /// Workers with room that are checked for admission and avoidance before one search gives up.
    constexpr size_t maximumWorkersChecked = 64;

    /// Requests that must finish between two reports for their mean speed to be used.
    constexpr int64_t minimumSpeedSamples = 3;

    constexpr Common::Duration harmCacheDuration = std::chrono::seconds(1);

    Resources freeOf(const Resources& capacity, const Resources& held)
    {
        Resources free = capacity;
        free -= held;
        return free;
    }

    double share(int64_t part, int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    /// Class of tasks adopted from an earlier owner until `classify` sets it.
    WorkClass adoptedClass(Scheduler::TaskKind kind)
    {
        return WorkClass(kind == Scheduler::TaskKind::Request ? "adopted/request" : "adopted/batch");
    }

} // namespace

Placement::Placement(Settings settings, InterferenceModel& interference, WorkerHealth& health)
    : m_settings(settings)
    , m_interference(interference)
    , m_health(health)
{
}

void Placement::upsert(const Scheduler::WorkerReport& report, bool leaving, MonotonicTime now)
{
    const size_t index = indexFor(report.worker);
    Worker& worker = m_workers[index];
    std::unordered_map<Common::TaskId, DetachedTask> before = detachTasks(worker);
    addCapacity(worker, -1);
    // Starts under an earlier boot are refused, and tasks of that boot no longer run.
    if (worker.boot != report.boot)
        before.clear();
    worker.boot = report.boot;
    worker.rack = rackNamed(report.rack);
    worker.capacity = report.capacity;
    worker.leaving = leaving || report.leaving;
    addCapacity(worker, 1);
    mergeReport(worker, index, report, std::move(before));
    learn(worker, report, now);
    const bool hasEnoughSamples = worker.speedCount >= minimumSpeedSamples;
    worker.lastSpeed = hasEnoughSamples ? std::optional(worker.speedSum / worker.speedCount) : std::nullopt;
    worker.speedSum = 0;
    worker.speedCount = 0;
    updateTrees(worker, index);
}

void Placement::remove(const Common::WorkerId& id)
{
    const auto found = m_indexOf.find(id);
    if (found == m_indexOf.end())
        return;
    const size_t index = found->second;
    Worker& worker = m_workers[index];
    detachTasks(worker);
    addCapacity(worker, -1);
    m_free.clear(index);
    m_capacities.clear(index);
    m_interference.forget(id);
    m_health.remove(id);
    m_indexOf.erase(found);
    worker = Worker {};
    m_unused.push_back(index);
}

std::optional<Common::WorkerId> Placement::choose(
    const PlacementRequest& request, MonotonicTime now, std::mt19937_64& random)
{
    const ClassIndex workClass = m_interference.indexOf(request.workClass);
    recordService(request, workClass);
    const Search search { request, expectedUse(request, workClass), workClass, now };
    if (!reserveAllows(request, search.wanted))
        return std::nullopt;
    std::optional<size_t> index = findBestWorker(search, false, random);
    if (!index && !request.avoid.empty())
        index = findBestWorker(search, true, random);
    return index ? std::optional(m_workers[*index].id) : std::nullopt;
}

bool Placement::commit(
    const Common::WorkerId& id, const Common::TaskId& task, const PlacementRequest& request, MonotonicTime now)
{
    const auto found = m_indexOf.find(id);
    if (found == m_indexOf.end())
        return false;
    const auto held = m_workerOfTask.find(task);
    if (held != m_workerOfTask.end())
        return held->second == found->second;
    Worker& worker = m_workers[found->second];
    const ClassIndex workClass = m_interference.indexOf(request.workClass);
    const Resources wanted = expectedUse(request, workClass);
    if (worker.leaving || !fits(wanted, freeOf(worker.capacity, worker.held)))
        return false;
    addTask(worker, found->second, HeldTask { task, wanted, wanted, false, request.kind, false }, workClass);
    updateTrees(worker, found->second);
    m_health.recordStart(id, now);
    return true;
}

void Placement::release(const Common::TaskId& task)
{
    const auto found = m_workerOfTask.find(task);
    if (found == m_workerOfTask.end())
        return;
    const size_t index = found->second;
    Worker& worker = m_workers[index];
    const std::optional<size_t> position = positionOf(worker, task);
    if (!position)
        return;
    removeTask(worker, *position);
    updateTrees(worker, index);
}

void Placement::finish(const Common::TaskId& task, Common::Duration runTime, MonotonicTime now)
{
    const auto found = m_workerOfTask.find(task);
    if (found == m_workerOfTask.end())
        return;
    Worker& worker = m_workers[found->second];
    if (const std::optional<size_t> position = positionOf(worker, task)) {
        std::vector<ClassIndex> neighbours;
        for (size_t i = 0; i < worker.tasks.size(); ++i) {
            if (i != *position && !worker.tasks[i].throttled)
                neighbours.push_back(worker.classes[i]);
        }
        worker.speedSum += m_interference.observeRun(worker.classes[*position], neighbours, runTime, now);
        ++worker.speedCount;
    }
    release(task);
}

std::optional<int64_t> Placement::requestSpeed(const Common::WorkerId& id) const
{
    const auto found = m_indexOf.find(id);
    return found == m_indexOf.end() ? std::nullopt : m_workers[found->second].lastSpeed;
}

double Placement::harmOf(const Common::TaskId& task, MonotonicTime now) const
{
    const auto found = m_workerOfTask.find(task);
    if (found == m_workerOfTask.end())
        return 0;
    const Worker& worker = m_workers[found->second];
    const std::optional<size_t> position = positionOf(worker, task);
    if (!position)
        return 0;
    double harm = 0;
    for (size_t i = 0; i < worker.tasks.size(); ++i) {
        if (worker.tasks[i].kind == Scheduler::TaskKind::Request)
            harm += m_interference.slowdown(worker.classes[i], worker.classes[*position], now);
    }
    return harm;
}

void Placement::classify(const Common::TaskId& task, const WorkClass& workClass)
{
    const auto found = m_workerOfTask.find(task);
    if (found == m_workerOfTask.end())
        return;
    Worker& worker = m_workers[found->second];
    const std::optional<size_t> position = positionOf(worker, task);
    if (!position)
        return;
    countTask(worker, worker.tasks[*position], worker.classes[*position], -1);
    worker.classes[*position] = m_interference.indexOf(workClass);
    countTask(worker, worker.tasks[*position], worker.classes[*position], 1);
}

bool Placement::fitsAnywhere(const Resources& wanted) const
{
    return m_capacities.find(wanted, 0, 1, [](size_t) { return true; }).has_value();
}

std::optional<Resources> Placement::heldBy(const Common::WorkerId& id) const
{
    const auto found = m_indexOf.find(id);
    return found == m_indexOf.end() ? std::nullopt : std::optional(m_workers[found->second].held);
}

std::optional<Common::WorkerId> Placement::workerOf(const Common::TaskId& task) const
{
    const auto found = m_workerOfTask.find(task);
    return found == m_workerOfTask.end() ? std::nullopt : std::optional(m_workers[found->second].id);
}

size_t Placement::indexFor(const Common::WorkerId& id)
{
    const auto known = m_indexOf.find(id);
    if (known != m_indexOf.end())
        return known->second;
    size_t index = m_workers.size();
    if (m_unused.empty()) {
        m_workers.emplace_back();
    } else {
        index = m_unused.back();
        m_unused.pop_back();
    }
    m_workers[index].id = id;
    m_indexOf.emplace(id, index);
    m_health.add(id);
    return index;
}

uint32_t Placement::rackNamed(const Common::RackId& id)
{
    const auto [entry, added] = m_rackOf.try_emplace(id, static_cast<uint32_t>(m_racks.size()));
    if (added)
        m_racks.emplace_back();
    return entry->second;
}

std::optional<size_t> Placement::positionOf(const Worker& worker, const Common::TaskId& task) const
{
    for (size_t position = 0; position < worker.tasks.size(); ++position) {
        if (worker.tasks[position].id == task)
            return position;
    }
    return std::nullopt;
}

std::unordered_map<Common::TaskId, Placement::DetachedTask> Placement::detachTasks(Worker& worker)
{
    std::unordered_map<Common::TaskId, DetachedTask> detached;
    while (!worker.tasks.empty()) {
        const Common::TaskId id = worker.tasks.back().id;
        detached[id] = DetachedTask { worker.tasks.back(), worker.classes.back() };
        removeTask(worker, worker.tasks.size() - 1);
    }
    return detached;
}

void Placement::mergeReport(Worker& worker, size_t index, const Scheduler::WorkerReport& report,
    std::unordered_map<Common::TaskId, DetachedTask> before)
{
    for (const TaskReport& task : report.tasks) {
        const auto known = before.find(task.task);
        const bool running = task.state == TaskState::Running;
        if (running && known == before.end()) {
            HeldTask adopted { task.task, task.declared, largerOf(task.declared, task.used), true, task.kind,
                task.throttled };
            addTask(worker, index, std::move(adopted), m_interference.indexOf(adoptedClass(task.kind)));
        }
        if (known == before.end())
            continue;
        if (running) {
            HeldTask& held = known->second.task;
            held.reported = true;
            held.throttled = task.throttled;
            held.held = largerOf(largerOf(held.expected, task.declared), task.used);
            addTask(worker, index, std::move(held), known->second.workClass);
        }
        before.erase(known);
    }
    // The start order of a task that no report has shown yet may still be on its way to the worker.
    for (auto& [id, detached] : before) {
        if (!detached.task.reported)
            addTask(worker, index, std::move(detached.task), detached.workClass);
    }
}

void Placement::learn(const Worker& worker, const Scheduler::WorkerReport& report, MonotonicTime now)
{
    std::unordered_map<Common::TaskId, ClassIndex> classes;
    for (size_t position = 0; position < worker.tasks.size(); ++position)
        classes.emplace(worker.tasks[position].id, worker.classes[position]);
    for (const TaskReport& task : report.tasks) {
        const auto known = classes.find(task.task);
        // Skips tasks without a sample and throttled tasks, whose use is limited by the throttling.
        if (known != classes.end() && task.sampledAt.milliseconds > 0 && !task.throttled)
            m_usage.observe(known->second, task.used);
    }
    const auto classOf = [&](const Common::TaskId& task) {
        const auto known = classes.find(task);
        return known == classes.end() ? ClassIndex { 0 } : known->second;
    };
    m_interference.observe(report, classOf, now);
}

void Placement::addTask(Worker& worker, size_t index, HeldTask task, ClassIndex workClass)
{
    worker.held += task.held;
    countTask(worker, task, workClass, 1);
    m_workerOfTask[task.id] = index;
    worker.tasks.push_back(std::move(task));
    worker.classes.push_back(workClass);
}

void Placement::removeTask(Worker& worker, size_t position)
{
    countTask(worker, worker.tasks[position], worker.classes[position], -1);
    m_workerOfTask.erase(worker.tasks[position].id);
    worker.held -= worker.tasks[position].held;
    std::swap(worker.tasks[position], worker.tasks.back());
    std::swap(worker.classes[position], worker.classes.back());
    worker.tasks.pop_back();
    worker.classes.pop_back();
}

void Placement::addCapacity(const Worker& worker, int64_t sign)
{
    if (worker.capacity == Resources {})
        return;
    m_racks[worker.rack].totalSlots += sign * worker.capacity.slots;
    if (worker.leaving)
        return;
    m_totalSlots += sign * worker.capacity.slots;
}

void Placement::countTask(const Worker& worker, const HeldTask& task, ClassIndex workClass, int64_t sign)
{
    if (!worker.leaving)
        m_usedSlots += sign * task.held.slots;
    if (workClass >= m_classOnRack.size())
        m_classOnRack.resize(workClass + size_t { 1 });
    std::vector<int32_t>& racks = m_classOnRack[workClass];
    if (worker.rack >= racks.size())
        racks.resize(m_racks.size());
    racks[worker.rack] += static_cast<int32_t>(sign);
}

int32_t Placement::tasksOnRack(ClassIndex workClass, uint32_t rack) const
{
    if (workClass >= m_classOnRack.size() || rack >= m_classOnRack[workClass].size())
        return 0;
    return m_classOnRack[workClass][rack];
}

void Placement::updateTrees(const Worker& worker, size_t index)
{
    if (worker.leaving) {
        m_free.clear(index);
        m_capacities.clear(index);
        return;
    }
    m_free.set(index, freeOf(worker.capacity, worker.held));
    m_capacities.set(index, worker.capacity);
}

Resources Placement::expectedUse(const PlacementRequest& request, ClassIndex workClass) const
{
    const Resources larger = largerOf(request.declared, m_usage.expected(workClass));
    // The use learned from other tasks must not exclude a task whose declared resources fit an empty worker.
    return fitsAnywhere(larger) ? larger : request.declared;
}

bool Placement::reserveAllows(const PlacementRequest& request, const Resources& wanted) const
{
    if (request.kind == Scheduler::TaskKind::Request || request.priority == Scheduler::Priority::Urgent)
        return true;
    const int64_t open = m_totalSlots - m_totalSlots * m_settings.urgentReservePercent / 100;
    return m_usedSlots + wanted.slots <= open;
}

double Placement::score(const Worker& worker, const Search& search) const
{
    Resources held = worker.held;
    held += search.wanted;
    const double load
        = std::max({ share(held.slots, worker.capacity.slots), share(held.milliCores, worker.capacity.milliCores),
            share(held.memoryMegabytes, worker.capacity.memoryMegabytes) });
    const double slowdown = m_interference.slowdownOf(search.workClass, worker.classes, search.now)
        + m_interference.slowdownBy(search.workClass, worker.classes, search.now);
    const double crowding = share(tasksOnRack(search.workClass, worker.rack), m_racks[worker.rack].totalSlots);
    const double common = m_settings.loadWeight * load + m_settings.rackWeight * crowding;
    if (search.request.kind == Scheduler::TaskKind::Request)
        return common + m_settings.requestInterferenceWeight * slowdown;
    return common + m_settings.batchInterferenceWeight * slowdown
        - m_settings.separationWeight * std::min(1.0, harmOn(worker, search.now));
}

double Placement::harmToServices(ClassIndex workClass, MonotonicTime now) const
{
    if (m_services.empty())
        return 0;
    if (workClass >= m_harm.size())
        m_harm.resize(workClass + size_t { 1 });
    Harm& harm = m_harm[workClass];
    if (harm.computedAt && now - *harm.computedAt < harmCacheDuration)
        return harm.value;
    double sum = 0;
    for (const ClassIndex service : m_services)
        sum += m_interference.slowdown(service, workClass, now);
    harm = Harm { sum / static_cast<double>(m_services.size()), now };
    return harm.value;
}

double Placement::harmOn(const Worker& worker, MonotonicTime now) const
{
    double harm = 0;
    for (const ClassIndex running : worker.classes)
        harm += harmToServices(running, now);
    return harm;
}

void Placement::recordService(const PlacementRequest& request, ClassIndex workClass)
{
    if (request.kind != Scheduler::TaskKind::Request)
        return;
    if (std::find(m_services.begin(), m_services.end(), workClass) == m_services.end())
        m_services.push_back(workClass);
}

std::optional<size_t> Placement::findBestWorker(const Search& search, bool useAvoided, std::mt19937_64& random) const
{
    if (m_free.size() == 0)
        return std::nullopt;
    const bool pickAny = !m_health.anyRestricted() && (useAvoided || search.request.avoid.empty());
    struct Filter {
        const Placement& placement;
        const Search& search;
        bool useAvoided;
        bool pickAny;
    } const filter { *this, search, useAvoided, pickAny };
    const std::function<bool(size_t)> accept = [&filter](size_t index) {
        if (filter.pickAny)
            return true;
        const Worker& worker = filter.placement.m_workers[index];
        const auto& avoid = filter.search.request.avoid;
        if (!filter.useAvoided && std::find(avoid.begin(), avoid.end(), worker.id) != avoid.end())
            return false;
        return filter.placement.m_health.admits(worker.id, filter.search.now);
    };
    std::optional<size_t> chosen;
    double lowest = 0;
    for (uint32_t candidate = 0; candidate < m_settings.candidates; ++candidate) {
        const std::optional<size_t> index
            = m_free.find(search.wanted, random() % m_free.size(), maximumWorkersChecked, accept);
        if (!index)
            return chosen;
        const double value = score(m_workers[*index], search);
        if (!chosen || value < lowest) {
            chosen = index;
            lowest = value;
        }
    }
    return chosen;
}

} // namespace Policy
