// Calls between daemons: JSON-RPC messages over HTTP.
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

/// libjsonrpccpp encodes and decodes the messages; the daemon's own HTTP server and client carry them. The code, detail
/// and retry time of a failure are in the data of the JSON-RPC error. An answer that can't be read fails with
/// ProtocolError.
class JsonRpcPeer final : public Scheduler::PeerPort {
public:
    /// The HTTP path whose requests the daemon passes to handle().
    static constexpr const char* path = "/peer/rpc";

    explicit JsonRpcPeer(Http::Client&);

    void call(const std::string& address, const std::string& method, const nlohmann::json& params,
        Common::Duration timeout, Reply) override;
    void serve(const std::string& method, Handler) override;

    /// Serves one message. `reply` is called once, possibly later.
    void handle(const std::string& body, std::function<void(std::string)> reply);

private:
    Http::Client& m_client;
    RpcCodec m_codec;
    std::unordered_map<std::string, Handler> m_handlers;
};

} // namespace Peer
