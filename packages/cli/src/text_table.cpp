#include "text_table.h"

#include <algorithm>

namespace rattanrack::cli {

std::string TextTable::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const Row& row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const Row& row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace rattanrack::cli
