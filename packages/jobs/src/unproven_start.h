#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/jobs/job.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace rattanrack::jobs {

/// A start that was sent to a worker, until the worker has shown that it survived the start. If the worker restarts
/// before, the task may have crashed it.
struct UnprovenStart {
    TaskRef task;
    RunNumber run { 0 };
    std::int64_t incarnationUnixMs { 0 }; ///< Incarnation of the worker that the start was sent to.
    TimePoint sentAt {};
    bool isTrial { false }; ///< Of a suspect, the only recent start on its worker.
    /// A trial on a worker that had been up for a while, so that its crash points to the task.
    bool isConclusive { false };
    bool isWorkerUp { false }; ///< The worker was up when the start arrived.
    bool isSurvived { false }; ///< The task has survived a later start elsewhere, and is not to blame.
    bool isAwaited { false }; ///< Contact is lost, and the next start of a suspect waits for the worker's return.
    std::optional<std::int64_t> carriedOutByMs; ///< On the worker's clock; the start had been carried out by then.
    TimePoint lostAt {}; ///< When contact with the worker was lost.
};

/// Contact was lost with a worker on which no suspect was being tried.
struct UntriedLoss {
    TimePoint at;
    WorkerId worker;
    std::string rack;
};

/// Tasks that may have crashed workers.
struct CrashSuspicion {
    /// Tasks with a counted crash, and those under whose latest start contact with the worker was lost.
    std::set<TaskRef> suspects;
    /// Of the last seconds. Trials that end at about that time may have been hit by the same fault.
    std::deque<UntriedLoss> untriedLosses;

    bool hasSuspectsOf(const JobId& job) const
    {
        const auto first = suspects.lower_bound({ job, 0, 0, 0 });
        return first != suspects.end() && first->job == job;
    }
};

} // namespace rattanrack::jobs
