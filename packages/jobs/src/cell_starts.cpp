#include "cell_state.h"
#include "free_capacity.h"

/// Starts on their way, and what became of those that began no run.
namespace rattanrack::jobs {

namespace {

std::string_view whyNotBegun(const CommandResult& answer)
{
    switch (answer.status) {
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
    return refusals[static_cast<std::size_t>(answer.refusal)];
}

/// An exchange that is late by itself tells of the worker and the network: of this node, only the wait before it does.
Duration timeToJudge(const CommandResult& answer)
{
    const Duration exchange = answer.responseTime - answer.queuedFor;
    return exchange > StartWindow::responseTimeLimit ? answer.queuedFor : answer.responseTime;
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
    if (!mayStart)
        startWindow.onLimitReached(now);
    return mayStart;
}

/// Of the placements those whose starts may go now; of a gang all or none. One larger than what is free of the window
/// waits until that is enough, or until nothing else is on its way, and meanwhile nothing that ranks lower starts.
std::vector<Placement> CellState::admitStarts(
    const Step& step, const std::vector<Placement>& placements, const FreeCapacity& space, TimePoint now)
{
    const int wanted = static_cast<int>(placements.size());
    if (step.isGang && startsInFlight > 0 && startsInFlight + wanted > startWindow.limit()) {
        isGangHeldBack = true;
        return {};
    }
    std::vector<Placement> admitted;
    for (const Placement& each : placements) {
        Worker& worker = *space.workers()[static_cast<std::size_t>(each.candidate)];
        const bool isFree = mayStartMore(now) && worker.mayTakeStarts();
        if (!step.isGang && !isFree)
            continue;
        ++worker.startsInFlight;
        ++startsInFlight;
        admitted.push_back(each);
    }
    return admitted;
}

void CellState::recordStartResult(const Worker& worker, const Run& run, const CommandResult& answer, TimePoint now)
{
    const WorkerId& id = worker.description.id;
    switch (answer.status) {
    case CommandStatus::Done:
    case CommandStatus::Refused:
    case CommandStatus::Unhealthy:
    case CommandStatus::Malformed: {
        const bool isMeasured = answer.responseTime > Duration::zero();
        startWindow.onResponse(id, run.startSentAt, isMeasured ? timeToJudge(answer) : now - run.startSentAt, now);
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

void CellState::onStartFailed(Worker& worker, const StartCommand& order, Run& run, const CommandResult& answer)
{
    if (run.phase == RunPhase::Confirmed)
        return; // Begun by an earlier sending, and listed since.
    if (run.mayStartLate || run.phase == RunPhase::Stopping) {
        sendStop(worker, order.task, order.run, "may come late");
        return;
    }
    presumeEnded(worker, order.task, whyNotBegun(answer), RunEvent::Kind::NotStarted);
}

} // namespace rattanrack::jobs
