// A stand-in worker under the virtual clock, with a judge that reads its journal.
#pragma once

#include "Fakes/VirtualRuntime.h"
#include "Node/Judge.h"
#include "StandIns/WorkerState.h"

#include <memory>
#include <string>
#include <utility>

namespace NodeTests {

class JudgedWorker {
public:
    JudgedWorker(Fakes::VirtualRuntime& world, Judge& judge, std::string name, int64_t ratePerMille)
        : m_world(world)
        , m_judge(judge)
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
        m_judge.onReboot(m_name);
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
            [this] { return Common::MonotonicTime(m_world.now().time_since_epoch() * m_ratePerMille / 1000); },
            [this](const StandIns::JournalEntry& entry) { m_judge.onJournal(m_name, entry, capacity); });
    }
    void tick()
    {
        m_state->advance();
        m_world.schedule(tickInterval, [this] { tick(); });
    }

    Fakes::VirtualRuntime& m_world;
    Judge& m_judge;
    std::string m_name;
    int64_t m_ratePerMille;
    int m_boots = 0;
    std::unique_ptr<StandIns::WorkerState> m_state;
};

} // namespace NodeTests
