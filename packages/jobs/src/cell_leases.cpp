#include "cell_state.h"

/// Leases of runs: what starts grant, and when runs on workers without contact are over.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration startLease = 2s; ///< Lease of a start; polls renew it.

} // namespace

/// `isBound`: the worker keeps its connections, so that leases of previous owners reached no later incarnation either.
void CellState::recordIncarnation(Worker& worker, std::int64_t incarnationUnixMs, bool isBound, TimePoint now) const
{
    if (worker.clock.isOfIncarnation(incarnationUnixMs))
        return;
    worker.startsAllowedAt = worker.clock.unboundLeasesEndAt(settings.longestLease);
    worker.clock.beginIncarnation(incarnationUnixMs, settings.longestLease, {});
    const bool isFirstOwner = settings.fence <= 1;
    if (!isFirstOwner)
        worker.clock.inherit(now, isBound ? settings.leaseLength : settings.longestLease);
}

void CellState::grantStart(Worker& worker, Run& run, TimePoint now)
{
    run.start.leaseUntilWorkerMs = worker.clock.grant(startLease, now);
    run.start.incarnationUnixMs = worker.incarnationUnixMs;
    run.startSentAt = now;
    run.hasCommandInFlight = true;
    run.hasStartInFlight = true;
    recordStartSent(worker, run.start, now);
}

void CellState::recordDelivery(
    Worker& worker, std::int64_t incarnationUnixMs, CommandStatus status, TimePoint now) const
{
    if (status != CommandStatus::NotSent && status != CommandStatus::Expired)
        worker.clock.recordDelivery(incarnationUnixMs, status != CommandStatus::NoResponse, settings.longestLease, now);
}

void CellState::checkUnresponsive(TimePoint now)
{
    for (auto& [id, worker] : workers) {
        if (worker.contact != WorkerContact::Unresponsive || now < worker.clock.leasesEndAt())
            continue;
        std::vector<std::pair<TaskRef, TimePoint>> expired;
        for (const auto& [task, run] : worker.runs) {
            const TimePoint leaseEnd = leaseEndOf(worker, run, now);
            if (now >= leaseEnd)
                expired.emplace_back(task, leaseEnd);
        }
        for (const auto& [task, leaseEnd] : expired)
            presumeEnded(worker, task, { .text = "lease expired", .overAt = leaseEnd }, now);
        if (!expired.empty() && worker.runs.empty())
            releaseInherited(id, now);
    }
}

/// The list and the lease must be for the incarnation that responds. A replaced owner does not detect its replacement
/// until its next transaction, and an incarnation that started after the next owner's poll has not received the higher
/// fence that would make it refuse.
bool CellState::isIncarnationConfirmed(const Worker& worker) const
{
    return worker.contact == WorkerContact::Responsive && worker.clock.isKnown() && worker.isDescriptionCurrent()
        && worker.startedAtLatest <= ownershipConfirmedAt;
}

/// A run that the current incarnation is not known to have may be active in a later one, if a lease sent to the current
/// one was not bound to it: the later one interprets that lease by its own clock. A command in flight arrives now at
/// the earliest, and whether it was bound is not known yet.
TimePoint CellState::leaseEndOf(const Worker& worker, const Run& run, TimePoint now) const
{
    if (run.seenInIncarnation == worker.incarnationUnixMs)
        return worker.clock.leasesEndAt();
    LeaseClock delivered = worker.clock;
    if (worker.hasLeaseInFlight())
        delivered.recordDelivery(worker.incarnationUnixMs, true, settings.longestLease, now);
    return delivered.leasesEndInAllIncarnationsAt(worker.isLaterIncarnationListed(), settings.longestLease);
}

} // namespace rattanrack::jobs
