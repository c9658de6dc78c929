#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/jobs/job_progress.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace rattanrack::jobs {

/// A task that crashes its worker does so within this time of its start, as measured here.
constexpr Duration crashWindow = std::chrono::milliseconds { 250 };
/// By its own clock, a worker that is up this long after it has carried out a start has survived the start.
constexpr Duration survivalTime = std::chrono::milliseconds { 200 };

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
    bool isAlone { true }; ///< The worker has no other recent start, except for members of the same gang.
    bool isOnSettledWorker { false }; ///< The worker had been up for a while.

    bool isOfStep(const TaskRef& other) const
    {
        return task.job == other.job && task.occurrence == other.occurrence && task.step == other.step;
    }

    /// Whether a crash at `now` may be due to this start.
    bool isRecent(TimePoint now) const { return answeredAt == TimePoint {} || now - answeredAt < crashWindow; }
};

/// One end of an incarnation of a worker.
struct WorkerCrash {
    WorkerId worker;
    std::int64_t incarnationUnixMs { 0 };

    friend auto operator<=>(const WorkerCrash&, const WorkerCrash&) = default;
};

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

    void addOtherCause(TimePoint now)
    {
        crashesByOtherCauses.push_back(now);
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
