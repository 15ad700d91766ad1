// A daemon's answer to a call of the tool.
#pragma once

#include <map>
#include <string>

namespace Cli {

/// Invariant: the body is complete.
struct HttpReply {
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether an earlier try of this call, which changes something, may have reached another daemon.
    bool afterLostAnswer = false;

    /// Empty if there is no such header.
    std::string header(const std::string& lowerCaseName) const
    {
        const auto found = headers.find(lowerCaseName);
        return found == headers.end() ? std::string() : found->second;
    }
};

} // namespace Cli
