#include "cell_state.h"

#include <algorithm>

/// Results of starts, stops and throttle commands, and what each proves.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration retryDelay = 150ms; ///< After a command that left open whether the run exists.
constexpr Duration avoidAfterNoCapacity = 250ms;
constexpr Duration avoidAfterNoResponse = 700ms;

/// Whether the worker has carried out the command, now or before; a later poll shows the effect.
bool isAccepted(const CommandResult& result)
{
    return result.status == CommandStatus::Done
        || (result.status == CommandStatus::Refused && result.refusal == RefusalReason::StaleRun);
}

} // namespace

CommandedRun CellState::commandedRun(const WorkerId& id, const TaskRef& task, RunNumber number)
{
    const auto worker = workers.find(id);
    if (worker == workers.end())
        return {};
    const auto run = worker->second.runs.find(task);
    if (run == worker->second.runs.end() || !run->second.is(number))
        return { &worker->second };
    run->second.hasCommandInFlight = false;
    run->second.hasStartInFlight = false;
    return { &worker->second, &run->second };
}

void CellState::retryLater(Worker& worker, Run& run, TimePoint now)
{
    run.retryAt = now + retryDelay;
    worker.mayHaveRetries = true;
}

/// `run`: null if it has been removed since.
void CellState::recordStartEvidence(
    Worker& worker, const Run* run, const StartCommand& command, const CommandResult& result, TimePoint now)
{
    const TimePoint receivedAt = result.receivedAt == TimePoint {} ? now : result.receivedAt;
    if (isAccepted(result))
        recordStartAnswered(worker, command, result.workerClockMs, receivedAt);
    else if (result.isConnectionEnded) {
        if (command.incarnationUnixMs == worker.incarnationUnixMs)
            recordContactLoss(worker, { receivedAt, true }, now);
        recordStartReceived(command);
    } else if (result.status != CommandStatus::NoResponse && !(run && run->mayStartLate))
        discardStart(worker, command.task, command.run);
}

void Cell::onResult(const StartCommand& command, const CommandResult& result, TimePoint now)
{
    CellState& state = *m_state;
    const CommandedRun target = state.commandedRun(command.worker, command.task, command.run);
    if (target.worker && !result.isBound)
        state.recordDelivery(*target.worker, command.incarnationUnixMs, result.status, now);
    if (target.worker)
        state.recordStartEvidence(*target.worker, target.run, command, result, now);
    if (!target.run)
        return;
    Worker& worker = *target.worker;
    Run& run = *target.run;
    state.recordStartResult(worker, run, result, now);
    if (isAccepted(result)) {
        run.acknowledgedAt = now;
        run.mayStartLate = false;
        if (worker.clock.isOfIncarnation(command.incarnationUnixMs)
            && worker.clock.isFromThisIncarnation(result.workerClockMs, now))
            run.seenInIncarnation = command.incarnationUnixMs;
        worker.needsPoll = true;
        JobEntry* entry = state.find(command.task.job);
        const bool isUnwanted = !entry || (entry->progress.hasEnded() && !entry->hasUnstoredFailure());
        if (run.phase == RunPhase::Stopping || isUnwanted) {
            state.sendStop(worker, command.task, command.run, "no longer wanted");
        } else if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Confirmed;
            run.confirmedAt = now;
            entry->progress.onRunning(command.task);
        }
        return;
    }
    if (result.status == CommandStatus::NoResponse) {
        run.mayStartLate = true;
        run.unresolvedAt = now;
        CellState::retryLater(worker, run, now);
        worker.avoidUntil = std::max(worker.avoidUntil, now + avoidAfterNoResponse);
        worker.needsPoll = true;
        return;
    }
    if (result.status == CommandStatus::WrongWorker && state.onOtherWorkerAtAddress(worker, now)) {
        worker.contact = WorkerContact::Unknown;
        worker.needsPoll = true;
        return;
    }
    if (result.status == CommandStatus::Unhealthy)
        state.recordFailure(worker, now);
    if (result.refusal == RefusalReason::StaleFence)
        state.recordHigherFence(command.worker, now);
    if (result.refusal == RefusalReason::InvalidTicket) {
        if (JobEntry* entry = state.find(command.task.job))
            entry->tickets[{ command.task.occurrence, command.task.step }].remove(command.worker);
    }
    if (result.status != CommandStatus::Expired) {
        const bool isUnreachable = result.status == CommandStatus::NotSent;
        worker.avoidUntil
            = std::max(worker.avoidUntil, now + (isUnreachable ? avoidAfterNoResponse : avoidAfterNoCapacity));
        worker.needsPoll = true;
    }
    state.onStartFailed(worker, command, run, result, now);
}

void Cell::onResult(const StopCommand& command, const CommandResult& result, TimePoint now)
{
    CellState& state = *m_state;
    const CommandedRun target = state.commandedRun(command.worker, command.task, command.run);
    if (!target.run)
        return;
    Worker& worker = *target.worker;
    Run& run = *target.run;
    if (result.status == CommandStatus::WrongWorker && state.onOtherWorkerAtAddress(worker, now))
        return;
    if (isAccepted(result)) {
        run.acknowledgedAt = now;
        run.mayStartLate = false;
        worker.needsPoll = true;
    } else {
        CellState::retryLater(worker, run, now);
    }
    if (result.refusal == RefusalReason::StaleFence)
        state.recordHigherFence(command.worker, now);
}

void Cell::onResult(const ThrottleCommand& command, const CommandResult& result, TimePoint)
{
    const auto known = m_state->workers.find(command.worker);
    if (known == m_state->workers.end())
        return;
    const auto found = known->second.runs.find(command.task);
    if (found != known->second.runs.end() && found->second.is(command.run) && result.status != CommandStatus::Done)
        found->second.throttlePercent = -1; // Unknown: set again after the next poll.
}

} // namespace rattanrack::jobs
