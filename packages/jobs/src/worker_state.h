#pragma once

#include "crash_evidence.h"
#include "rattanrack/jobs/best_effort_throttle.h"
#include "rattanrack/jobs/lease_clock.h"
#include "rattanrack/jobs/start_window.h"
#include "run.h"

#include <deque>
#include <unordered_map>

namespace rattanrack::jobs {

/// An ended run that has been processed but not acknowledged.
struct UnacknowledgedRun {
    std::int64_t sequence { 0 };
    JobId job;
    std::uint64_t revision { 0 }; ///< Of the job, which must be stored first; 0: nothing has to be stored.
};

enum class WorkerContact : std::uint8_t {
    Unknown, ///< Not polled under this owner's fence.
    Responsive,
    Unresponsive,
};

/// Counts of a worker's runs that influence other runs there. Updated as runs come and go.
struct ColocatedRuns {
    int longRunning { 0 }; ///< Other than best-effort runs.
    int serving { 0 }; ///< With a latency target.
    int bestEffortRuns { 0 };
    int ofUnknownSize { 0 };
    int finite { 0 };

    /// `count`: 1 for a run that is added, -1 for one that is removed.
    void add(const Run& run, int count)
    {
        bestEffortRuns += run.isBestEffort ? count : 0;
        longRunning += run.isLongRunning && !run.isBestEffort ? count : 0;
        serving += run.isServing ? count : 0;
        finite += run.isLongRunning ? 0 : count;
        ofUnknownSize += run.isSizeUnknown ? count : 0;
    }
};

/// A worker that is kept for a trial is kept again within this time: several scheduling passes.
constexpr Duration keptMemory = std::chrono::milliseconds { 500 };

struct Worker {
    WorkerDescription description;
    bool isListed { false };
    TimePoint firstListedAt {}; ///< When a list first showed this incarnation.
    TimePoint addressListedAt {}; ///< When a list first showed its current address.
    WorkerContact contact { WorkerContact::Unknown };
    bool isSilent { false }; ///< The latest poll got no response of this worker.
    LeaseClock clock;
    std::int64_t incarnationUnixMs { 0 };
    TimePoint startedAtLatest {}; ///< Latest possible start of the incarnation that responds.
    std::unordered_map<TaskRef, Run> runs;
    ResourceSize used;
    ResourceSize usedByLongRunning;
    ColocatedRuns colocatedRuns;
    bool isReserved { false }; ///< In the latest scheduling pass, kept free for a step that waits for room.
    int candidateIndex { -1 }; ///< Among the usable workers of the current scheduling pass; -1: not usable.
    std::int64_t processedThrough { 0 };
    std::int64_t ackedThrough { 0 };
    std::int64_t lastAckSent { 0 }; ///< Acknowledgement of the last poll with a response.
    std::deque<UnacknowledgedRun> unacknowledgedRuns;
    TimePoint presumedEndAt {}; ///< When a run there was last presumed to have ended.
    std::uint64_t pollsProcessed { 0 };
    bool mayHaveRetries { false }; ///< Whether some run may have a command to retry.
    bool hasPollInFlight { false };
    bool hasRenewalInFlight { false }; ///< The poll in flight carries a lease.
    bool needsPoll { true };
    TimePoint nextPollAt {};
    TimePoint lastPollSentAt {}; ///< Of the polls that have had a response.
    int consecutiveFailures { 0 };
    TimePoint avoidUntil {};
    /// Leases meant for an earlier incarnation, which would keep a run of this one active, have ended by then.
    TimePoint startsAllowedAt {};
    TimePoint failingUntil {}; ///< Avoided for its failures; the next success ends this.
    int startsInFlight { 0 };
    bool isSlow { false }; ///< Responds to starts more slowly than other workers.
    std::vector<UnprovenStart> unprovenStarts;
    bool hasSurvivalCheckInFlight { false };
    TimePoint keptForTrialSince {}; ///< It takes no finite tasks since then, so that a trial endangers none.
    TimePoint keptForTrialAt {}; ///< The latest scheduling pass that kept it.
    /// Its machine was drained until lately, and may have been moved or taken down: no poll sent since has succeeded.
    bool isContactDueAfterDrain { false };
    bool isContactCheckSent { false }; ///< The poll in flight was sent since.
    std::int64_t restartRecordedUnixMs { 0 }; ///< Latest incarnation that is known to have replaced earlier ones.
    /// Latest incarnation whose loss counts as by another cause than a task.
    std::int64_t lossCountedOfUnixMs { 0 };
    BestEffortThrottle bestEffortThrottle;

    bool isAvoided(TimePoint now) const { return now < avoidUntil || isAvoidedForFailures(now); }
    bool isAvoidedForFailures(TimePoint now) const { return now < failingUntil; }
    bool isSettled(TimePoint now) const; ///< Its incarnation has been up for a while.
    bool hasRecentStart(TimePoint now) const; ///< A crash now may be due to a start that was sent to it.
    bool hasRecentStartOfOther(const JobId& job, TimePoint now) const; ///< The same of a job other than this one.
    bool isKeptForTrial(TimePoint now) const; ///< The latest passes kept it free for a trial.
    bool isTrialOverdue(TimePoint now) const; ///< It has been kept for a trial for as long as it may.
    bool hasTrial() const; ///< A suspect has been started there, and its survival is not known yet.
    bool mayTakeStarts() const { return !isSlow && startsInFlight < StartWindow::maxPerWorker; }

    /// A new incarnation has responded. Removes what earlier ones have reported, except for runs that may still be
    /// active.
    void beginIncarnation(std::int64_t unixMs, TimePoint atLatest);

    /// Whether something may run there, or has ended and is recorded by this owner alone.
    bool hasUnfinishedWork() const { return !runs.empty() || !unacknowledgedRuns.empty(); }

    bool hasLongRunning() const;

    /// Whether the worker has accepted a start or a stop of some run. A start carries the lease that its run needs
    /// until then.
    bool hasConfirmedRun() const;

    /// Whether a command that carries a lease has no result yet.
    bool hasLeaseInFlight() const;

    /// Whether the list describes the incarnation that responds. A new incarnation may have other properties than the
    /// one before, or may be draining.
    bool isDescriptionCurrent() const { return description.incarnationUnixMs >= incarnationUnixMs; }

    /// Whether the list shows a later incarnation than any that has responded.
    bool isLaterIncarnationListed() const { return description.incarnationUnixMs > incarnationUnixMs; }
};

} // namespace rattanrack::jobs
