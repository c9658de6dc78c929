#include "rattanrack/jobs/missing_run_reason.h"

namespace rattanrack::jobs {

namespace {

struct ReasonText {
    MissingRunReason reason;
    std::string_view ofTask;
    std::string_view ofWorker;
};

/// In the order of the reasons.
constexpr ReasonText texts[] {
    { MissingRunReason::StartInFlight, "its start is in flight", {} },
    { MissingRunReason::StartWithoutResponse, "its start got no response", {} },
    { MissingRunReason::Stopping, "its run is being stopped", {} },
    { MissingRunReason::JobNotStored, "its job is not stored", {} },
    { MissingRunReason::FailureNotStored, "its latest failure is not stored", {} },
    { MissingRunReason::HeldForEvidence, "it is not known yet whether it has crashed its worker", {} },
    { MissingRunReason::PreviousOwners, "workers of previous owners may still run it", {} },
    { MissingRunReason::OwnerMayStartNothing, "its owner may start nothing at present", {} },
    { MissingRunReason::QueueNotConfigured, "its queue is not configured", {} },
    { MissingRunReason::QuotaUsedUp, "the quota of its customer is used up", {} },
    { MissingRunReason::NoTicket, "its step has no valid tickets", {} },
    { MissingRunReason::WorkerNotListed, "workers with room are not listed", "not listed" },
    { MissingRunReason::WorkerNotStored, "workers with room are not stored as in use yet", "not stored" },
    { MissingRunReason::WorkerNotContacted, "workers with room have not been contacted yet", "not contacted" },
    { MissingRunReason::WorkerUnresponsive, "workers with room do not respond", "no response" },
    { MissingRunReason::ListOutdated, "the list shows earlier incarnations of workers with room", "list outdated" },
    { MissingRunReason::IncarnationNotConfirmed, "workers with room have restarted since the last transaction",
        "incarnation not confirmed" },
    { MissingRunReason::WorkerDraining, "workers with room are draining", "draining" },
    { MissingRunReason::StartsNotAllowedYet, "leases of earlier incarnations of workers with room may be valid",
        "earlier leases" },
    { MissingRunReason::WorkerAvoidedForFailures, "workers with room are avoided for failed runs",
        "avoided for failures" },
    { MissingRunReason::WorkerAvoidedAfterStart, "workers with room are avoided after starts that failed",
        "avoided after a start" },
    { MissingRunReason::WorkerSlow, "workers with room are slow", "slow" },
    { MissingRunReason::WorkerStartsInFlight, "workers with room have other starts in flight", "starts in flight" },
    { MissingRunReason::WorkerTakesOtherJob, "other jobs, kept apart, have just started on workers with room",
        "takes another job" },
    { MissingRunReason::WorkerOnTrial, "tasks that may crash workers have just started on workers with room",
        "on trial" },
    { MissingRunReason::RunsOfUnknownSize, "workers with room run tasks of unknown size", "runs of unknown size" },
    { MissingRunReason::RoomHeldByUnresolvedRuns, "the room is held by runs that are not resolved",
        "held by unresolved runs" },
    { MissingRunReason::WorkerReserved, "workers with room are reserved for other steps", "reserved" },
    { MissingRunReason::NoRoom, "no worker has room for it", "no room" },
    { MissingRunReason::WindowFull, "other starts are in flight", {} },
    { MissingRunReason::GangHeldBack, "a gang is held back and starts first", {} },
    { MissingRunReason::WaitsForTrial, "it may crash workers, and none is free for its trial", {} },
    { MissingRunReason::NotReached, "no scheduling pass has reached it", {} },
};

constexpr bool isComplete()
{
    std::size_t position = 0;
    for (const ReasonText& each : texts) {
        if (static_cast<std::size_t>(each.reason) != position++)
            return false;
    }
    return position == missingRunReasons;
}

static_assert(isComplete(), "each reason has its text, in the order of the enumeration");

} // namespace

std::string_view describe(MissingRunReason reason) { return texts[static_cast<std::size_t>(reason)].ofTask; }

std::string_view describeForWorker(MissingRunReason reason) { return texts[static_cast<std::size_t>(reason)].ofWorker; }

} // namespace rattanrack::jobs
