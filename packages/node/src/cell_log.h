#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/jobs/cell_event.h"

#include <string>

namespace rattanrack::node {

/// Writes the log line of what a cell has decided or come to believe under the owner's `term`; returns its name.
std::string logCellEvent(const PoolId& cell, jobs::Fence term, const jobs::CellEvent& event);

} // namespace rattanrack::node
