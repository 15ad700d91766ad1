// Serves the store stand-in over HTTP.
#include "StandIns/StoreServer.h"

#include "Http/ErrorBody.h"
#include "Http/EventLoop.h"
#include "Http/Target.h"
#include "StandIns/HostRows.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace StandIns {

namespace {

    using Common::ErrorCode;
    using Http::jsonResponse;
    using Http::Server;
    using nlohmann::json;

    constexpr std::chrono::milliseconds leaseCheckInterval { 20 };
    constexpr int64_t maximumWatchMilliseconds = 120'000;

    json writeValue(const Scheduler::StoreValue& value)
    {
        return { { "key", value.key }, { "value", value.value }, { "revision", value.revision.value } };
    }

    json writeValues(const std::vector<Scheduler::StoreValue>& values)
    {
        json entries = json::array();
        for (const Scheduler::StoreValue& value : values)
            entries.push_back(writeValue(value));
        return entries;
    }

    std::string writeChanges(const Scheduler::StoreChanges& changes)
    {
        const json body { { "upTo", changes.upTo.value }, { "written", writeValues(changes.written) },
            { "removed", changes.removed } };
        return body.dump();
    }

    std::optional<Common::StoreRevision> expectedRevision(const Http::Target& target)
    {
        const auto expected = target.number("expect");
        if (!expected)
            return std::nullopt;
        return Common::StoreRevision { static_cast<uint64_t>(*expected) };
    }

    Http::Response malformed(const std::string& why) { return Http::errorResponse(ErrorCode::MalformedRequest, why); }

    bool isUtf8(const std::string& value)
    {
        // Values travel inside JSON, so they must be UTF-8.
        try {
            static_cast<void>(json(value).dump());
            return true;
        } catch (const json::exception&) {
            return false;
        }
    }

} // namespace

