#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rattanrack::jobs {

/// What keeps a task that could run from its next run. The reasons from `WorkerNotListed` to `NoRoom` hold for single
/// workers too.
enum class MissingRunReason : std::uint8_t {
    StartInFlight,
    StartWithoutResponse,
    Stopping, ///< Its earlier run is being stopped.
    JobNotStored,
    FailureNotStored, ///< Its latest failure, or the loss of its worker, has to be stored before its next start.
    HeldForEvidence, ///< Its worker may have crashed under it, which would prove that it crashes workers.
    PreviousOwners, ///< Workers of previous owners may still run it.
    OwnerMayStartNothing, ///< No recent transaction, or an old list of workers.
    QueueNotConfigured,
    QuotaUsedUp, ///< What its customer's quota permits in this cell is used up.
    NoTicket, ///< Its queue requires tickets, and the step has no valid one.
    WorkerNotListed,
    WorkerNotStored, ///< Listed, but not yet in the stored list of workers in use.
    WorkerNotContacted, ///< Listed, and no poll has had a response yet.
    WorkerUnresponsive,
    ListOutdated, ///< The list shows an earlier incarnation of the worker than the one that responds.
    IncarnationNotConfirmed, ///< No transaction has succeeded since the worker's incarnation began.
    WorkerDraining,
    StartsNotAllowedYet, ///< Leases meant for an earlier incarnation of the worker may still be valid.
    WorkerAvoidedForFailures, ///< Runs on it fail.
    WorkerAvoidedAfterStart, ///< A start there had no response or was refused.
    WorkerSlow,
    WorkerStartsInFlight, ///< As many starts are in flight to the worker as it may have.
    WorkerTakesOtherJob, ///< Another job has just started there, and jobs are kept apart.
    WorkerOnTrial, ///< A task that may crash workers has just started there.
    RunsOfUnknownSize, ///< The worker runs tasks of jobs that this owner does not know.
    RoomHeldByUnresolvedRuns, ///< The room is counted for runs that may have ended.
    WorkerReserved, ///< The worker is kept free for another step.
    NoRoom,
    WindowFull, ///< The owner has as many starts in flight as it may have.
    GangHeldBack, ///< A gang waits for the start window, and no step after it may start.
    WaitsForTrial, ///< It may crash workers, and no worker without recent starts is free for it.
    NotReached, ///< Some worker has room, and the latest scheduling pass did not use it for the task.
    Count ///< Not a reason.
};

constexpr auto missingRunReasons = static_cast<std::size_t>(MissingRunReason::Count);

/// For logs and metrics, as what the task waits for.
std::string_view describe(MissingRunReason reason);

/// For a count of workers to which the reason applies, as "draining".
std::string_view describeForWorker(MissingRunReason reason);

} // namespace rattanrack::jobs
