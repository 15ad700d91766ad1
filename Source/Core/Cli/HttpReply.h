// The answer to a call of the tool.
#pragma once

#include <map>
#include <string>

namespace Cli {

/// Invariant: the body is whole.
struct HttpReply {
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// An earlier try of a call that changes something may have arrived at another daemon.
    bool afterLostAnswer = false;

    std::string header(const std::string& lowerCaseName) const
    {
        const auto found = headers.find(lowerCaseName);
        return found == headers.end() ? std::string() : found->second;
    }
};

} // namespace Cli
