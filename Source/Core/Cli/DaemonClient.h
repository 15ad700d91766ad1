// Calls daemons: several addresses in turn, JSON in answers, typed failures.
#pragma once

#include "Cli/HttpReply.h"
#include "Common/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Cli {

class Transport;
struct HttpCall;

class DaemonClient {
public:
    DaemonClient(Transport&, std::vector<std::string> addresses);

    /// Tries the addresses until one answers; one that refuses because it drains is passed over as long as there are
    /// others. After a try that may have reached a daemon only a repeatable call goes
    /// on; if none answers, the failure is that of the first such try, otherwise ConnectFailed.
    Common::Result<HttpReply> call(const HttpCall&);
    Common::Result<HttpReply> callAt(const std::string& address, const HttpCall&);
    const std::vector<std::string>& addresses() const { return m_addresses; }

private:
    Transport& m_transport;
    std::vector<std::string> m_addresses;
};

/// The body of an answer with a 2xx status; otherwise the failure that the answer names.
Common::Result<nlohmann::json> jsonOf(const Common::Result<HttpReply>&);
/// The failure in an error body.
Common::Failure failureOf(const HttpReply&);
/// For a query string.
std::string percentEncoded(const std::string&);

} // namespace Cli
