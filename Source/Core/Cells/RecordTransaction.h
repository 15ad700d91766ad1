// An atomic change of several records.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <string>
#include <utility>
#include <vector>

namespace Cells {

/// All of it is done, or nothing.
struct RecordTransaction {
    struct Put {
        std::string key;
        std::string value;
        /// The record goes when this lease ends; empty: it stays.
        Common::LeaseId lease;
    };

    /// Each key with the revision that it must have; zero: it must not exist.
    std::vector<std::pair<std::string, Common::StoreRevision>> expected;
    std::vector<Put> puts;
    std::vector<std::string> removals;

    size_t entries() const { return expected.size() + puts.size() + removals.size(); }
};

} // namespace Cells
