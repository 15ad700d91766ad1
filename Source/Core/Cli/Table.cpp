// Layout of plain-text tables.
#include "Cli/Table.h"

#include <algorithm>
#include <cctype>

namespace Cli {

namespace {

    constexpr size_t gap = 2;

    std::string printable(const std::string& cell)
    {
        std::string shown = cell;
        const auto isControl = [](char letter) { return std::iscntrl(static_cast<unsigned char>(letter)) != 0; };
        std::replace_if(shown.begin(), shown.end(), isControl, '?');
        return shown.empty() ? "-" : shown;
    }

    /// Code points: all bytes but UTF-8's continuation bytes.
    size_t width(const std::string& cell)
    {
        constexpr unsigned continuationMask = 0xC0;
        constexpr unsigned continuation = 0x80;
        return static_cast<size_t>(std::count_if(cell.begin(), cell.end(),
            [](char letter) { return (static_cast<unsigned char>(letter) & continuationMask) != continuation; }));
    }

    void appendRow(std::string& text, const std::vector<std::string>& cells, const std::vector<size_t>& widths)
    {
        for (size_t column = 0; column < cells.size(); ++column) {
            text += cells[column];
            if (column + 1 < cells.size())
                text += std::string(widths[column] - width(cells[column]) + gap, ' ');
        }
        text += '\n';
    }

} // namespace

std::string renderTable(const std::vector<std::string>& header, const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::vector<std::string>> shown { header };
    shown.insert(shown.end(), rows.begin(), rows.end());
    std::vector<size_t> widths(header.size(), 0);
    for (std::vector<std::string>& row : shown) {
        row.resize(header.size());
        for (size_t column = 0; column < row.size(); ++column) {
            row[column] = printable(row[column]);
            widths[column] = std::max(widths[column], width(row[column]));
        }
    }
    std::string text;
    for (const std::vector<std::string>& row : shown)
        appendRow(text, row, widths);
    return text;
}

} // namespace Cli
