#pragma once

#include <optional>
#include <string>
#include <vector>

namespace rattanrack::tools {

/// Which of the nodes took the cell over last, by the terms in their logs. `logPaths` holds one log for each node.
std::optional<std::size_t> cellOwner(const std::vector<std::string>& logPaths, const std::string& cell);

} // namespace rattanrack::tools
