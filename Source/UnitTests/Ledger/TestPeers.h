// Peer calls between the daemons of a test, with latency, lost answers and unreachable daemons.
#pragma once

#include "Scheduler/PeerPort.h"
#include "Scheduler/Runtime.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace LedgerTests {

class TestPeers {
public:
    explicit TestPeers(Scheduler::Runtime& runtime)
        : m_runtime(runtime)
    {
    }

    /// Addresses of unreachable daemons.
    std::set<std::string> cut;
    /// The method whose next answer is lost.
    std::string loseAnswerOf;
    /// Number of calls by method.
    std::map<std::string, uint64_t> calls;

    std::unique_ptr<Scheduler::PeerPort> port(const std::string& name) { return std::make_unique<Port>(*this, name); }

private:
    class Port final : public Scheduler::PeerPort {
    public:
        Port(TestPeers& peers, std::string name)
            : m_peers(peers)
            , m_name(std::move(name))
        {
        }
        void call(const std::string& address, const std::string& method, const nlohmann::json& params,
            Common::Duration timeout, Reply reply) override // NOLINT: the port's signature
        {
            m_peers.deliver(address, method, params, timeout, reply);
        }
        void serve(const std::string& method, Handler handler) override
        {
            m_peers.m_handlers[{ m_name, method }] = std::move(handler);
        }

    private:
        TestPeers& m_peers;
        std::string m_name;
    };

    void deliver(const std::string& address, const std::string& method, const nlohmann::json& params,
        Common::Duration timeout, const Scheduler::PeerPort::Reply& reply)
    {
        ++calls[method];
        const auto handler = m_handlers.find({ address, method });
        if (handler == m_handlers.end() || cut.contains(address)) {
            m_runtime.schedule(
                std::chrono::milliseconds(1), [reply] { reply(Common::Failure { Common::ErrorCode::ConnectFailed }); });
            return;
        }
        m_runtime.schedule(std::chrono::milliseconds(1), [this, handler, method, params, timeout, reply] {
            handler->second(params, [this, method, timeout, reply](const Common::Result<nlohmann::json>& answer) {
                const bool lost = loseAnswerOf == method;
                if (lost)
                    loseAnswerOf.clear();
                const Common::Failure failure { Common::ErrorCode::Timeout };
                m_runtime.schedule(lost ? timeout : std::chrono::milliseconds(1),
                    [reply, lost, failure, answer] { reply(lost ? failure : answer); });
            });
        });
    }

    Scheduler::Runtime& m_runtime;
    std::map<std::pair<std::string, std::string>, Scheduler::PeerPort::Handler> m_handlers;
};

} // namespace LedgerTests
