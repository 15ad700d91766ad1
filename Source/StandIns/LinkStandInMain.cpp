// The link stand-in: a TCP proxy whose delay, byte rate, cuts and silence are set over HTTP.
//
// POST /control {"delayMs","bytesPerSecond","cut","silent","silentExisting"} replaces the behaviour; GET /stats.
#include "Http/ErrorBody.h"
#include "Http/EventLoop.h"
#include "Http/Server.h"
#include "StandIns/LinkProxy.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <sstream>
#include <vector>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to accept connections on, or a comma-separated list");
DEFINE_string(target, "", "IP:port to forward them to, or a comma-separated list of the same length");
DEFINE_string(control, "127.0.0.1:0", "IP:port of the HTTP control interface");
DEFINE_int64(delay_ms, 0, "one-way delay");
DEFINE_int64(bytes_per_second, 0, "limit of each direction over all connections; 0 for none");

namespace {

using nlohmann::json;

std::vector<std::string> splitList(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

void applyControl(StandIns::LinkProxy& proxy, const json& wanted)
{
    StandIns::LinkProxy::Behaviour behaviour;
    behaviour.delay = std::chrono::milliseconds(wanted.value("delayMs", FLAGS_delay_ms));
    behaviour.bytesPerSecond = wanted.value("bytesPerSecond", FLAGS_bytes_per_second);
    behaviour.cut = wanted.value("cut", false);
    behaviour.silent = wanted.value("silent", false);
    proxy.setBehaviour(behaviour);
    if (wanted.value("silentExisting", false))
        proxy.silenceExisting();
}

std::string stats(const StandIns::LinkProxy& proxy)
{
    const json body { { "open", proxy.openConnections() }, { "bytesForward", proxy.bytesForward() },
        { "bytesBack", proxy.bytesBack() } };
    return body.dump();
}

void handleControl(StandIns::LinkProxy& proxy, const Http::Request& request, const Http::Server::Responder& respond)
{
    if (request.target == "/stats") {
        respond(Http::jsonResponse(200, stats(proxy)));
        return;
    }
    try {
        applyControl(proxy, json::parse(request.body));
        respond(Http::jsonResponse(200, "{}"));
    } catch (const json::exception& error) {
        respond(Http::errorResponse(Common::ErrorCode::MalformedRequest, error.what()));
    }
}

/// Opens all routes and the control port. Returns false when one can't be opened.
bool openAll(StandIns::LinkProxy& proxy, Http::Server& control)
{
    const auto listens = splitList(FLAGS_listen);
    const auto targets = splitList(FLAGS_target);
    if (listens.size() != targets.size()) {
        std::cerr << "--listen and --target differ in length\n";
        return false;
    }
    for (size_t i = 0; i < listens.size(); ++i) {
        const auto port = proxy.addRoute(listens[i], targets[i]);
        if (!port) {
            std::cerr << port.reason().detail << '\n';
            return false;
        }
        std::cout << "listening on port " << *port << '\n';
    }
    const auto port = control.listen(FLAGS_control);
    if (!port) {
        std::cerr << port.reason().detail << '\n';
        return false;
    }
    std::cout << "control on port " << *port << std::endl; // NOLINT: scripts wait for this line
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Http::EventLoop loop;
    StandIns::LinkProxy proxy(loop);
    applyControl(proxy, json::object());
    Http::Server control(loop, {}, [&](const Http::Request& request, const Http::Server::Responder& respond) {
        handleControl(proxy, request, respond);
    });
    if (!openAll(proxy, control))
        return 1;
    loop.onSignals({ SIGINT, SIGTERM }, [&](int) { loop.stop(); });
    loop.run();
    return 0;
}
