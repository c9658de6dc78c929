#pragma once

#include "rattanrack/jobs/cell.h"

#include <cstdint>
#include <vector>

/// What admission knows of a cell's backlog. Internal to the cell.
namespace rattanrack::jobs {

/// A job that is later than this many objectives has no value any more.
constexpr int lateFactor = 3;

/// The backlog is counted anew after this time.
constexpr Duration backlogPeriod = std::chrono::milliseconds { 50 };

/// Waiting work of jobs that can be in time and are at most as large as `declaredWork`.
struct BacklogStep {
    std::int64_t declaredWork { 0 };
    double work { 0 };
};

/// Declared work that waits in a cell, in millicore milliseconds; finite jobs only.
struct Backlog {
    TimePoint countedAt {};
    double all { 0 };
    double started { 0 }; ///< Of jobs that have begun and can be in time.
    std::vector<BacklogStep> inTime; ///< Ascending.

    /// Work that goes before a job of this size that can be in time.
    double ahead(std::int64_t declaredWork) const;
};

/// Times until a job that is submitted now would start.
struct ExpectedWait {
    Duration inTime {}; ///< As long as it can still be in time.
    Duration behindAll {}; ///< Once it is late.
};

/// A job that is refused; its caller waits for the next transaction.
struct RefusedSubmission {
    CallerToken token { 0 };
    TimePoint at {};
    Duration retryAfter {};
};

} // namespace rattanrack::jobs
