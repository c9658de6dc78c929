#pragma once

#include "load_ledger.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattanrack::cli {

/// Latency of the answered calls of one sort, from their scheduled times.
struct LatencySummary {
    std::string kind;
    std::string urgency;
    std::uint64_t calls { 0 };
    std::uint64_t answered { 0 };
    Duration median {};
    Duration p99 {};
    Duration longest {};
};

/// Everything that a load run tells.
struct LoadReport {
    Ledger ledger;
    LogCoverage coverage { LogCoverage::None };
    std::vector<LatencySummary> latencies;
    Duration longestSendDelay {}; ///< Above some milliseconds the run had too few connections for its load.
    std::uint64_t missingRetryAfter { 0 };
};

LoadReport summarize(const LoadProfile& profile, const LoadPlan& plan, const std::vector<CallRecord>& records,
    const std::vector<LoggedRun>& runs, LogCoverage coverage);

std::string reportText(const LoadReport& report);
nlohmann::json reportJson(const LoadReport& report);

/// A page with plots of calls and latency over the run.
std::string reportPage(
    const LoadProfile& profile, const LoadPlan& plan, const std::vector<CallRecord>& records, const LoadReport& report);

} // namespace rattanrack::cli
