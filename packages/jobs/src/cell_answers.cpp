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
    return answer.status == CallStatus::Done
        || (answer.status == CallStatus::Refused && answer.refusal == Refusal::StaleRun);
}

} // namespace

AnsweredRun CellState::answeredRun(const WorkerId& id, const TaskRef& task, RunNumber number)
{
    const auto worker = workers.find(id);
    if (worker == workers.end())
        return {};
    const auto run = worker->second.runs.find(task);
    if (run == worker->second.runs.end() || !run->second.is(number))
        return { &worker->second };
    run->second.hasCommandInFlight = false;
    run->second.isStartOnItsWay = false;
    return { &worker->second, &run->second };
}

void Cell::onAnswer(const StartOrder& order, const CommandResult& answer, TimePoint now)
{
    CellState& state = *m_state;
    const AnsweredRun answered = state.answeredRun(order.worker, order.task, order.run);
    if (answered.worker)
        state.noteDelivered(*answered.worker, order.bornUnixMs, answer.status, now);
    if (!answered.run)
        return;
    Worker& worker = *answered.worker;
    Run& run = *answered.run;
    state.recordStartResult(worker, run, answer, now);
    if (isTaken(answer)) {
        run.settledAt = now;
        run.mayComeLate = false;
        if (worker.clock.isOfLife(order.bornUnixMs) && worker.clock.isByThisLife(answer.workerClockMs, now))
            run.seenInLife = order.bornUnixMs;
        worker.isLookWanted = true;
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
    if (answer.status == CallStatus::NoResponse) {
        run.mayComeLate = true;
        run.retryAt = now + orderAgainAfter;
        worker.hasUnanswered = true;
        worker.avoidUntil = std::max(worker.avoidUntil, now + avoidAfterNoAnswer);
        worker.isLookWanted = true;
        return;
    }
    if (answer.status == CallStatus::WrongWorker) {
        state.onWorkerLost(worker, "another worker answers");
        worker.contact = WorkerContact::Unknown;
        worker.isLookWanted = true;
        return;
    }
    if (answer.status == CallStatus::Unhealthy)
        state.recordFailure(worker, now);
    if (answer.refusal == Refusal::StaleFence)
        state.noteFence(order.worker, now);
    if (answer.refusal == Refusal::InvalidTicket) {
        if (JobEntry* entry = state.find(order.task.job))
            entry->tickets.erase({ order.task.occurrence, order.task.step });
    }
    if (answer.status != CallStatus::Expired) {
        const bool isOutOfReach = answer.status == CallStatus::NotSent;
        worker.avoidUntil = std::max(worker.avoidUntil, now + (isOutOfReach ? avoidAfterNoAnswer : avoidAfterNoRoom));
        worker.isLookWanted = true;
    }
    state.onStartFailed(worker, order, run, answer);
}

void Cell::onAnswer(const StopOrder& order, const CommandResult& answer, TimePoint now)
{
    CellState& state = *m_state;
    const AnsweredRun answered = state.answeredRun(order.worker, order.task, order.run);
    if (!answered.run)
        return;
    Worker& worker = *answered.worker;
    Run& run = *answered.run;
    if (answer.status == CallStatus::WrongWorker) {
        state.onWorkerLost(worker, "another worker answers");
        return;
    }
    if (isTaken(answer)) {
        run.settledAt = now;
        run.mayComeLate = false;
        worker.isLookWanted = true;
    } else {
        run.retryAt = now + orderAgainAfter;
        worker.hasUnanswered = true;
    }
    if (answer.refusal == Refusal::StaleFence)
        state.noteFence(order.worker, now);
}

void Cell::onAnswer(const PaceOrder& order, const CommandResult& answer, TimePoint)
{
    const auto known = m_state->workers.find(order.worker);
    if (known == m_state->workers.end())
        return;
    const auto found = known->second.runs.find(order.task);
    if (found != known->second.runs.end() && found->second.is(order.run) && answer.status != CallStatus::Done)
        found->second.throttlePercent = -1; // Unknown: set again with the next look.
}

} // namespace rattanrack::jobs
