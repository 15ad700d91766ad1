// A stand-in worker under the virtual clock that reports its journal to a RunChecker.
#pragma once

#include "Fakes/VirtualRuntime.h"
#include "Node/RunChecker.h"
#include "StandIns/WorkerState.h"

#include <memory>
#include <string>
#include <utility>

namespace NodeTests {

class CheckedWorker {
public:
    CheckedWorker(Fakes::VirtualRuntime& runtime, RunChecker& checker, std::string name, int64_t ratePerMille)
        : m_runtime(runtime)
        , m_checker(checker)
        , m_name(std::move(name))
        , m_ratePerMille(ratePerMille)
    {
        boot();
        tick();
    }

    static constexpr Common::Resources capacity { .slots = 3, .milliCores = 3000, .memoryMegabytes = 3000 };

    const std::string& name() const { return m_name; }
    StandIns::WorkerState& state() { return *m_state; }
    void reboot()
    {
        m_checker.onReboot(m_name);
        boot();
    }
    void setLeaving(bool leaving) { m_state->setFaults({ .leaving = leaving }); }

private:
    static constexpr Common::Duration tickInterval = std::chrono::milliseconds(10);

    void boot()
    {
        const std::string boot = m_name + "/" + std::to_string(++m_boots);
        m_state = std::make_unique<StandIns::WorkerState>(
            StandIns::WorkerState::Settings { .worker = Common::WorkerId(m_name),
                .boot = Common::WorkerBootId(boot),
                .rack = Common::RackId("rack"),
                .capacity = capacity,
                .usageLag = std::chrono::seconds(1) },
            [this] { return Common::MonotonicTime(m_runtime.now().time_since_epoch() * m_ratePerMille / 1000); },
            [this](const StandIns::JournalEntry& entry) { m_checker.onJournal(m_name, entry, capacity); });
    }
    void tick()
    {
        m_state->advance();
        m_runtime.schedule(tickInterval, [this] { tick(); });
    }

    Fakes::VirtualRuntime& m_runtime;
    RunChecker& m_checker;
    std::string m_name;
    int64_t m_ratePerMille;
    int m_boots = 0;
    std::unique_ptr<StandIns::WorkerState> m_state;
};

} // namespace NodeTests
