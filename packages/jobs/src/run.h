#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/jobs/worker.h"

#include <optional>

namespace rattanrack::jobs {

enum class RunPhase : std::uint8_t {
    Starting, ///< The start has no result yet.
    Confirmed, ///< The worker has confirmed that the run is active.
    Stopping,
};

struct CustomerAccount;

/// A run that may be active.
struct Run {
    RunNumber number { 0 };
    RunPhase phase { RunPhase::Starting };
    ResourceSize size; ///< What the run reserves of the worker's capacity.
    ResourceSize requestedSize; ///< What counts towards the quota of its customer.
    CustomerAccount* account { nullptr }; ///< Of its customer; null if its job has none or is not known.
    bool isLongRunning { false };
    bool isBestEffort { false };
    bool isServing { false }; ///< Has a latency target.
    bool isSizeUnknown { false }; ///< Adopted, of a job that this owner does not know.
    bool mayStartLate { false }; ///< A start without a response may still be carried out.
    TimePoint unresolvedAt {}; ///< When the latest start without a response was given up.
    bool hasCommandInFlight { false }; ///< A start or stop has no result yet.
    bool hasStartInFlight { false }; ///< The command is a start, which carries a lease.
    std::optional<std::int64_t> seenInIncarnation; ///< The worker's incarnation that is known to have the run.
    TimePoint startSentAt {};
    TimePoint confirmedAt {};
    TimePoint safeFromEarlierStopAt {}; ///< From then on no stop by a previous owner can end the run any more.
    /// When the worker last accepted a start or stop; a later poll shows whether the run is active.
    TimePoint acknowledgedAt {};
    TimePoint retryAt {};
    std::uint64_t seenInPoll { 0 }; ///< Number of the latest poll that listed the run as running.
    int percent { 0 };
    std::string checkpoint; ///< The latest that the worker has listed, or that the run was started with.
    int throttlePercent { 100 };
    double measuredValue { 0 };
    StartCommand start; ///< Sent again while it has no response.

    bool is(RunNumber other) const { return number == other; }
};

} // namespace rattanrack::jobs
