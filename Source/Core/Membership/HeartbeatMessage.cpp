// Conversion of heartbeats to and from JSON.
#include "Membership/HeartbeatMessage.h"

#include <nlohmann/json.hpp>

namespace Membership {

nlohmann::json toJson(const HeartbeatMessage& message)
{
    nlohmann::json json = {
        { "id", message.sender.id.value() },
        { "domain", message.sender.domain.value() },
        { "region", message.sender.region.value() },
        { "address", message.sender.address },
        { "config", message.sender.configRevision.value },
        { "free", message.sender.freeSlots },
        { "total", message.sender.totalSlots },
        { "queued", message.sender.queuedRequests },
        { "started", message.startedAtMilliseconds },
        { "wall", message.time.wallMilliseconds },
        { "counter", message.time.counter },
    };
    if (message.sender.draining)
        json["draining"] = true;
    if (message.leaving)
        json["leaving"] = true;
    if (!message.knownAddresses.empty())
        json["known"] = message.knownAddresses;
    return json;
}

Common::Result<HeartbeatMessage> heartbeatFromJson(const nlohmann::json& json)
{
    try {
        HeartbeatMessage message;
        message.sender.id = Common::DaemonId(json.at("id").get<std::string>());
        message.sender.domain = Common::DomainId(json.at("domain").get<std::string>());
        message.sender.region = Common::RegionId(json.at("region").get<std::string>());
        message.sender.address = json.at("address").get<std::string>();
        message.sender.configRevision.value = json.at("config").get<uint64_t>();
        message.sender.freeSlots = json.at("free").get<int64_t>();
        message.sender.totalSlots = json.at("total").get<int64_t>();
        message.sender.queuedRequests = json.at("queued").get<int64_t>();
        message.startedAtMilliseconds = json.at("started").get<int64_t>();
        message.time.wallMilliseconds = json.at("wall").get<int64_t>();
        message.time.counter = json.at("counter").get<uint32_t>();
        message.sender.draining = json.value("draining", false);
        message.leaving = json.value("leaving", false);
        message.knownAddresses = json.value("known", std::vector<std::string>());
        return message;
    } catch (const nlohmann::json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, std::string("heartbeat: ") + error.what() };
    }
}

} // namespace Membership
