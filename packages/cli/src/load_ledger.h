#pragma once

#include "load_plan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanrack::cli {

/// What a caller was told. Lost: no final answer came, although it was asked for again until the end of the run.
enum class CallAnswer { Done, Failed, NotRun, OutcomeUnknown, Lost };

/// How one planned call ended.
struct CallRecord {
    std::size_t call { 0 }; ///< Index into the plan's calls.
    CallAnswer answer { CallAnswer::Lost };
    RequestId request;
    std::string output;
    std::string reason;
    Duration latency {}; ///< From the scheduled time to the final answer.
    Duration sendDelay {}; ///< How much later than scheduled it was sent.
    bool lacksRetryAfter { false }; ///< A refusal without the promised Retry-After.
};

/// One run of an attempt in a worker's log.
struct LoggedRun {
    AttemptId attempt;
    RequestId request;
    std::string payload;
};

/// What the callers were told, held against what the workers ran. All but the first four must be 0.
struct Ledger {
    std::uint64_t requests { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t outcomeUnknown { 0 };
    std::uint64_t lost { 0 }; ///< Calls without a final answer.
    std::uint64_t doubled { 0 }; ///< Requests that are not repeatable and ran more than once.
    std::uint64_t mixedUp { 0 }; ///< Calls whose output belongs to another payload.
    std::uint64_t untrueNotRun { 0 }; ///< Calls told "not run" whose request ran.
    std::uint64_t untrueDone { 0 }; ///< Calls told "done" whose request no worker ran; needs all logs.
    std::vector<std::string> examples; ///< A few of the broken ones, in words.

    std::uint64_t broken() const { return lost + doubled + mixedUp + untrueNotRun + untrueDone; }
};

/// Which part of the workers' logs is there.
enum class LogCoverage { None, Partial, Whole };

/// Checks every call of the run. Counts of runs are lower bounds while `coverage` is not Whole.
Ledger checkLedger(const LoadProfile& profile, const LoadPlan& plan, const std::vector<CallRecord>& records,
    const std::vector<LoggedRun>& runs, LogCoverage coverage);

} // namespace rattanrack::cli
