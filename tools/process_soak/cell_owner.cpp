#include "cell_owner.h"

#include <algorithm>
#include <fstream>

namespace rattanrack::tools {

namespace {

/// 0 when the node never took the cell over.
long latestTerm(const std::string& logPath, const std::string& cell)
{
    const std::string takeover = "event=cell.taken cell=" + cell + " term=";
    std::ifstream log(logPath);
    std::string line;
    long term = 0;
    while (std::getline(log, line)) {
        const std::size_t found = line.find(takeover);
        if (found != std::string::npos)
            term = std::max(term, std::strtol(line.c_str() + found + takeover.size(), nullptr, 10));
    }
    return term;
}

} // namespace

std::optional<std::size_t> cellOwner(const std::vector<std::string>& logPaths, const std::string& cell)
{
    std::optional<std::size_t> owner;
    long latest = 0;
    for (std::size_t node = 0; node < logPaths.size(); ++node) {
        const long term = latestTerm(logPaths[node], cell);
        if (term <= latest)
            continue;
        latest = term;
        owner = node;
    }
    return owner;
}

} // namespace rattanrack::tools
