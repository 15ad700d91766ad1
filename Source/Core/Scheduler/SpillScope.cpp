// Names of spill scopes.
#include "Scheduler/SpillScope.h"

namespace Scheduler {

std::string_view spillScopeName(SpillScope scope)
{
    switch (scope) {
    case SpillScope::Domain:
        return "domain";
    case SpillScope::Region:
        return "region";
    case SpillScope::Everywhere:
        return "everywhere";
    }
    return "domain";
}

std::optional<SpillScope> spillScopeFromName(std::string_view name)
{
    for (const SpillScope scope : { SpillScope::Domain, SpillScope::Region, SpillScope::Everywhere }) {
        if (spillScopeName(scope) == name)
            return scope;
    }
    return std::nullopt;
}

} // namespace Scheduler
