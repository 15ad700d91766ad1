// How an operator's change ended.
#pragma once

#include "Common/Failure.h"
#include "Common/Units.h"
#include "Config/DocumentDifference.h"
#include "Config/SettingFault.h"

#include <functional>
#include <variant>
#include <vector>

namespace Config {

/// Durable, and in force in this process unless a later revision is.
struct ChangeAccepted {
    Common::ConfigRevision revision;
};

/// Another change was accepted since the revision that this one was edited from. Nothing was written.
struct ChangeConflict {
    Common::ConfigRevision base;
    Common::ConfigRevision current;
    /// From the document in force to the refused one.
    std::vector<DocumentChange> difference;
};

/// The document has faults. Nothing was written.
struct ChangeRejected {
    std::vector<SettingFault> faults;
};

/// Or a failure: StoreUnavailable means that nothing was written; OutcomeUnknown that the change may yet be accepted.
/// Repeating it with the same change id is safe.
using ApplyOutcome = std::variant<ChangeAccepted, ChangeConflict, ChangeRejected, Common::Failure>;
using ApplyCallback = std::function<void(ApplyOutcome)>;

} // namespace Config
