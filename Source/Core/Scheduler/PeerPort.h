// Interface for calls between daemons.
#pragma once

#include "Common/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace Scheduler {

/// JSON-RPC between daemons. Each service defines its own typed messages, and converts them to and from JSON only where
/// it calls this interface.
class PeerPort {
public:
    using Reply = Common::Callback<nlohmann::json>;
    using Handler = std::function<void(const nlohmann::json& params, Reply)>;

    virtual ~PeerPort() = default;

    /// `address` is "IP:port" of the peer. Fails with ConnectFailed, Timeout, ConnectionLost, or the peer's own code.
    virtual void call(const std::string& address, const std::string& method, const nlohmann::json& params,
        Common::Duration timeout, Reply)
        = 0;
    /// Registers the handler of `method`, one per method, for calls from other daemons.
    virtual void serve(const std::string& method, Handler) = 0;
};

} // namespace Scheduler
