#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanrack::platform {

/// A task to run on a worker. The worker runs an attempt id at most once and refuses one that has been revoked.
struct TaskOrder {
    RequestId request;
    AttemptId attempt;
    PoolId pool;
    /// Epoch of the VM's row; the worker refuses one below the highest that it has received.
    std::uint64_t poolEpoch { 0 };
    WorkKind kind;
    ResourceSize size;
    Duration declaredRunTime {};
    std::string payload;
    Deadline lease; ///< The worker stops the task when the lease expires without renewal.
};

enum class TaskStatus {
    Completed, ///< Ran to its end; `output` is complete.
    Failed, ///< Ran and failed.
    Stopped, ///< Started and was ended by a stop, an expired lease or a reboot.
    RefusedBusy, ///< No free slot; never started.
    RefusedDraining, ///< The worker drains; never started.
    RefusedEpoch, ///< The order's epoch is stale; never started.
    RefusedRevoked, ///< The attempt was revoked; it never started and never will.
    RefusedTooLarge, ///< The task is larger than the worker; never started.
    NotSent, ///< No connection could be made; never started.
    Unknown, ///< Sent, but no complete response arrived.
};

/// True when `status` proves that the attempt did not start.
constexpr bool neverStarted(TaskStatus status)
{
    return status == TaskStatus::RefusedBusy || status == TaskStatus::RefusedDraining
        || status == TaskStatus::RefusedEpoch || status == TaskStatus::RefusedRevoked
        || status == TaskStatus::RefusedTooLarge || status == TaskStatus::NotSent;
}

struct [[nodiscard]] TaskOutcome {
    TaskStatus status { TaskStatus::Unknown };
    std::string output; ///< Output of a completed task, error message of a failed one.
    std::string detail;
};

/// State of an attempt as the worker reports it.
enum class AttemptState { NeverSeen, Running, Completed, Failed, Stopped, Revoked };

struct AttemptReport {
    AttemptState state { AttemptState::NeverSeen };
    std::string output;
};

enum class StopMode { Checkpoint, Throttle, Stop };

/// Usage of one task as the worker reports it, with a delay of seconds.
struct TaskUsage {
    AttemptId attempt;
    ResourceSize used;
};

struct WorkerReport {
    std::uint64_t bootId { 0 }; ///< Changes with each boot of the worker.
    std::uint64_t poolEpoch { 0 }; ///< Highest epoch that the worker has received since it booted; 0 after a boot.
    Slots busySlots;
    bool isDraining { false }; ///< True after a boot, until `setDraining` ends it.
    std::vector<TaskUsage> tasks;
};

/// Interface of one worker. Thread-safe; `run` blocks until the task has ended.
class Worker {
public:
    virtual ~Worker() = default;

    /// Runs a task to its end. Does not retry.
    virtual TaskOutcome run(const TaskOrder&) = 0;

    /// Extends the lease of a running attempt to `lease`. A renewal never shortens a lease. Errors: NotFound (not
    /// running), Unavailable, OutcomeUnknown.
    virtual Result<void> renewLease(const AttemptId&, Deadline lease) = 0;

    /// Stops, throttles or checkpoints a running attempt. Errors: NotFound, Unavailable, OutcomeUnknown.
    virtual Result<void> stop(const AttemptId&, StopMode) = 0;

    /// Returns the state of an attempt. Errors: Unavailable, MalformedMessage.
    virtual Result<AttemptReport> attempt(const AttemptId&) = 0;

    /// Prevents the attempt from ever starting, unless it has started already: the report tells which. Idempotent.
    /// Errors: Unavailable, OutcomeUnknown, MalformedMessage.
    virtual Result<AttemptReport> revoke(const AttemptId&) = 0;

    /// Makes the worker stop (true) or resume (false) taking new work under `poolEpoch`, if its current boot is
    /// `bootId`: a worker that has rebooted since has lost its epoch and must not execute a delayed command. Errors:
    /// Unavailable, OutcomeUnknown, Refused (another boot, or the worker has received a newer epoch).
    virtual Result<void> setDraining(bool isDraining, std::uint64_t poolEpoch, std::uint64_t bootId) = 0;

    /// Reboots the VM if it drains under `poolEpoch`, its current boot is `bootId` and it runs no task. Errors:
    /// Unavailable, OutcomeUnknown, Refused (another epoch or boot, not draining, or tasks are running).
    virtual Result<void> reboot(std::uint64_t poolEpoch, std::uint64_t bootId) = 0;

    /// Errors: Unavailable, MalformedMessage.
    virtual Result<WorkerReport> report() = 0;
};

} // namespace rattanrack::platform
