#pragma once

#include "cell_simulation.h"

#include <vector>

namespace rattanrack::jobs::model {

/// Jobs of one or two steps, submitted at a steady rate for a while. Of a share of them, one task of the first step
/// crashes each worker that starts it.
struct CrashingLoadSettings {
    int workers { 13 };
    double crashingShare { 0 };
    double jobsPerWorkerSecond { 0.6 };
    /// Such jobs come only in bursts of `burstTime`, one each `burstPeriod`; zero: all the time.
    Duration burstPeriod {};
    Duration burstTime {};
    Duration trafficTime { std::chrono::seconds { 20 } };
    FaultRates faults; ///< While the traffic lasts.
};

/// What became of the jobs. Times are from the end of the traffic.
struct CrashingLoadReport {
    int innocentJobs { 0 }; ///< Accepted, without a task that crashes workers.
    int innocentInTime { 0 }; ///< Completed within their objective.
    int innocentUnfinished { 0 }; ///< At the end of the observation.
    int innocentFailed { 0 };
    int refusedJobs { 0 }; ///< Of both kinds; not counted elsewhere.
    int crashingJobs { 0 }; ///< Accepted.
    int crashingUndecided { 0 }; ///< At the end of the observation.
    int workersCrashedByTasks { 0 };
    int mostCrashesOfATask { 0 };
    int overdueTasks { 0 }; ///< Tasks that waited longer than allowed with room for them, of jobs with nothing running.
    Duration longestWait {}; ///< Of such a task.
    std::vector<std::string> violations;
};

/// A task with room for it, of a job with nothing running, may wait this long.
constexpr Duration longestAllowedWait = std::chrono::seconds { 3 };

/// Plays the load and observes the cell from the end of the traffic on. Waits count from `settlingTime` after it.
CrashingLoadReport playCrashingLoad(std::uint64_t seed, const CrashingLoadSettings& settings, Duration settlingTime);

} // namespace rattanrack::jobs::model
