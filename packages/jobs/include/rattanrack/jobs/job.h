#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Jobs as callers describe them: steps that depend on each other, each of some equal subtasks.
namespace rattanrack::jobs {

using JobId = StrongId<struct JobIdTag>; ///< Chosen by the caller; equal ids mean the same job.
using QueueId = StrongId<struct QueueIdTag>; ///< Where jobs of one kind of work wait.
using WorkerId = StrongId<struct WorkerIdTag>; ///< Name of a worker; it may be born again under the same one.
using MachineId = StrongId<struct MachineIdTag>; ///< What a worker runs on; survives the worker.

using Fence = std::int64_t; ///< Grows with each change of owner; workers refuse orders under a lower one.
using RunNumber = std::int64_t; ///< Number of a subtask's start; grows with each start.

constexpr int maxStepsPerJob = 256;
constexpr int maxTasksPerJob = 20000;
constexpr std::size_t maxSpecBytes = 4000;

/// Equal subtasks that become ready together.
struct Step {
    int count { 1 }; ///< Subtasks, at least 1.
    ResourceSize size; ///< Of one subtask.
    Duration declaredRunTime {}; ///< Declared run time of one subtask; may be far off.
    std::vector<int> dependsOn; ///< Earlier steps of which all subtasks must be done first.
    bool hasCheckpoints { false };
    bool isGang { false }; ///< The subtasks run together or not at all.
    bool prefersOneRack { false };
    std::string requiredLabel; ///< Empty: any worker.
    std::string dataRack; ///< Where the data lies; empty: anywhere.
    int maxPerWorker { 0 }; ///< 0: no limit.
    bool allowsSpeculativeRuns { false }; ///< Copies may run side by side; the first to finish counts.
    bool isLongRunning { false }; ///< Runs until the job is cancelled.
    std::string image; ///< Subtasks of one image behave alike.
    Duration latencyTarget {}; ///< Of what a lasting subtask serves; zero: none.
    bool isBestEffort { false }; ///< Takes only processor time that others leave.
    int maxUnavailable { 0 }; ///< Subtasks that planned work may keep from running at once; 0: no promise.

    friend bool operator==(const Step&, const Step&) = default;
};

/// Runs that are due at fixed times.
struct Schedule {
    int repeatCount { 0 }; ///< 0: once, at once.
    std::int64_t firstAtUnixMs { 0 };
    std::int64_t intervalMs { 0 };

    int occurrences() const { return repeatCount > 0 ? repeatCount : 1; }
    friend bool operator==(const Schedule&, const Schedule&) = default;
};

struct JobSpec {
    std::string text; ///< Handed to workers as it is.
    std::vector<Step> steps;
    Schedule schedule;

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// A job as accepted: what a node stores before it answers.
struct Job {
    JobId id;
    QueueId queue;
    std::int64_t acceptedAtUnixMs { 0 };
    JobSpec spec;
    int maxAttempts { 0 }; ///< Failed runs of a subtask that fail the job, when it was accepted; 0: not known.

    friend bool operator==(const Job&, const Job&) = default;
};

/// Why a description can't be a job; empty when it can.
std::string_view validationError(const JobSpec& spec);

enum class JobState : std::uint8_t { Queued, Active, Completed, Failed, Cancelled };

/// One subtask of one occurrence of a job.
struct TaskRef {
    JobId job;
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

/// How a run ended, as its worker tells it.
enum class RunOutcome : std::uint8_t {
    Done,
    Failed, ///< By its own fault or the worker's: counts as an attempt.
    Stopped, ///< By an order.
    LeaseExpired, ///< Its lease was not renewed.
    GangBroken, ///< Another member of its gang ended.
    GangIncomplete, ///< Waited for the rest of its gang in vain.
};

/// What the configuration says of a queue.
struct QueueSettings {
    QueueId id;
    PoolId pool;
    int priority { 0 }; ///< 0 is served first.
    int maxAttempts { 1 }; ///< Failed runs of a subtask that fail its job.
    double stretch { 1 }; ///< Objective: this many times the longest chain of work...
    Duration latencyTarget {}; ///< ...and this much more.
    bool requiresTickets { false }; ///< Only workers that the advice service names may run its steps.

    friend bool operator==(const QueueSettings&, const QueueSettings&) = default;
};

} // namespace rattanrack::jobs

template <> struct std::hash<rattanrack::jobs::TaskRef> {
    std::size_t operator()(const rattanrack::jobs::TaskRef& task) const noexcept
    {
        const std::size_t place = (static_cast<std::size_t>(task.occurrence) << 40U)
            ^ (static_cast<std::size_t>(task.step) << 20U) ^ static_cast<std::size_t>(task.index);
        return std::hash<rattanrack::jobs::JobId> {}(task.job) ^ (place * 0x9e3779b97f4a7c15ULL);
    }
};
