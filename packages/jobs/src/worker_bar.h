#pragma once

#include "cell_state.h"

#include <optional>

namespace rattanrack::jobs {

/// Why no start may be sent at `now` to a worker in the stored list, whatever its room; nothing: starts may be sent.
std::optional<MissingRunReason> barOf(const Worker& worker, const CellState& state, TimePoint now);

} // namespace rattanrack::jobs
