#include "cell_state.h"

#include <algorithm>

/// Answers to starts, stops and paces, and what is proved by each.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration orderAgainAfter = 150ms; ///< After an order without an answer.
constexpr Duration avoidAfterNoRoom = 250ms;
constexpr Duration avoidAfterNoAnswer = 700ms;

/// Carried out, now or before: a later look tells what came of it.
bool isTaken(const CommandResult& answer)
{
    return answer.status == CommandStatus::Done
        || (answer.status == CommandStatus::Refused && answer.refusal == RefusalReason::StaleRun);
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

void Cell::onResult(const StartCommand& order, const CommandResult& answer, TimePoint now)
{
    CellState& state = *m_state;
    const CommandedRun answered = state.commandedRun(order.worker, order.task, order.run);
    if (answered.worker)
        state.recordDelivery(*answered.worker, order.incarnationUnixMs, answer.status, now);
    if (!answered.run)
        return;
    Worker& worker = *answered.worker;
    Run& run = *answered.run;
    state.recordStartResult(worker, run, answer, now);
    if (isTaken(answer)) {
        run.acknowledgedAt = now;
        run.mayStartLate = false;
        if (worker.clock.isOfIncarnation(order.incarnationUnixMs)
            && worker.clock.isFromThisIncarnation(answer.workerClockMs, now))
            run.seenInIncarnation = order.incarnationUnixMs;
        worker.needsPoll = true;
        JobEntry* entry = state.find(order.task.job);
        if (run.phase == RunPhase::Stopping || !entry || entry->progress.hasEnded()) {
            state.sendStop(worker, order.task, order.run, "not wanted any more");
        } else if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Confirmed;
            run.confirmedAt = now;
            entry->progress.onRunning(order.task);
        }
        return;
    }
    if (answer.status == CommandStatus::NoResponse) {
        run.mayStartLate = true;
        run.retryAt = now + orderAgainAfter;
        worker.mayHaveRetries = true;
        worker.avoidUntil = std::max(worker.avoidUntil, now + avoidAfterNoAnswer);
        worker.needsPoll = true;
        return;
    }
    if (answer.status == CommandStatus::WrongWorker) {
        state.onWorkerLost(worker, "another worker answers");
        worker.contact = WorkerContact::Unknown;
        worker.needsPoll = true;
        return;
    }
    if (answer.status == CommandStatus::Unhealthy)
        state.recordFailure(worker, now);
    if (answer.refusal == RefusalReason::StaleFence)
        state.recordHigherFence(order.worker, now);
    if (answer.refusal == RefusalReason::InvalidTicket) {
        if (JobEntry* entry = state.find(order.task.job))
            entry->tickets.erase({ order.task.occurrence, order.task.step });
    }
    if (answer.status != CommandStatus::Expired) {
        const bool isOutOfReach = answer.status == CommandStatus::NotSent;
        worker.avoidUntil = std::max(worker.avoidUntil, now + (isOutOfReach ? avoidAfterNoAnswer : avoidAfterNoRoom));
        worker.needsPoll = true;
    }
    state.onStartFailed(worker, order, run, answer);
}

void Cell::onResult(const StopCommand& order, const CommandResult& answer, TimePoint now)
{
    CellState& state = *m_state;
    const CommandedRun answered = state.commandedRun(order.worker, order.task, order.run);
    if (!answered.run)
        return;
    Worker& worker = *answered.worker;
    Run& run = *answered.run;
    if (answer.status == CommandStatus::WrongWorker) {
        state.onWorkerLost(worker, "another worker answers");
        return;
    }
    if (isTaken(answer)) {
        run.acknowledgedAt = now;
        run.mayStartLate = false;
        worker.needsPoll = true;
    } else {
        run.retryAt = now + orderAgainAfter;
        worker.mayHaveRetries = true;
    }
    if (answer.refusal == RefusalReason::StaleFence)
        state.recordHigherFence(order.worker, now);
}

void Cell::onResult(const ThrottleCommand& order, const CommandResult& answer, TimePoint)
{
    const auto known = m_state->workers.find(order.worker);
    if (known == m_state->workers.end())
        return;
    const auto found = known->second.runs.find(order.task);
    if (found != known->second.runs.end() && found->second.is(order.run) && answer.status != CommandStatus::Done)
        found->second.throttlePercent = -1; // Unknown: set again with the next look.
}

} // namespace rattanrack::jobs
