// One HTTP call of the tool to a daemon.
#pragma once

#include "Common/Units.h"

#include <string>
#include <utility>
#include <vector>

namespace Cli {

struct HttpCall {
    std::string method = "GET";
    /// Path with query.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Common::Duration timeout = std::chrono::seconds(5);
    /// May be sent again to another daemon after its answer was lost: it only reads, or carries an id.
    bool repeatable = true;
};

} // namespace Cli
