#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/jobs/job_progress.h"
#include "rattanrack/jobs/worker.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace rattanrack::jobs {

/// A task that crashes its worker does so within this time of its start, as measured here.
constexpr Duration crashWindow = std::chrono::milliseconds { 250 };
/// By its own clock, a worker that is up this long after it has carried out a start has survived the start.
constexpr Duration survivalTime = std::chrono::milliseconds { 200 };

/// A worker that has crashed is usually back after this time.
constexpr Duration usualRestartTime = std::chrono::milliseconds { 3500 };

/// Crashes by other causes count for this long.
constexpr Duration otherCauseMemory = std::chrono::seconds { 20 };

/// A start that its worker has not been seen to survive.
struct UnprovenStart {
    TaskRef task;
    RunNumber run { 0 };
    std::int64_t incarnationUnixMs { 0 }; ///< Incarnation of the worker that the start was sent to.
    TimePoint sentAt {};
    TimePoint answeredAt {}; ///< When it was answered or listed first.
    std::optional<std::int64_t> carriedOutByMs {}; ///< On the worker's clock; the start had been carried out by then.
    bool isTrial { false }; ///< Of a suspect, which is started where no other start is recent.
    bool isAlone { true }; ///< The worker has no recent start of another job.
    bool isOnSettledWorker { false }; ///< The worker had been up for a while.

    /// Whether a crash at `now` may be due to this start.
    bool isRecent(TimePoint now) const { return answeredAt == TimePoint {} || now - answeredAt < crashWindow; }
};

/// Whether something other than the task ended the run.
constexpr bool isCutShort(RunOutcome outcome) { return outcome != RunOutcome::Done && outcome != RunOutcome::Failed; }

/// One end of an incarnation of a worker.
struct WorkerCrash {
    WorkerId worker;
    std::int64_t incarnationUnixMs { 0 };

    friend auto operator<=>(const WorkerCrash&, const WorkerCrash&) = default;
};

/// What the crashes under a task prove.
struct CrashVerdict {
    bool isProven { false }; ///< The task crashes the workers that start it.
    std::size_t crashes { 0 };
    std::size_t certainCrashes { 0 }; ///< Under starts that the worker is known to have received.
    double risk { 1 }; ///< That these look like crashes by the task and had other causes.
};

/// Says what the crash under the task's start adds to the verdict on it.
std::string describe(const LostStart& lost, const CrashVerdict& verdict);

inline WorkerCrash crashOf(const LostStart& lost) { return { lost.worker, lost.incarnationUnixMs }; }

/// How contact with a worker was lost.
struct ContactLoss {
    TimePoint at {};
    bool isConnectionEnded { false }; ///< The worker was up until then. Otherwise it may have been down for longer.
};

/// What is known of tasks that may have crashed workers.
struct CrashEvidence {
    std::set<TaskRef> suspects; ///< Unfinished tasks with lost starts.
    std::map<WorkerId, std::set<TaskRef>> openByWorker; ///< Tasks with a lost start there that is not decided.
    std::map<WorkerCrash, int> possibleCauses; ///< Number of suspects of each loss.
    std::deque<TimePoint> crashesByOtherCauses; ///< Of the last seconds: of workers that no task has crashed.

    TimePoint latestByOtherCause {};
    /// Crashes by other causes of workers that had been up for a short time only, and the time that workers have been
    /// up that briefly, in worker-seconds. Both lose weight within `otherCauseMemory`.
    double otherCrashesAfterRestart { 0 };
    double secondsAfterRestart { 0 };
    std::map<WorkerCrash, TimePoint> crashesUnderStarts; ///< Of late, with the time at which each was known.
    std::deque<TimePoint> lossesUnderStarts; ///< Of the last `usualRestartTime`: workers lost soon after a start.
    std::deque<TimePoint> lossesUnderTrials; ///< The same of those that were lost in a trial.

    /// `isAfterRestart`: the worker had been up for a short time only.
    void addOtherCause(TimePoint now, bool isAfterRestart)
    {
        crashesByOtherCauses.push_back(now);
        if (isAfterRestart)
            ++otherCrashesAfterRestart;
        latestByOtherCause = now;
    }

    void add(const WorkerCrash& crash) { ++possibleCauses[crash]; }

    /// One suspect fewer. Returns whether none is left.
    bool remove(const WorkerCrash& crash)
    {
        const auto found = possibleCauses.find(crash);
        if (found == possibleCauses.end() || --found->second > 0)
            return false;
        possibleCauses.erase(found);
        return true;
    }
};

} // namespace rattanrack::jobs
