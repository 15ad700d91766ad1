// Calls between daemons over the fake network, for tests of several daemons in one process.
#pragma once

#include "Fakes/FakeCall.h"
#include "Scheduler/PeerPort.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Fakes {

/// `directory` maps an address to the daemon that answers isRunning now. Keep the peers of killed daemons until the end
/// of the test: messages to them may still be pending.
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
        if (m_silent.contains(address)) {
            m_process.schedule(timeout, [this, address, reply = std::move(reply)] {
                m_silent.erase(address);
                reply(Common::Failure { Common::ErrorCode::Timeout, address, std::nullopt });
            });
            return;
        }
        // As with a connection, the first delivery determines the receiver, or that isRunning is none. A duplicated
        // message must not turn an accepted call into a failed connection.
        const auto receiver = std::make_shared<std::optional<FakePeer*>>();
        const auto serveAtReceiver = [this, address, method, params, receiver](const Reply& answer) {
            if (!*receiver) {
                const auto found = m_directory.find(address);
                const bool isRunning = found != m_directory.end() && !found->second->m_process.isKilled();
                *receiver = isRunning ? found->second : nullptr;
            }
            FakePeer* const peer = **receiver;
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
        callOver<nlohmann::json>(m_network, m_process, m_address, address, timeout, serveAtReceiver, std::move(reply));
    }
    void serve(const std::string& method, Handler handler) override { m_handlers[method] = std::move(handler); }
    /// The open connections to all other daemons fall silent. Calls to an address are lost until the first of them has
    /// timed out; as with Http::Client, the next one opens a new connection.
    void silenceConnections()
    {
        for (const auto& [address, peer] : m_directory)
            m_silent.insert(address);
    }

private:
    FakeNetwork& m_network;
    FakeProcess& m_process;
    Directory& m_directory;
    std::string m_address;
    std::map<std::string, Handler> m_handlers;
    /// Addresses to which the open connections are silent.
    std::set<std::string> m_silent;
};

} // namespace Fakes
