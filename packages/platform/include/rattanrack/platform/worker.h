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
    std::uint64_t poolEpoch { 0 }; ///< Epoch of the VM's row; the worker refuses an older one than it has seen.
    WorkKind kind;
    ResourceSize size;
    Duration declaredRunTime {};
    std::string payload;
    Deadline lease; ///< The worker stops the task when the lease ends without renewal.
};

enum class TaskStatus {
    Completed, ///< Ran to its end; `output` is whole.
    Failed, ///< Ran and failed.
    Stopped, ///< Started and was ended by a stop, a lapsed lease or a reboot.
    RefusedBusy, ///< No free slot; never started.
    RefusedDraining, ///< Takes no new work; never started.
    RefusedEpoch, ///< The order's epoch is old; never started.
    RefusedRevoked, ///< The attempt was revoked; never started, never will be.
    RefusedTooLarge, ///< Larger than the worker; never started.
    NotSent, ///< The connection could not be made; never started.
    Unknown, ///< Sent, and no whole answer arrived.
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
    std::string output; ///< Whole answer of a completed task, message of a failed one.
    std::string detail;
};

/// What a worker says about an attempt.
enum class AttemptState { NeverSeen, Running, Completed, Failed, Stopped, Revoked };

struct AttemptReport {
    AttemptState state { AttemptState::NeverSeen };
    std::string output;
};

enum class StopMode { Checkpoint, Throttle, Stop };

/// Usage of one task as the worker reports it, seconds late.
struct TaskUsage {
    AttemptId attempt;
    ResourceSize used;
};

struct WorkerReport {
    std::uint64_t bootId { 0 }; ///< Chosen anew by each boot of the worker.
    std::uint64_t poolEpoch { 0 }; ///< Highest epoch that the worker has been told since it booted; 0 after a boot.
    Slots busySlots;
    bool isDraining { false }; ///< True after a boot, until it is told to take work.
    std::vector<TaskUsage> tasks;
};

/// Port to one worker. Safe from several threads; `run` blocks until the task has ended.
class Worker {
public:
    virtual ~Worker() = default;

    /// Runs a task to its end. Never retries by itself.
    virtual TaskOutcome run(const TaskOrder&) = 0;

    /// Lets a running attempt go on until `lease`. A renewal never shortens a lease. Errors: NotFound (not running),
    /// Unavailable, OutcomeUnknown.
    virtual Result<void> renewLease(const AttemptId&, Deadline lease) = 0;

    /// Ends, throttles or checkpoints a running attempt. Errors: NotFound, Unavailable, OutcomeUnknown.
    virtual Result<void> stop(const AttemptId&, StopMode) = 0;

    /// What became of an attempt. Errors: Unavailable, MalformedMessage.
    virtual Result<AttemptReport> attempt(const AttemptId&) = 0;

    /// Promises that the attempt never starts, unless it has: the report says which. Asking again is harmless.
    /// Errors: Unavailable, OutcomeUnknown, MalformedMessage.
    virtual Result<AttemptReport> revoke(const AttemptId&) = 0;

    /// From now on takes no new work (true) or takes it again (false) under `poolEpoch`, if it is in the boot `bootId`:
    /// a worker that has booted since has forgotten its epoch and must not obey a late order. Errors: Unavailable,
    /// OutcomeUnknown, Refused (another boot, or the worker knows a newer epoch).
    virtual Result<void> setDraining(bool isDraining, std::uint64_t poolEpoch, std::uint64_t bootId) = 0;

    /// Reboots the VM, if it drains under `poolEpoch`, is in the boot `bootId` and runs nothing. Errors: Unavailable,
    /// OutcomeUnknown, Refused (another epoch or boot, not draining, or tasks are running).
    virtual Result<void> reboot(std::uint64_t poolEpoch, std::uint64_t bootId) = 0;

    /// Errors: Unavailable, MalformedMessage.
    virtual Result<WorkerReport> report() = 0;
};

} // namespace rattanrack::platform
