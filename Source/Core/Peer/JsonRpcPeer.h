// Calls between daemons: JSON-RPC in HTTP messages on the event loop.
#pragma once

#include "Peer/RpcCodec.h"
#include "Scheduler/PeerPort.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace Http {
class Client;
}

namespace Peer {

/// libjsonrpccpp writes and reads the messages; they ride on the daemon's own HTTP server and client.
/// A failure's type travels in the error's data.
class JsonRpcPeer final : public Scheduler::PeerPort {
public:
    /// Where the daemon mounts handle().
    static constexpr const char* path = "/peer/rpc";

    explicit JsonRpcPeer(Http::Client&);

    void call(const std::string& address, const std::string& method, const nlohmann::json& params,
        Common::Duration timeout, Reply) override;
    void serve(const std::string& method, Handler) override;

    /// Serves one message; `reply` is called once, maybe later.
    void handle(const std::string& body, std::function<void(std::string)> reply);

private:
    Http::Client& m_client;
    RpcCodec m_codec;
    std::unordered_map<std::string, Handler> m_handlers;
};

} // namespace Peer
