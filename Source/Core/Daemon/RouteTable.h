// Finds the handler of an HTTP call by method and path.
#pragma once

#include "Daemon/ApiTypes.h"

#include <string>
#include <vector>

namespace Daemon {

class RouteTable {
public:
    /// `pattern` is a path; its segment "*" matches any one segment that is not empty: "/v1/jobs/*".
    void add(const std::string& method, const std::string& pattern, ApiHandler);
    /// Calls the handler of the first matching route. Answers UnknownRoute if no route matches, and MalformedRequest if
    /// the handler throws a JSON exception.
    void serve(Http::Request, const ApiReply&) const;

private:
    struct Route {
        std::string method;
        std::vector<std::string> segments;
        ApiHandler handler;
    };

    static bool matches(const Route&, const std::vector<std::string>& segments);

    std::vector<Route> m_routes;
};

} // namespace Daemon
