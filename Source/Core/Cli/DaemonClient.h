// Calls daemons: tries several addresses in turn, and decodes JSON answers and failures.
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
    /// `addresses` are "IP:port". The transport outlives the client.
    DaemonClient(Transport&, std::vector<std::string> addresses);

    /// Tries the addresses in turn until a daemon answers. The answer of a draining daemon is returned only if no other
    /// daemon answers. After a try that may have reached a daemon, only a repeatable call is sent to the next address.
    /// If no daemon answers, the failure is that of the first such try, otherwise ConnectFailed.
    Common::Result<HttpReply> call(const HttpCall&);
    /// Calls this address only.
    Common::Result<HttpReply> callAt(const std::string& address, const HttpCall&);
    const std::vector<std::string>& addresses() const { return m_addresses; }

private:
    Transport& m_transport;
    std::vector<std::string> m_addresses;
};

/// The body of an answer with a 2xx status, or ProtocolError if it is not a JSON object. For any other status, the
/// failure in the answer.
Common::Result<nlohmann::json> jsonOf(const Common::Result<HttpReply>&);
/// The failure in an error body; ProtocolError if it can't be read. OutcomeUnknown if this daemon's refusal does not
/// show what an earlier try at another daemon did.
Common::Failure failureOf(const HttpReply&);
/// Encodes a text for a path segment or a query string.
std::string percentEncoded(const std::string&);

} // namespace Cli
