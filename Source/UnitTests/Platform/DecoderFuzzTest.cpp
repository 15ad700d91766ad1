// Mutations of valid messages are read or refused by every decoder, and what is read is within bounds. Seeds from
// LC_SEED.
#include "Cells/CellLayout.h"
#include "Cells/CellRecord.h"
#include "Cells/CellReport.h"
#include "Cells/GossipFrame.h"
#include "Cells/HostHeartbeat.h"
#include "Cells/HostState.h"
#include "Cells/RandomSchedule.h"
#include "Cells/TaskTransfer.h"
#include "Common/Bounds.h"
#include "Common/JsonParser.h"
#include "Fakes/FakeRecordStore.h"
#include "Fakes/OddJson.h"
#include "Jobs/JobRecord.h"
#include "platform/JobCalls.h"
#include "platform/OperatorConfig.h"
#include "platform/WorkerCalls.h"
#include "platform/WorkerRegistry.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace {

/// A valid message, and a decoder that checks what it reads.
struct Sample {
    std::string text;
    std::function<void(const std::string&)> decode;
};

bool isAmount(int64_t value, int64_t most) { return value >= 0 && value <= most; }

void checkResources(const Common::Resources& resources)
{
    CHECK(isAmount(resources.milliCores, Common::maximumMilliCores));
    CHECK(isAmount(resources.memoryMegabytes, Common::maximumMegabytes));
    CHECK(isAmount(resources.accelerators, Common::maximumAccelerators));
}

void checkSpec(const Jobs::JobSpec& spec)
{
    for (size_t number = 0; number < spec.steps.size(); ++number) {
        const Jobs::StepSpec& step = spec.steps[number];
        checkResources(step.resources);
        CHECK(isAmount(step.taskCount, Common::maximumTaskCount));
        CHECK(isAmount(step.estimate.count(), Common::maximumTimeSpan.count()));
        for (const uint32_t other : step.after)
            CHECK(other < number);
    }
    CHECK(isAmount(spec.dueMilliseconds(spec.occurrenceCount()), 2 * Common::maximumClockMilliseconds));
}

void decodeEntry(const std::string& text)
{
    const auto entry = Platform::readWorkerEntry({ "servers/i-1", text, {} });
    if (!entry)
        return;
    checkResources(entry->capacity);
    CHECK(isAmount(entry->remaining.count(), Common::maximumTimeSpan.count()));
    CHECK(isAmount(entry->startedAtMilliseconds, Common::maximumClockMilliseconds));
}

void decodeReport(const std::string& text)
{
    const auto body = Common::parseJson(text);
    if (!body || !body->is_object())
        return;
    const auto report = Platform::readReport(*body);
    if (!report)
        return;
    CHECK(isAmount(report->clock.milliseconds, Common::maximumClockMilliseconds));
    for (const Cells::RunningTask& running : report->running)
        CHECK(running.percent <= 100);
}

void decodeConfig(const std::string& text)
{
    Fakes::VirtualRuntime clock(1);
    Fakes::FakeNetwork network(clock, 1);
    Fakes::FakeRecordStore store(clock, network, 1);
    Fakes::FakeProcess process(clock, 1);
    const auto config = Platform::OperatorConfig(store.client("a:1", process)).decode(text);
    if (!config)
        return;
    for (const Cells::JobRoute& route : config->routes) {
        CHECK(isAmount(route.timeout.count(), Common::maximumTimeSpan.count()));
        CHECK((route.policy.stretch >= 0 && route.policy.stretch <= Common::maximumStretch));
    }
}

void decodeRecord(const std::string& text)
{
    if (const auto record = Jobs::JobRecord::decode(text))
        checkSpec(record->spec);
}

void decodeSpec(const std::string& text)
{
    if (const auto spec = Platform::readSpec(text))
        checkSpec(*spec);
}

void decodeLayout(const std::string& text)
{
    const auto layout = Cells::CellLayout::decode(text);
    if (layout)
        CHECK_FALSE(layout->cells().empty());
}

Jobs::JobRecord sampleRecord()
{
    Jobs::JobRecord record;
    record.id = Common::JobId("00000000000000ab");
    record.policy = { "cut", Common::ServiceName("desk"), 2, 3, 1.5, std::chrono::milliseconds(600) };
    Jobs::StepSpec step;
    step.taskCount = 3;
    step.resources = { 0, 4600, 9200, 1 };
    step.estimate = std::chrono::milliseconds(800);
    record.spec.steps = { step, step };
    record.spec.steps[1].after = { 0 };
    record.spec.occurrences = 5;
    record.spec.interval = std::chrono::hours(1);
    record.phase = Jobs::JobPhase::Running;
    std::vector<Jobs::TaskProgress> tasks(3);
    tasks[2] = Jobs::TaskProgress { false, { 1, 2 }, 3, "saved", {} };
    record.progress[0] = { tasks, std::vector<Jobs::TaskProgress>(3) };
    return record;
}

std::string sampleHeartbeat()
{
    Cells::HostHeartbeat heartbeat;
    heartbeat.id = Common::DaemonId("h1");
    heartbeat.address = "10.0.0.1:81";
    heartbeat.heartbeatAddress = "10.0.0.1:82";
    Cells::HostHeartbeat::OwnedCell owned;
    owned.cell = Cells::CellId("yard-0");
    owned.load.services = { { "s", 64000 } };
    owned.load.pending = { { "r", 3 } };
    owned.pressureEstimates = { { "b", "s", 1.5, 0.25 } };
    heartbeat.cells.push_back(owned);
    heartbeat.knownAddresses = { "10.0.0.2:82" };
    return heartbeat.encode();
}

