#include "worker_bar.h"

namespace rattanrack::jobs {

namespace {

MissingRunReason barOfUnconfirmed(const Worker& worker)
{
    if (worker.contact == WorkerContact::Unknown)
        return MissingRunReason::WorkerNotContacted;
    if (worker.contact != WorkerContact::Responsive || !worker.clock.isKnown())
        return MissingRunReason::WorkerUnresponsive;
    return worker.isDescriptionCurrent() ? MissingRunReason::IncarnationNotConfirmed : MissingRunReason::ListOutdated;
}

} // namespace

std::optional<MissingRunReason> barOf(const Worker& worker, const CellState& state, TimePoint now)
{
    if (!worker.isListed)
        return MissingRunReason::WorkerNotListed;
    if (!state.isIncarnationConfirmed(worker))
        return barOfUnconfirmed(worker);
    const bool isDrained = state.mayBeTakenDown(worker.description.machine, now) || worker.isContactDueAfterDrain;
    if (worker.description.isDraining || isDrained)
        return MissingRunReason::WorkerDraining;
    if (now < worker.startsAllowedAt)
        return MissingRunReason::StartsNotAllowedYet;
    if (worker.isAvoidedForFailures(now))
        return MissingRunReason::WorkerAvoidedForFailures;
    if (worker.isAvoided(now))
        return MissingRunReason::WorkerAvoidedAfterStart;
    if (worker.isSlow)
        return MissingRunReason::WorkerSlow;
    if (!worker.mayTakeStarts())
        return MissingRunReason::WorkerStartsInFlight;
    if (worker.hasTrial())
        return MissingRunReason::WorkerOnTrial;
    if (worker.colocatedRuns.ofUnknownSize > 0)
        return MissingRunReason::RunsOfUnknownSize;
    return std::nullopt;
}

} // namespace rattanrack::jobs