StoreServer::StoreServer(Http::EventLoop& loop, Settings settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_state([&loop] { return loop.now(); }, settings.hostListLag)
    , m_server(loop, {},
          [this](const Http::Request& request, const Server::Responder& respond) { handle(request, respond); })
{
    scheduleLeaseExpiry();
}

void StoreServer::scheduleLeaseExpiry()
{
    const auto timer = m_loop.schedule(leaseCheckInterval, [this] {
        m_state.expireLeases();
        scheduleLeaseExpiry();
    });
    m_leaseTimer = timer.value;
}

StoreServer::~StoreServer()
{
    m_loop.cancel(Scheduler::TimerId { m_leaseTimer });
    for (const auto& [id, watch] : m_watches)
        m_loop.cancel(Scheduler::TimerId { watch.timer });
}

void StoreServer::setFaults(const Faults& faults)
{
    m_faults = faults;
    if (!faults.down)
        return;
    while (!m_watches.empty())
        endWatch(m_watches.begin()->first, { Server::dropConnection, {}, {} });
}

uint64_t StoreServer::calls(const std::string& kind) const
{
    const auto found = m_calls.find(kind);
    return found == m_calls.end() ? 0 : found->second;
}

void StoreServer::handle(const Http::Request& request, const Server::Responder& respond)
{
    const Http::Target target = Http::parseTarget(request.target);
    if (handleStandInCall(request, target, respond))
        return;
    if (m_faults.down) {
        respond({ Server::dropConnection, {}, {} });
        return;
    }
    m_bytesIn += request.body.size() + request.target.size();
    handleStoreCall(request, target, delayed([this, respond](Http::Response response) {
        m_bytesOut += response.body.size();
        respond(std::move(response));
    }));
}

bool StoreServer::handleStandInCall(
    const Http::Request& request, const Http::Target& target, const Server::Responder& respond)
{
    if (target.path == "/stats") {
        respond(jsonResponse(200, stats()));
        return true;
    }
    if (request.method != "POST")
        return false;
    if (target.path == "/faults") {
        readFaults(request.body, respond);
        return true;
    }
    if (target.path == "/hosts") {
        updateHosts(request.body, respond);
        return true;
    }
    return false;
}

void StoreServer::handleStoreCall(
    const Http::Request& request, const Http::Target& target, const Server::Responder& respond)
{
    const auto key = target.after("/kv/");
    const auto lease = target.after("/leases/");
    if (key && request.method == "GET")
        get(*key, respond);
    else if (key && request.method == "PUT")
        put(*key, target, request.body, respond);
    else if (key && request.method == "DELETE")
        remove(*key, target, respond);
    else if (target.path == "/kv" && request.method == "GET")
        list(target, respond);
    else if (target.path == "/watch" && request.method == "GET")
        watch(target, respond);
    else if (target.path == "/leases" && request.method == "POST")
        grantLease(request.body, respond);
    else if (lease && lease->ends_with("/renew") && request.method == "POST")
        renewLease(lease->substr(0, lease->size() - std::string_view("/renew").size()), respond);
    else if (target.path == "/hosts" && request.method == "GET") {
        count("hosts");
        const json body { { "hosts",
            writeHostRows(m_state.hosts(Common::DomainId(target.parameter("domain").value_or("")))) } };
        respond(jsonResponse(200, body.dump()));
    } else
        respond(Http::errorResponse(ErrorCode::UnknownRoute, target.path));
}

Server::Responder StoreServer::delayed(Server::Responder respond)
{
    if (m_faults.hang)
        return [](const Http::Response&) {};
    const Common::Duration delay = m_settings.latency + m_faults.slow;
    if (delay == Common::Duration::zero())
        return respond;
    return [this, delay, respond = std::move(respond)](Http::Response response) {
        auto kept = std::make_shared<Http::Response>(std::move(response));
        m_loop.schedule(delay, [respond, kept] { respond(std::move(*kept)); });
    };
}

void StoreServer::count(const std::string& kind) { ++m_calls[kind]; }

void StoreServer::answerWrite(const Server::Responder& respond, Http::Response response)
{
    if (m_faults.forgetAnswers > 0) {
        --m_faults.forgetAnswers;
        respond({ Server::dropConnection, {}, {} });
        return;
    }
    respond(std::move(response));
}

void StoreServer::get(const std::string& key, const Server::Responder& respond)
{
    count("get");
    const auto value = m_state.get(key);
    if (value)
        respond(jsonResponse(200, writeValue(*value).dump()));
    else
        respond(jsonResponse(404, R"({"error":{"code":"unknown-route","message":"no such key"}})"));
}

void StoreServer::list(const Http::Target& target, const Server::Responder& respond)
{
    count("list");
    const json body { { "entries", writeValues(m_state.list(target.parameter("prefix").value_or(""))) },
        { "revision", m_state.revision().value } };
    respond(jsonResponse(200, body.dump()));
}

void StoreServer::put(
    const std::string& key, const Http::Target& target, const std::string& value, const Server::Responder& respond)
{
    count("put");
    if (m_faults.hang)
        return;
    if (!isUtf8(value)) {
        respond(malformed("the value is not UTF-8"));
        return;
    }
    const auto written
        = m_state.put(key, expectedRevision(target), value, Common::LeaseId(target.parameter("lease").value_or("")));
    if (!written) {
        respond(Http::errorResponse(written.reason()));
        return;
    }
    const json body { { "revision", written->value } };
    answerWrite(respond, jsonResponse(200, body.dump()));
}

void StoreServer::remove(const std::string& key, const Http::Target& target, const Server::Responder& respond)
{
    count("remove");
    if (m_faults.hang)
        return;
    const auto removed = m_state.remove(key, expectedRevision(target));
    if (!removed) {
        respond(Http::errorResponse(removed.reason()));
        return;
    }
    answerWrite(respond, jsonResponse(200, "{}"));
}

void StoreServer::watch(const Http::Target& target, const Server::Responder& respond)
{
    count("watch");
    const uint64_t id = ++m_lastWatch;
    const std::string prefix = target.parameter("prefix").value_or("");
    const Common::StoreRevision since { static_cast<uint64_t>(target.number("since").value_or(0)) };
    const int64_t wait = std::min(target.number("waitMs").value_or(0), maximumWatchMilliseconds);
    m_watches.emplace(id, PendingWatch { respond, 0 });
    const uint64_t stateWatch = m_state.watch(prefix, since,
        [this, id](const Scheduler::StoreChanges& changes) { endWatch(id, jsonResponse(200, writeChanges(changes))); });
    const auto pending = m_watches.find(id);
    if (pending == m_watches.end())
        return;
    pending->second.timer = m_loop
                                .schedule(std::chrono::milliseconds(wait),
                                    [this, id, stateWatch] {
                                        m_state.cancelWatch(stateWatch);
                                        const Scheduler::StoreChanges none { m_state.revision(), {}, {} };
                                        endWatch(id, jsonResponse(200, writeChanges(none)));
                                    })
                                .value;
}

void StoreServer::endWatch(uint64_t id, Http::Response response)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    const PendingWatch watch = std::move(found->second);
    m_watches.erase(found);
    m_loop.cancel(Scheduler::TimerId { watch.timer });
    watch.respond(std::move(response));
}

