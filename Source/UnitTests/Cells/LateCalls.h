// Calls to workers that are carried out late, at times by a worker's next life.
#pragma once

#include "Cells/RunWorker.h"

#include <functional>
#include <map>
#include <random>

namespace CellTests {

class LateCalls {
public:
    /// Limits of the delays.
    std::chrono::milliseconds shortest { 1000 };
    std::chrono::milliseconds longest { 4999 };

    /// What a call that was sent to a former life of a worker has done to its present one.
    enum class Effect {
        Start,
        /// The lease was extended, and no run was started.
        Grant,
    };
    /// Called for each such effect.
    std::function<void(const RunWorker&, Effect)> onNextLife;

    /// Carries out the call later, by whichever life is up then.
    void postpone(Fakes::VirtualRuntime& world, std::mt19937_64& random, RunWorker& worker,
        const std::function<void(RunWorker&)>& call)
    {
        const auto choices = static_cast<uint64_t>((longest - shortest).count() + 1);
        const auto delay = shortest + std::chrono::milliseconds(random() % choices);
        ++m_underWay[&worker];
        world.schedule(delay, [this, &worker, call, life = worker.life()] {
            --m_underWay[&worker];
            const uint64_t starts = worker.starts;
            const Common::WorkerTime until = worker.leaseUntil();
            call(worker);
            if (!onNextLife || worker.life() == life)
                return;
            if (worker.starts > starts)
                onNextLife(worker, Effect::Start);
            else if (until < worker.leaseUntil())
                onNextLife(worker, Effect::Grant);
        });
    }
    /// Number of calls to the worker that are still to be carried out.
    size_t underWay(const RunWorker& worker) const
    {
        const auto found = m_underWay.find(&worker);
        return found == m_underWay.end() ? 0 : found->second;
    }

private:
    std::map<const RunWorker*, size_t> m_underWay;
};

} // namespace CellTests
