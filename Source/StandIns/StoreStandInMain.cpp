// The store stand-in: keys, leases, watches and a lagging host list in memory, with faults on request.
#include "Http/EventLoop.h"
#include "StandIns/HostRows.h"
#include "StandIns/StoreServer.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to serve on; port 0 takes a free one");
DEFINE_string(hosts_file, "", "file with a JSON list of hosts: [{\"worker\",\"domain\",\"address\",\"state\"}]");
DEFINE_int64(host_list_lag_ms, 0, "delay until readers see changes of the host list");
DEFINE_int64(latency_ms, 0, "added to each answer");

namespace {

std::vector<Scheduler::HostEntry> loadHosts(const std::string& path)
{
    std::ifstream file(path);
    return StandIns::readHostRows(nlohmann::json::parse(file, nullptr, true, true));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Http::EventLoop loop;
    StandIns::StoreServer::Settings settings;
    settings.latency = std::chrono::milliseconds(FLAGS_latency_ms);
    settings.hostListLag = std::chrono::milliseconds(FLAGS_host_list_lag_ms);
    StandIns::StoreServer server(loop, settings);
    if (!FLAGS_hosts_file.empty())
        server.state().setHosts(loadHosts(FLAGS_hosts_file));
    const auto port = server.listen(FLAGS_listen);
    if (!port) {
        std::cerr << port.reason().detail << '\n';
        return 1;
    }
    std::cout << "listening on port " << *port << std::endl; // NOLINT: scripts wait for this line
    loop.onSignals({ SIGINT, SIGTERM }, [&](int) { loop.stop(); });
    loop.run();
    return 0;
}
