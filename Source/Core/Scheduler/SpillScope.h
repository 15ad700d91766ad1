// How far from the failure domain that received it a profile's work may run.
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

/// The name used in the configuration, in lower case ("region").
std::string_view spillScopeName(SpillScope);
/// The inverse of spillScopeName(); nothing for an unknown name.
std::optional<SpillScope> spillScopeFromName(std::string_view);

} // namespace Scheduler
