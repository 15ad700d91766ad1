// The load tool: sends requests and prints one JSON object with counts, outcomes and latencies.
#include "Http/EventLoop.h"
#include "StandIns/LoadTool/LoadRunner.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <sstream>

DEFINE_string(targets, "", "comma-separated list of IP:port: daemons, or workers with --direct");
DEFINE_string(service, "commission-desk", "service of the requests");
DEFINE_int32(connections, 16, "connections per target; without --rate also the number of callers");
DEFINE_double(rate, 0, "requests per second at random times (open loop); 0: each caller waits for its answer");
DEFINE_double(seconds, 10, "seconds during which requests are sent");
DEFINE_int64(request_ms, 20, "run time of a request in milliseconds when its worker is otherwise idle");
DEFINE_int64(answer_bytes, 0, "padding of each answer in bytes");
DEFINE_int64(deadline_ms, 1000, "deadline of a request in milliseconds");
DEFINE_int64(give_up_ms, 0, "timeout of an attempt in milliseconds; 0: callers wait for the deadline");
DEFINE_int32(retries, 0, "immediate retries after a timeout or a refusal");
DEFINE_uint64(seed, 1, "seed of arrival times and choices of targets");
DEFINE_bool(idempotent, true, "value of the X-Idempotent header");
DEFINE_bool(direct, false, "send directly to workers, bypassing the daemons");

namespace {

StandIns::LoadRunner::Settings readSettings()
{
    StandIns::LoadRunner::Settings settings;
    std::istringstream targets(FLAGS_targets);
    for (std::string target; std::getline(targets, target, ',');)
        settings.targets.push_back(target);
    settings.service = FLAGS_service;
    settings.connections = FLAGS_connections;
    settings.rate = FLAGS_rate;
    settings.duration = std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(FLAGS_seconds));
    settings.requestTime = std::chrono::milliseconds(FLAGS_request_ms);
    settings.answerBytes = FLAGS_answer_bytes;
    settings.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
    settings.giveUpAfter = std::chrono::milliseconds(FLAGS_give_up_ms);
    settings.retries = FLAGS_retries;
    settings.seed = FLAGS_seed;
    settings.idempotent = FLAGS_idempotent;
    settings.direct = FLAGS_direct;
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    StandIns::LoadRunner::Settings settings = readSettings();
    if (settings.targets.empty()) {
        std::cerr << "--targets is missing\n";
        return 1;
    }
    Http::EventLoop loop;
    StandIns::LoadRunner runner(loop, std::move(settings));
    runner.start([&] { loop.stop(); });
    loop.run();
    std::cout << runner.stats().summary(runner.elapsed()).dump() << '\n';
    return 0;
}
