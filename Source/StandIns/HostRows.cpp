// Converts rows of the platform's host list from and to JSON.
#include "StandIns/HostRows.h"

#include <nlohmann/json.hpp>

#include <string>

namespace StandIns {

namespace {

    Scheduler::HostEntry readHostRow(const nlohmann::json& row)
    {
        Scheduler::HostEntry host;
        host.worker = Common::WorkerId(row.at("worker").get<std::string>());
        host.domain = Common::DomainId(row.at("domain").get<std::string>());
        host.address = row.at("address").get<std::string>();
        const bool leaving = row.value("state", "live") == "leaving";
        host.state = leaving ? Scheduler::HostState::Leaving : Scheduler::HostState::Live;
        return host;
    }

} // namespace

std::vector<Scheduler::HostEntry> readHostRows(const nlohmann::json& rows)
{
    std::vector<Scheduler::HostEntry> hosts;
    hosts.reserve(rows.size());
    for (const nlohmann::json& row : rows)
        hosts.push_back(readHostRow(row));
    return hosts;
}

nlohmann::json writeHostRows(const std::vector<Scheduler::HostEntry>& hosts)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const Scheduler::HostEntry& host : hosts) {
        const bool leaving = host.state == Scheduler::HostState::Leaving;
        rows.push_back({ { "worker", host.worker.value() }, { "domain", host.domain.value() },
            { "address", host.address }, { "state", leaving ? "leaving" : "live" } });
    }
    return rows;
}

} // namespace StandIns
