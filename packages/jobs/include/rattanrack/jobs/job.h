#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"
#include "rattanrack/jobs/customer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Jobs as callers describe them: steps that depend on one another, each with a number of identical tasks.
namespace rattanrack::jobs {

using JobId = StrongId<struct JobIdTag>; ///< Chosen by the caller; equal ids mean the same job.
using QueueId = StrongId<struct QueueIdTag>; ///< Queue of the jobs of one kind of work.
/// Host and path prefix at which callers reach a queue; job ids are unique within it. It stays the same when the queue
/// is renamed or served by another pool.
using QueueAddress = StrongId<struct QueueAddressTag>;
using WorkerId = StrongId<struct WorkerIdTag>; ///< Name of a worker, which may restart under the same name.
using MachineId = StrongId<struct MachineIdTag>; ///< What a worker runs on; outlives the worker.

/// Fencing token: grows with each change of owner; workers refuse commands with a lower one.
using Fence = std::int64_t;
using RunNumber = std::int64_t; ///< Number of a task's run; grows with each start of the task.

constexpr int maxStepsPerJob = 256;
constexpr int maxTasksPerJob = 20000;
constexpr std::size_t maxSpecBytes = 4000;

/// Identical tasks that become ready together.
struct Step {
    int count { 1 }; ///< Number of tasks, at least 1.
    ResourceSize size; ///< Of one task.
    Duration declaredRunTime {}; ///< Of one task; may be far off.
    std::vector<int> dependsOn; ///< Earlier steps, all of whose tasks must be done first.
    bool hasCheckpoints { false };
    bool isGang { false }; ///< The tasks run together or not at all.
    bool prefersOneRack { false };
    std::string requiredLabel; ///< Empty: any worker.
    std::string dataRack; ///< Rack that stores the task's data; empty: no preference.
    int maxPerWorker { 0 }; ///< 0: no limit.
    bool allowsSpeculativeRuns { false }; ///< Several runs of a task may go on at once; the first to finish counts.
    bool isLongRunning { false }; ///< Runs until the job is cancelled.
    std::string image; ///< Tasks with the same image behave alike.
    Duration latencyTarget {}; ///< Of the requests that a long-running task serves; zero: none.
    bool isBestEffort { false }; ///< Uses only processor time that other tasks leave.
    int maxUnavailable { 0 }; ///< Tasks that planned work may keep from running at the same time; 0: no guarantee.

    friend bool operator==(const Step&, const Step&) = default;
};

/// Fixed times at which the occurrences of a job are due.
struct Schedule {
    int repeatCount { 0 }; ///< 0: one occurrence, due immediately.
    std::int64_t firstAtUnixMs { 0 };
    std::int64_t intervalMs { 0 };

    int occurrences() const { return repeatCount > 0 ? repeatCount : 1; }
    friend bool operator==(const Schedule&, const Schedule&) = default;
};

struct JobSpec {
    std::string text; ///< Passed to workers unchanged.
    std::vector<Step> steps;
    Schedule schedule;

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// An accepted job, as a node stores it before it answers the caller.
struct Job {
    JobId id;
    QueueId queue;
    std::int64_t acceptedAtUnixMs { 0 };
    JobSpec spec;
    int maxAttempts { 0 }; ///< Failed runs of a task that fail the job, as configured when it was accepted; 0: unknown.
    QueueAddress queueAddress {}; ///< Empty in rows of earlier versions.
    bool requiresTickets { false }; ///< As configured when it was accepted.
    CustomerId customer {}; ///< Whose key its first call had; empty: none.

    friend bool operator==(const Job&, const Job&) = default;
};

/// Whether the job is of the queue. The rows of earlier releases name no queue, so that it may be theirs as well.
bool mayBeOfQueue(const Job& job, const QueueAddress& queue);

/// Returns why the description is invalid; empty if it is valid.
std::string_view validationError(const JobSpec& spec);

enum class JobState : std::uint8_t { Queued, Active, Completed, Failed, Cancelled };

/// Identifies one task of one occurrence of a job.
struct TaskRef {
    JobId job;
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

/// How a run ended, as reported by its worker.
enum class RunOutcome : std::uint8_t {
    Done,
    Failed, ///< Counts as a failed attempt, whether the task or the worker was at fault.
    Stopped, ///< By a stop command.
    LeaseExpired, ///< Its lease was not renewed.
    GangBroken, ///< Another task of its gang ended.
    GangIncomplete, ///< Gave up waiting for the rest of its gang.
};

/// Configuration of a queue.
struct QueueSettings {
    QueueId id;
    PoolId pool;
    int priority { 0 }; ///< 0 is served first.
    int maxAttempts { 1 }; ///< Failed runs of a task that fail its job.
    double stretch { 1 }; ///< Latency objective of a job: this factor times its critical path, plus `latencyTarget`.
    Duration latencyTarget {}; ///< Constant part of the latency objective.
    bool requiresTickets { false }; ///< Its steps run only on workers for which the advice service has issued a ticket.

    friend bool operator==(const QueueSettings&, const QueueSettings&) = default;
};

} // namespace rattanrack::jobs

template <> struct std::hash<rattanrack::jobs::TaskRef> {
    std::size_t operator()(const rattanrack::jobs::TaskRef& task) const noexcept
    {
        const std::size_t position = (static_cast<std::size_t>(task.occurrence) << 40U)
            ^ (static_cast<std::size_t>(task.step) << 20U) ^ static_cast<std::size_t>(task.index);
        return std::hash<rattanrack::jobs::JobId> {}(task.job) ^ (position * 0x9e3779b97f4a7c15ULL);
    }
};
