// An atomic change of several records, committed by RecordStore::commit.
#pragma once

#include "Common/Ids.h"
#include "Common/Units.h"

#include <string>
#include <utility>
#include <vector>

namespace Cells {

/// Either all of its changes are made or none.
struct RecordTransaction {
    struct Put {
        std::string key;
        std::string value;
        /// The record is removed when this lease ends; empty: the record is permanent.
        Common::LeaseId lease;
    };

    /// Each key with the revision that it must have; zero: it must not exist.
    std::vector<std::pair<std::string, Common::StoreRevision>> expected;
    std::vector<Put> puts;
    std::vector<std::string> removals;

    size_t entries() const { return expected.size() + puts.size() + removals.size(); }
};

} // namespace Cells
