// What changed between two configuration documents.
#pragma once

#include "Config/Checked.h"

#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// One path whose value differs. An empty text means that the path does not exist on that side.
struct DocumentChange {
    std::string path;
    /// The values as JSON.
    std::string before;
    std::string after;

    bool operator==(const DocumentChange&) const = default;
};

/// Compares two JSON texts with comments, path by path, in path order. A text that can't be parsed counts as empty.
std::vector<DocumentChange> difference(std::string_view before, std::string_view after);

} // namespace Config
