// Compares two configuration documents.
#pragma once

#include "Config/Checked.h"

#include <string>
#include <string_view>
#include <vector>

namespace Config {

/// One path whose value differs. An empty value means that the path does not exist in that document.
struct DocumentChange {
    std::string path;
    /// The values as JSON.
    std::string before;
    std::string after;

    bool operator==(const DocumentChange&) const = default;
};

/// Compares two JSON texts with comments and lists the differences in path order. A text that can't be parsed counts
/// as empty.
std::vector<DocumentChange> difference(std::string_view before, std::string_view after);

} // namespace Config
