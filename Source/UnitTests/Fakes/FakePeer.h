// Calls between daemons over the fake network, for tests of several daemons in one process.
#pragma once

#include "Fakes/FakeCall.h"
#include "Scheduler/PeerPort.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <functional>
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
        if (maximumConnections == 0) {
            callAtOnce(address, method, params, timeout, std::move(reply));
            return;
        }
        const Common::MonotonicTime deadline = m_process.now() + timeout;
        const auto isOver = std::make_shared<bool>(false);
        m_waiting[address].push_back([this, address, method, params, deadline, isOver, reply] {
            if (std::exchange(*isOver, true))
                return;
            ++m_connections[address];
            callAtOnce(address, method, params, deadline - m_process.now(),
                [this, address, reply](const Common::Result<nlohmann::json>& answer) {
                    --m_connections[address];
                    reply(answer);
                    useConnections(address);
                });
        });
        m_process.schedule(timeout, [isOver, address, reply] {
            if (!std::exchange(*isOver, true))
                reply(Common::Failure { Common::ErrorCode::ConnectFailed, address, std::nullopt });
        });
        useConnections(address);
    }
    void serve(const std::string& method, Handler handler) override { m_handlers[method] = std::move(handler); }
    /// Calls to an address beyond this number wait for a connection, as with Http::Client. 0: no limit.
    size_t maximumConnections = 0;
    /// Time that this daemon takes for a call. Calls are served one after the other, also if their callers have given
    /// them up.
    Common::Duration serviceTime {};
    /// Number of calls that this daemon has received and not served yet.
    size_t queuedCalls() const
    {
        if (serviceTime == Common::Duration::zero())
            return 0;
        const Common::Duration left = m_servedUntil - m_process.now();
        return left > Common::Duration::zero() ? static_cast<size_t>(left / serviceTime) : 0;
    }
    /// The open connections to all other daemons fall silent. Calls to an address are lost until the first of them has
    /// timed out; as with Http::Client, the next one opens a new connection.
    void silenceConnections()
    {
        for (const auto& [address, peer] : m_directory)
            m_silent.insert(address);
    }

private:
    void useConnections(const std::string& address)
    {
        std::deque<std::function<void()>>& waiting = m_waiting[address];
        while (!waiting.empty() && m_connections[address] < maximumConnections) {
            const std::function<void()> next = std::move(waiting.front());
            waiting.pop_front();
            next();
        }
    }
    void callAtOnce(const std::string& address, const std::string& method, const nlohmann::json& params,
        Common::Duration timeout, Reply reply)
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
            const auto serve = [peer, method, params, answer] {
                const auto handler = peer->m_handlers.find(method);
                if (handler != peer->m_handlers.end())
                    handler->second(params, answer);
            };
            if (peer->serviceTime == Common::Duration::zero())
                peer->m_process.post(serve);
            else
                peer->m_process.schedule(peer->queueForService(), serve);
        };
        callOver<nlohmann::json>(m_network, m_process, m_address, address, timeout, serveAtReceiver, std::move(reply));
    }
    /// Queues a call; returns the time until it is served.
    Common::Duration queueForService()
    {
        m_servedUntil = std::max(m_servedUntil, m_process.now()) + serviceTime;
        return m_servedUntil - m_process.now();
    }

    FakeNetwork& m_network;
    FakeProcess& m_process;
    Directory& m_directory;
    std::string m_address;
    std::map<std::string, Handler> m_handlers;
    Common::MonotonicTime m_servedUntil {};
    std::map<std::string, size_t> m_connections;
    std::map<std::string, std::deque<std::function<void()>>> m_waiting;
    /// Addresses to which the open connections are silent.
    std::set<std::string> m_silent;
};

} // namespace Fakes
