#pragma once

#include "rattanrack/jobs/worker.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// What a play looked like from outside: at the workers, at the callers, and at the processes.
namespace rattanrack::tools {

enum class Ending { AtWork, Done, Failed, Stopped, Lapsed, Gone, Maintained };

/// One run of a subtask, as its worker saw it.
struct RunRecord {
    jobs::TaskRef task;
    jobs::RunNumber run { 0 };
    jobs::WorkerId worker;
    jobs::Fence fence { 0 };
    bool isLasting { false };
    TimePoint startedAt {};
    std::optional<TimePoint> stopOrderedAt; ///< First order to stop it while it was at work.
    bool wasDraining { false }; ///< Its worker was leaving when it was told to stop, or ended.
    std::optional<TimePoint> endedAt;
    Ending ending { Ending::AtWork };
    std::int64_t endNumber { 0 }; ///< 0 once its end can't be acknowledged any more.
    std::optional<TimePoint> acknowledgedAt;
};

struct JobRecord {
    int count { 0 }; ///< Subtasks of the first step.
    bool isLasting { false };
    std::optional<TimePoint> acceptedAt;
    std::optional<TimePoint> cancelSentAt;
    std::string lastState; ///< As answered after the play; "gone", or "silent" without an answer.
    std::string pool; ///< Whose workers run it.
    bool crashesWorkers { false }; ///< Each of its subtasks crashes the workers that start it.
    std::optional<TimePoint> completedShownAt; ///< First answer that it is completed.
};

/// One incarnation of a worker, from its start to its end.
struct WorkerLife {
    jobs::WorkerId worker;
    std::string pool;
    TimePoint from {};
    std::optional<TimePoint> to;
};

/// Something done to the world. `target` is a node's or a worker's name.
struct Trouble {
    std::string what;
    std::string target;
    bool isOfNode { true };
    bool isPlanned { false }; ///< Work that callers must not notice.
    TimePoint from {};
    std::optional<TimePoint> to;
};

/// A request whose connection ended without a complete answer.
struct BrokenCall {
    std::string node;
    std::string request;
    TimePoint sentAt {};
    TimePoint endedAt {};
};

/// An answer that there is no such job.
struct DenialOfJob {
    std::string node;
    jobs::JobId job;
    TimePoint sentAt {};
};

/// The store has handed out that a worker drains.
struct DrainNotice {
    jobs::WorkerId worker;
    TimePoint at {};
    std::optional<TimePoint> until; ///< The worker's life ended.
};

struct History {
    TimePoint beganAt {};
    TimePoint endedAt {};
    int attempts { 1 };
    std::vector<RunRecord> runs; ///< In the order of their starts.
    std::map<jobs::JobId, JobRecord> jobs;
    std::vector<Trouble> troubles;
    std::vector<BrokenCall> brokenCalls;
    std::vector<DenialOfJob> denials;
    std::vector<DrainNotice> drains;
    std::vector<WorkerLife> lives;
};

} // namespace rattanrack::tools
