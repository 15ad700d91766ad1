// Plain-text tables.
#pragma once

#include <string>
#include <vector>

namespace Cli {

/// Columns as wide as their widest cell, two spaces between them, no trailing spaces.
/// Control characters in cells are shown as '?', so that a cell can't break the table or the terminal.
std::string renderTable(const std::vector<std::string>& header, const std::vector<std::vector<std::string>>& rows);

} // namespace Cli
