// Selects the route of a request.
#include "Cells/ServingConfig.h"

namespace Cells {

const JobRoute* ServingConfig::find(std::string_view host, std::string_view path) const
{
    const JobRoute* best = nullptr;
    for (const JobRoute& route : routes) {
        const bool matches = route.host == host && path.starts_with(route.prefix);
        if (matches && (!best || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

} // namespace Cells
