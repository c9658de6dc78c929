#pragma once

#include "load_ledger.h"

#include "rattanrack/base/error.h"

#include <ostream>
#include <vector>

namespace rattanrack::cli {

/// Plays a plan in open loop: each call at its scheduled time, whatever became of those before, as long as one of the
/// profile's connections is free. Writes a line a second to `progress`. Blocks for the run's length; a record for each
/// call comes back, in no particular order.
std::vector<CallRecord> playLoad(const LoadProfile& profile, const LoadPlan& plan,
    const std::vector<config::Address>& nodes, std::ostream& progress);

/// What the workers ran, and how many of the logs could be read.
struct WorkerLogs {
    std::vector<LoggedRun> runs;
    LogCoverage coverage { LogCoverage::None };
};

/// Reads every log to its end.
WorkerLogs readWorkerLogs(const std::vector<config::Address>& addresses);

} // namespace rattanrack::cli
