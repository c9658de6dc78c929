#include "cell_state.h"
#include "free_capacity.h"

/// Starts in flight, and starts that did not lead to a run.
namespace rattanrack::jobs {

namespace {

std::string_view reasonNotStarted(const CommandResult& result)
{
    switch (result.status) {
    case CommandStatus::Expired:
        return "start expired in our queue";
    case CommandStatus::NotSent:
        return "start not sent";
    case CommandStatus::Unhealthy:
        return "start refused: unhealthy";
    case CommandStatus::Malformed:
        return "start refused: malformed";
    default:
        break;
    }
    constexpr std::string_view refusals[] = { "start refused", "start refused: fence", "start refused: old",
        "start refused: late", "start refused: room", "start refused: ticket" };
    return refusals[static_cast<std::size_t>(result.refusal)];
}

/// Whether the worker has refused a retried start because it does not have the run. Otherwise an earlier transmission
/// may have started the run, which may be at work.
bool isRunAbsent(const CommandResult& result) { return result.status == CommandStatus::Refused; }

/// Whether a list that was requested after the latest transmission without a response lacks the run. A start that
/// arrives later still is refused after the stop.
bool isMissingFromLaterList(const Worker& worker, const Run& run)
{
    return worker.contact == WorkerContact::Responsive && worker.lastPollSentAt > run.unresolvedAt;
}

/// The response time that this node accounts for. If the exchange with the worker is late by itself, the worker or the
/// network is slow, and only the wait before the exchange counts.
Duration ownResponseTime(const CommandResult& result)
{
    const Duration exchange = result.responseTime - result.queuedFor;
    return exchange > StartWindow::responseTimeLimit ? result.queuedFor : result.responseTime;
}

} // namespace

std::size_t Cell::commandsInFlight() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : m_state->workers) {
        for (const auto& [task, run] : worker.runs)
            count += run.hasCommandInFlight ? 1 : 0;
    }
    return count;
}

int Cell::startLimit() const { return m_state->startWindow.limit(); }

void CellState::countStarts(TimePoint now)
{
    startsInFlight = 0;
    isGangHeldBack = false;
    isWindowFull = false;
    for (auto& [id, worker] : workers) {
        worker.startsInFlight = 0;
        worker.isSlow = false;
        for (const auto& [task, run] : worker.runs) {
            if (run.phase != RunPhase::Starting || !run.hasCommandInFlight)
                continue;
            ++worker.startsInFlight;
            worker.isSlow = worker.isSlow || startWindow.isOvertaken(run.startSentAt);
            startsInFlight += startWindow.isExcluded(run.startSentAt, now) ? 0 : 1;
        }
    }
}

bool CellState::mayStartMore(TimePoint now)
{
    const bool mayStart = startsInFlight < startWindow.limit() && !isGangHeldBack;
    isWindowFull = isWindowFull || !mayStart;
    if (!mayStart) {
        startWindow.onLimitReached(now);
        windowFullAt = now;
    }
    return mayStart;
}

/// Returns the placements whose starts may be sent now; of a gang all or none. A gang larger than the free part of the
/// window waits until that is large enough or until no other start is in flight. Meanwhile no step of lower rank
/// starts.
std::vector<Placement> CellState::admitStarts(
    const Step& step, const std::vector<Placement>& placements, const FreeCapacity& capacity, TimePoint now)
{
    const int wanted = static_cast<int>(placements.size());
    if (step.isGang && startsInFlight > 0 && startsInFlight + wanted > startWindow.limit()) {
        isGangHeldBack = true;
        return {};
    }
    std::vector<Placement> admitted;
    for (const Placement& each : placements) {
        Worker& worker = *capacity.workers()[static_cast<std::size_t>(each.candidate)];
        const bool isFree = mayStartMore(now) && worker.mayTakeStarts();
        if (!step.isGang && !isFree)
            continue;
        ++worker.startsInFlight;
        ++startsInFlight;
        admitted.push_back(each);
    }
    return admitted;
}

void CellState::recordStartResult(const Worker& worker, const Run& run, const CommandResult& result, TimePoint now)
{
    const WorkerId& id = worker.description.id;
    switch (result.status) {
    case CommandStatus::Done:
    case CommandStatus::Refused:
    case CommandStatus::Unhealthy:
    case CommandStatus::Malformed: {
        const bool isMeasured = result.responseTime > Duration::zero();
        startWindow.onResponse(id, run.startSentAt, isMeasured ? ownResponseTime(result) : now - run.startSentAt, now);
        break;
    }
    case CommandStatus::Expired:
        startWindow.onExpired(id, run.startSentAt, now);
        break;
    case CommandStatus::WrongWorker:
    case CommandStatus::NotSent:
    case CommandStatus::NoResponse:
        break;
    }
}

void CellState::onStartFailed(
    Worker& worker, const StartCommand& command, Run& run, const CommandResult& result, TimePoint now)
{
    if (run.phase == RunPhase::Confirmed)
        return; // Started by an earlier transmission, and listed since.
    const bool isUnresolved = run.mayStartLate && run.phase == RunPhase::Starting;
    if (isUnresolved && !isRunAbsent(result) && !isMissingFromLaterList(worker, run)) {
        retryLater(worker, run, now);
        return;
    }
    if (run.mayStartLate || run.phase == RunPhase::Stopping) {
        sendStop(worker, command.task, command.run, "the start may be carried out late");
        return;
    }
    presumeEnded(worker, command.task, { RunEvent::Kind::NotStarted, reasonNotStarted(result), now }, now);
}

} // namespace rattanrack::jobs
