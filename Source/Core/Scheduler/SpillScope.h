// How far a profile's work may go from the domain that received it.
#pragma once

#include <optional>
#include <string_view>

namespace Scheduler {

enum class SpillScope {
    /// Stays in its failure domain.
    Domain,
    /// May go to other domains of the region.
    Region,
    /// May cross the link between regions, within the link's byte budget.
    Everywhere,
};

std::string_view spillScopeName(SpillScope);
std::optional<SpillScope> spillScopeFromName(std::string_view);

} // namespace Scheduler
