#pragma once

#include "rattanrack/jobs/cell.h"

#include <chrono>
#include <cstdint>

/// A pool whose callers come in turns, in virtual time: for some seconds they ask for more than the pool can do, and
/// for little in between. The workers carry out every command.
namespace rattanrack::jobs::model {

/// What the jobs of one kind ask for. The spreads are those of lognormal distributions.
struct JobKind {
    double meanSteps { 1.6 };
    double meanTasks { 8 }; ///< Of a step.
    double spreadOfTasks { 0.6 };
    double meanCores { 2.2 }; ///< Of a task.
    double spreadOfCores { 0.45 };
    Duration meanRunTime { std::chrono::seconds { 1 } };
    double spreadOfRunTime { 0.5 }; ///< Between jobs.
    double unevenness { 0.3 }; ///< Between the tasks of a step.
    double declarationError { 0.9 };
    double stretch { 1.6 };
    Duration latencyTarget { std::chrono::milliseconds { 600 } };
};

struct TurnLoadSettings {
    JobKind kind;
    int workers { 24 }; ///< With 16 cores each.
    double meanUse { 0.38 }; ///< Demand on average, as a share of the pool.
    double peak { 4 }; ///< Demand during a turn, as a multiple of the average.
    Duration turn { std::chrono::milliseconds { 4500 } };
    Duration period { std::chrono::seconds { 18 } };
    int turns { 3 };
    int startsPerSecond { 0 }; ///< That the owner can send; 0: no limit.
    std::uint64_t seed { 1 };
};

/// What callers got.
struct TurnLoadResult {
    int jobs { 0 };
    int completed { 0 };
    double worth { 0 }; ///< Share of what callers would pay if all jobs were in time.
    double largestCompleted { 0 }; ///< Share that was completed, in time or late, among the tenth with the most work.
    /// `worth` of a planner that knows all jobs beforehand and takes those that pay the most for what is scarce, as
    /// long as all that it has taken can be in time.
    double plannedWorth { 0 };
};

/// Plays the turns and some seconds more.
TurnLoadResult playTurnLoad(const TurnLoadSettings& settings);

} // namespace rattanrack::jobs::model
