// Conversion of host lists to and from JSON.
#include "Membership/HostListMessage.h"

#include "Common/Hash.h"

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

nlohmann::json toJson(const HostListMessage& message)
{
    nlohmann::json json = {
        { "wall", message.fetchedAt.wallMilliseconds },
        { "counter", message.fetchedAt.counter },
        { "digest", message.digest },
    };
    if (message.hosts) {
        nlohmann::json hosts = nlohmann::json::array();
        for (const Scheduler::HostEntry& host : *message.hosts)
            hosts.push_back(hostToJson(host));
        json["hosts"] = std::move(hosts);
    }
    return json;
}

Common::Result<HostListMessage> hostListFromJson(const nlohmann::json& json)
{
    try {
        HostListMessage message;
        message.fetchedAt.wallMilliseconds = json.at("wall").get<int64_t>();
        message.fetchedAt.counter = json.at("counter").get<uint32_t>();
        message.digest = json.at("digest").get<uint64_t>();
        if (json.contains("hosts")) {
            message.hosts.emplace();
            for (const nlohmann::json& host : json.at("hosts"))
                message.hosts->push_back(hostFromJson(host));
        }
        return message;
    } catch (const nlohmann::json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("host list: ") + error.what() };
    }
}

uint64_t digestOf(const std::vector<Scheduler::HostEntry>& hosts)
{
    uint64_t digest = Common::stableHash("");
    for (const Scheduler::HostEntry& host : hosts) {
        const char state = host.state == Scheduler::HostState::Leaving ? 'l' : 'a';
        const std::string row = host.worker.value() + '\n' + host.domain.value() + '\n' + host.address + '\n' + state;
        digest = digest * 31 + Common::stableHash(row);
    }
    return digest;
}

} // namespace Membership