void StoreServer::grantLease(const std::string& body, const Server::Responder& respond)
{
    count("lease-grant");
    if (m_faults.hang)
        return;
    const json wanted = json::parse(body, nullptr, false);
    if (!wanted.is_object() || !wanted.contains("ttlMs") || !wanted["ttlMs"].is_number()) {
        respond(malformed("ttlMs is missing"));
        return;
    }
    const auto lease = m_state.grantLease(std::chrono::milliseconds(wanted["ttlMs"].get<int64_t>()));
    const json answer { { "lease", lease.value() } };
    answerWrite(respond, jsonResponse(200, answer.dump()));
}

void StoreServer::renewLease(const std::string& lease, const Server::Responder& respond)
{
    count("lease-renew");
    if (m_faults.hang)
        return;
    const auto renewed = m_state.renewLease(Common::LeaseId(lease));
    if (!renewed) {
        Http::Response response = Http::errorResponse(renewed.reason());
        response.status = 404;
        respond(std::move(response));
        return;
    }
    answerWrite(respond, jsonResponse(200, "{}"));
}

void StoreServer::updateHosts(const std::string& body, const Server::Responder& respond)
{
    try {
        const json wanted = json::parse(body);
        m_state.updateHosts(readHostRows(wanted.at("hosts")), wanted.value("replace", false));
        respond(jsonResponse(200, "{}"));
    } catch (const json::exception& error) {
        respond(malformed(error.what()));
    }
}

void StoreServer::readFaults(const std::string& body, const Server::Responder& respond)
{
    try {
        const json wanted = json::parse(body);
        Faults faults;
        faults.down = wanted.value("down", false);
        faults.hang = wanted.value("hang", false);
        faults.slow = std::chrono::milliseconds(wanted.value("slowMs", int64_t { 0 }));
        faults.forgetAnswers = wanted.value("forgetAnswers", int64_t { 0 });
        setFaults(faults);
        respond(jsonResponse(200, "{}"));
    } catch (const json::exception& error) {
        respond(malformed(error.what()));
    }
}

std::string StoreServer::stats() const
{
    static const std::set<std::string> writeKinds { "put", "remove", "lease-grant", "lease-renew" };
    uint64_t reads = 0;
    uint64_t writes = 0;
    for (const auto& [kind, calls] : m_calls)
        (writeKinds.count(kind) > 0 ? writes : reads) += calls;
    const json body { { "calls", m_calls }, { "reads", reads }, { "writes", writes }, { "bytesIn", m_bytesIn },
        { "bytesOut", m_bytesOut }, { "waitingWatches", m_watches.size() }, { "revision", m_state.revision().value } };
    return body.dump();
}

} // namespace StandIns
