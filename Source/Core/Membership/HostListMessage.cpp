// The host list as JSON.
#include "Membership/HostListMessage.h"

#include <nlohmann/json.hpp>

namespace Membership {

namespace {

    nlohmann::json hostToJson(const Scheduler::HostEntry& host)
    {
        return {
            { "worker", host.worker.value() },
            { "domain", host.domain.value() },
            { "address", host.address },
            { "leaving", host.state == Scheduler::HostState::Leaving },
        };
    }

    Scheduler::HostEntry hostFromJson(const nlohmann::json& json)
    {
        Scheduler::HostEntry host;
        host.worker = Common::WorkerId(json.at("worker").get<std::string>());
        host.domain = Common::DomainId(json.at("domain").get<std::string>());
        host.address = json.at("address").get<std::string>();
        host.state = json.at("leaving").get<bool>() ? Scheduler::HostState::Leaving : Scheduler::HostState::Live;
        return host;
    }

} // namespace

nlohmann::json toJson(Common::HybridTime time)
{
    return { { "wall", time.wallMilliseconds }, { "counter", time.counter } };
}

Common::HybridTime hybridTimeFromJson(const nlohmann::json& json)
{
    return { json.value("wall", int64_t { 0 }), json.value("counter", uint32_t { 0 }) };
}

nlohmann::json toJson(const HostListMessage& message)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const Scheduler::HostEntry& host : message.hosts)
        hosts.push_back(hostToJson(host));
    return { { "fetchedAt", toJson(message.fetchedAt) }, { "hosts", std::move(hosts) } };
}

Common::Result<HostListMessage> hostListFromJson(const nlohmann::json& json)
{
    try {
        HostListMessage message;
        message.fetchedAt = hybridTimeFromJson(json.at("fetchedAt"));
        for (const nlohmann::json& host : json.at("hosts"))
            message.hosts.push_back(hostFromJson(host));
        return message;
    } catch (const nlohmann::json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("host list: ") + error.what() };
    }
}

} // namespace Membership