std::string sampleReport()
{
    Cells::CellReport report;
    report.owner = Common::DaemonId("h1");
    report.cell.cell = Cells::CellId("yard-0");
    report.cell.load.services = { { "s", 64000 } };
    report.cell.pressureEstimates = { { "b", "s", 1.5, 0.25 } };
    return std::string(1, Cells::gossipFormat) + Cells::GossipFrame {}.encode() + report.encode();
}

void decodeGossip(const std::string& bytes)
{
    const auto frames = Cells::readGossip(bytes);
    if (!frames)
        return;
    for (const Cells::GossipFrame& frame : *frames) {
        Cells::CellReport::decode(frame);
        Cells::HostState::decode(frame.payload);
    }
}

std::vector<Sample> samples()
{
    Cells::HostState state;
    state.id = Common::DaemonId("h1");
    state.address = state.heartbeatAddress = "10.0.0.1:81";
    state.cells = { { Cells::CellId("yard-0"), { 7 } } };
    state.released = { Cells::CellId("yard-1") };
    const Cells::TaskTransfer transfer { Cells::CellId("a-0"), Cells::CellId("a-1"), 1, sampleRecord() };
    const Cells::CellRecord record { Common::DaemonId("h"), "a:1", { 7 }, 1, false };
    return {
        { R"({"service":"s1","address":"10.1.1.1:80","zone":"z1","state":"draining","capacity":{"cpu":16000,
            "mem_mb":32768,"gpus":2},"labels":["a","r1-3"],"born":17,"remaining_ms":1500})",
            decodeEntry },
        { R"({"clock_ms":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,12]],
            "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
            decodeReport },
        { R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/","service":"s","priority":2,"max_attempts":2,
            "stretch":1.5,"target_duration_ms":600,"timeout_ms":3000}],"limits":{"max_body_bytes":99}})",
            decodeConfig },
        { R"({"spec":"text","phases":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900},{"count":20,"after":[0],
            "gpus":1,"max_per_server":2,"target_ms":18}],"times":3,"start_at_ms":1764900000000,"interval_ms":500})",
            decodeSpec },
        { sampleHeartbeat(), [](const std::string& text) { Cells::HostHeartbeat::decode(text); } },
        { state.encode(), [](const std::string& bytes) { Cells::HostState::decode(bytes); } },
        { sampleReport(), decodeGossip },
        { record.encode(), [](const std::string& text) { Cells::CellRecord::decode(text); } },
        { R"({"yard":{"cells":3,"racks":{"r1-3":2}},"pier":2})", decodeLayout },
        { transfer.encode(), [](const std::string& text) { Cells::TaskTransfer::decode(text); } },
        { sampleRecord().encode(), decodeRecord },
    };
}

class Mutator {
public:
    explicit Mutator(uint64_t seed)
        : m_random(seed)
    {
    }

    std::string mutate(std::string text)
    {
        for (size_t count = 1 + below(3); count > 0; --count)
            text = mutateOnce(std::move(text));
        return text;
    }

private:
    size_t below(size_t bound) { return bound == 0 ? 0 : m_random() % bound; }

    std::string mutateOnce(std::string text)
    {
        switch (below(7)) {
        case 0:
            return text.substr(0, below(text.size()));
        case 1:
            if (!text.empty())
                text[below(text.size())] = static_cast<char>(below(256));
            return text;
        case 2:
            return text.insert(below(text.size() + 1), below(2) == 0 ? "\xff\xfe" : R"("\ud800")");
        case 3:
            return text.erase(below(text.size()), 1 + below(4));
        default:
            return replaceValue(text);
        }
    }

    /// Replaces a value that begins after ':', ',' or '[' by one that no correct writer sends.
    std::string replaceValue(const std::string& text)
    {
        const size_t before = text.find_first_of(":,[", below(text.size()));
        if (before == std::string::npos)
            return text;
        const size_t end = std::min(text.find_first_of(",]}", before + 1), text.size());
        return text.substr(0, before + 1) + oddValue() + text.substr(end);
    }

    std::string oddValue()
    {
        const std::vector<std::string>& numbers = Fakes::oddNumbers();
        switch (below(8)) {
        case 0:
            return Fakes::nestedLists(below(2) == 0 ? 60 : 20'000);
        case 1:
            return Fakes::nestedObjects(below(2) == 0 ? 60 : 20'000);
        case 2:
            return std::to_string(m_random());
        case 3:
            return std::to_string(static_cast<int64_t>(m_random()));
        case 4:
            return "0.5";
        default:
            return numbers[below(numbers.size())];
        }
    }

    std::mt19937_64 m_random;
};

} // namespace

TEST_CASE("no mutation of a valid message ends the process or yields figures out of bounds")
{
    constexpr size_t mutationsPerSeed = 60;
    const CellTests::SeedRange seeds = CellTests::SeedRange::fromEnvironment();
    const std::vector<Sample> all = samples();
    for (const Sample& sample : all)
        CHECK_NOTHROW(sample.decode(sample.text));
    for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        CAPTURE(seed);
        Mutator mutator(seed);
        for (size_t index = 0; index < mutationsPerSeed * all.size(); ++index) {
            const Sample& sample = all[index % all.size()];
            const std::string text = mutator.mutate(sample.text);
            CAPTURE(text);
            CHECK_NOTHROW(sample.decode(text));
        }
    }
}
