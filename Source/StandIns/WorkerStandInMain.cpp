// The worker stand-in: simulates one or several workers in a process, each on its own port.
#include "Http/Address.h"
#include "Http/EventLoop.h"
#include "StandIns/WorkerServer.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

DEFINE_string(listen, "127.0.0.1:0", "IP:port of the first worker; port 0 takes a free one for each");
DEFINE_string(id, "worker", "id of the worker; with --count, a number is appended for each");
DEFINE_string(rack, "rack-1", "rack of the worker");
DEFINE_int32(count, 1, "number of workers in this process, on consecutive ports");
DEFINE_int32(rack_size, 8, "with --count, workers per rack; a number is appended to the name of each rack");
DEFINE_int64(slots, 8, "slots");
DEFINE_int64(millicores, 16000, "processors in thousandths of a core");
DEFINE_int64(memory_mb, 60000, "memory in megabytes");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_string(journal, "", "file for one JSON line per event; with --count, the number is appended");
DEFINE_uint64(seed, 1, "seed of the variation of run times");
DEFINE_int64(usage_lag_ms, 2000, "lag of reported use and speed");
DEFINE_bool(refuse_when_full, false, "refuse starts that don't fit instead of recording the overload");
DEFINE_int64(request_ms, 20, "run time of requests that don't set one");

namespace {

std::string numbered(const std::string& name, int number)
{
    if (name.empty() || FLAGS_count == 1)
        return name;
    return name + "-" + std::to_string(number);
}

/// A random boot id, independent of the seed: a restart of the process is a reboot of its workers.
Common::WorkerBootId newBoot()
{
    std::random_device device;
    const uint64_t high = device();
    return Common::WorkerBootId("boot-" + std::to_string(high << 32 | device()));
}

StandIns::WorkerServer::Settings makeSettings(int number)
{
    StandIns::WorkerServer::Settings settings;
    settings.worker.worker = Common::WorkerId(numbered(FLAGS_id, number));
    settings.worker.boot = newBoot();
    settings.worker.rack = Common::RackId(numbered(FLAGS_rack, (number - 1) / FLAGS_rack_size + 1));
    settings.worker.capacity = { FLAGS_slots, FLAGS_millicores, FLAGS_memory_mb, FLAGS_accelerators };
    settings.worker.usageLag = std::chrono::milliseconds(FLAGS_usage_lag_ms);
    settings.worker.refuseWhenFull = FLAGS_refuse_when_full;
    settings.worker.seed = FLAGS_seed + static_cast<uint64_t>(number);
    settings.journalFile = numbered(FLAGS_journal, number);
    settings.requestTime = std::chrono::milliseconds(FLAGS_request_ms);
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto first = Http::parseAddress(FLAGS_listen);
    if (!first) {
        std::cerr << first.reason().detail << '\n';
        return 1;
    }
    Http::EventLoop loop;
    std::vector<std::unique_ptr<StandIns::WorkerServer>> workers;
    for (int number = 1; number <= FLAGS_count; ++number) {
        workers.push_back(std::make_unique<StandIns::WorkerServer>(loop, makeSettings(number)));
        const int wanted = first->port == 0 ? 0 : first->port + number - 1;
        const auto port = workers.back()->listen(first->host + ":" + std::to_string(wanted));
        if (!port) {
            std::cerr << port.reason().detail << '\n';
            return 1;
        }
        std::cout << numbered(FLAGS_id, number) << " listening on port " << *port << '\n';
    }
    std::cout << std::flush;
    loop.onSignals({ SIGINT, SIGTERM }, [&](int) { loop.stop(); });
    loop.run();
    return 0;
}
