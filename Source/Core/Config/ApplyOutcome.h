// Outcomes of an operator's change to the configuration.
#pragma once

#include "Common/Failure.h"
#include "Common/Units.h"
#include "Config/DocumentDifference.h"
#include "Config/SettingFault.h"

#include <functional>
#include <variant>
#include <vector>

namespace Config {

/// The change is durable, and in force in this process unless a later revision already is.
struct ChangeAccepted {
    Common::ConfigRevision revision;
};

/// Another change was accepted since the revision that this one was edited from. Nothing was written.
struct ChangeConflict {
    Common::ConfigRevision base;
    Common::ConfigRevision current;
    /// What differs between the current document and the refused one.
    std::vector<DocumentChange> difference;
};

/// The document has faults. Nothing was written.
struct ChangeRejected {
    std::vector<SettingFault> faults;
};

/// Failures: StoreUnavailable (nothing was written), OutcomeUnknown (the change may still be accepted) and
/// MalformedRequest (no change id, or an author that is not UTF-8). Repeating a change with its change id is safe.
using ApplyOutcome = std::variant<ChangeAccepted, ChangeConflict, ChangeRejected, Common::Failure>;
using ApplyCallback = std::function<void(ApplyOutcome)>;

} // namespace Config
