// Delayed samples are attributed to the tasks that ran when they were taken.
#include "Policy/InterferenceModel.h"

#include <doctest/doctest.h>

#include <map>

using namespace Policy;
using namespace std::chrono_literals;
using Common::MonotonicTime;
using Common::TaskId;
using Common::WorkerTime;
using Scheduler::TaskReport;
using Scheduler::WorkerReport;

namespace {

struct Fixture {
    InterferenceModel model;
    InterferenceModel::ClassIndex preview = model.indexOf(WorkClass("preview"));
    InterferenceModel::ClassIndex noisy = model.indexOf(WorkClass("noisy"));
    InterferenceModel::ClassIndex calm = model.indexOf(WorkClass("calm"));
    std::map<TaskId, InterferenceModel::ClassIndex> classes { { TaskId("p"), preview }, { TaskId("n"), noisy },
        { TaskId("c"), calm } };
    MonotonicTime now { 1h };

    void report(int64_t clock, int64_t sampledAt, int64_t speed, const std::vector<std::string>& beside)
    {
        WorkerReport report { .worker = Common::WorkerId("w"), .clock = WorkerTime { clock } };
        report.tasks.push_back(TaskReport { .task = TaskId("p"), .speedPerMille = speed, .sampledAt = { sampledAt } });
        for (const std::string& id : beside)
            report.tasks.push_back(TaskReport { .task = TaskId(id) });
        model.observe(
            report, [this](const TaskId& task) { return classes.at(task); }, now);
    }
};

} // namespace

TEST_CASE("a sample taken before a neighbour started isn't attributed to it")
{
    Fixture f;
    // The noisy task runs at odd seconds only; each report carries the sample of the second before.
    for (int64_t second = 1; second <= 200; ++second) {
        const bool noisyNow = second % 2 == 1;
        const bool noisyBefore = !noisyNow;
        f.now += 1s;
        f.report(second * 1000, (second - 1) * 1000, noisyBefore ? 500 : 1000, { noisyNow ? "n" : "c" });
    }
    CHECK(f.model.slowdown(f.preview, f.noisy, f.now) > 0.6);
    CHECK(f.model.slowdown(f.preview, f.calm, f.now) < 0.05);
    CHECK(f.model.slowdown(f.noisy, f.preview, f.now) == doctest::Approx(0.02));
}

TEST_CASE("a sample counts once, and a learned slowdown decays")
{
    Fixture f;
    f.report(1000, 900, 500, { "n" });
    f.report(2000, 1500, 500, { "n" });
    const uint64_t samples = f.model.samples();
    f.report(3000, 1500, 500, { "n" });
    CHECK(f.model.samples() == samples);
    for (int64_t second = 4; second < 60; ++second)
        f.report(second * 1000, second * 1000, 500, { "n" });
    const double learned = f.model.slowdown(f.preview, f.noisy, f.now);
    CHECK(learned > 0.6);
    CHECK(f.model.slowdown(f.preview, f.noisy, f.now + 10min) < 0.6 * learned);
}

TEST_CASE("the number of classes is bounded")
{
    InterferenceModel model({ .maximumClasses = 4 });
    for (int i = 0; i < 100; ++i)
        CHECK(model.indexOf(WorkClass(std::to_string(i))) < 4);
    CHECK(model.indexOf(WorkClass("0")) == 0);
    CHECK(model.slowdown(0, 3, MonotonicTime {}) == doctest::Approx(0.02));
}
