// Calls between daemons over the fake network.
#pragma once

#include "Fakes/FakeCall.h"
#include "Scheduler/PeerPort.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Fakes {

/// `directory` says who answers at an address now. Keep peers of killed daemons until the end of the test.
class FakePeer final : public Scheduler::PeerPort {
public:
    using Directory = std::map<std::string, FakePeer*>;

    FakePeer(FakeNetwork& network, FakeProcess& process, Directory& directory, std::string address)
        : m_network(network)
        , m_process(process)
        , m_directory(directory)
        , m_address(std::move(address))
    {
        m_directory[m_address] = this;
    }

    void call(const std::string& address, const std::string& method, const nlohmann::json& params,
        Common::Duration timeout, Reply reply) override
    {
        // The first delivery decides who takes the call, or that nobody does, as a connection would: a repeated message
        // must not turn a call that was taken into a failed connection.
        const auto taker = std::make_shared<std::optional<FakePeer*>>();
        const auto serveThere = [this, address, method, params, taker](const Reply& answer) {
            if (!*taker) {
                const auto found = m_directory.find(address);
                const bool there = found != m_directory.end() && !found->second->m_process.isKilled();
                *taker = there ? found->second : nullptr;
            }
            FakePeer* const peer = **taker;
            if (!peer) {
                answer(Common::Failure { Common::ErrorCode::ConnectFailed, address, std::nullopt });
                return;
            }
            peer->m_process.post([peer, method, params, answer] {
                const auto handler = peer->m_handlers.find(method);
                if (handler != peer->m_handlers.end())
                    handler->second(params, answer);
            });
        };
        callOver<nlohmann::json>(m_network, m_process, m_address, address, timeout, serveThere, std::move(reply));
    }
    void serve(const std::string& method, Handler handler) override { m_handlers[method] = std::move(handler); }

private:
    FakeNetwork& m_network;
    FakeProcess& m_process;
    Directory& m_directory;
    std::string m_address;
    std::map<std::string, Handler> m_handlers;
};

} // namespace Fakes
