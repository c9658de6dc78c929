#pragma once

#include <string>
#include <vector>

namespace rattanrack::cli {

/// Columns of text, each as wide as its widest cell. Every row must have as many cells as the head.
class TextTable {
public:
    using Row = std::vector<std::string>;

    explicit TextTable(Row head) { m_rows.push_back(std::move(head)); }
    void add(Row row) { m_rows.push_back(std::move(row)); }

    std::string text() const;

private:
    std::vector<Row> m_rows;
};

} // namespace rattanrack::cli
