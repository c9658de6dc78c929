#include "cell_simulation.h"

#include <algorithm>

/// Transport of commands to the workers and of results to the owners.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration networkDelay = 2ms;
constexpr Duration commandTimeout = 700ms;
constexpr Duration pollInterval = 10ms; ///< Interval at which a waiting poll checks for ended runs.
constexpr Duration maxQueueTime = 250ms; ///< Longest time that a start waits before it is sent.
constexpr std::size_t fullListSize = 500; ///< Ended runs that a worker lists at most.
constexpr std::size_t truncatedListSize = 1;

} // namespace

void CellSimulation::dispatch(const WorkerCommand& command, int owner)
{
    std::visit(
        [this, owner](const auto& each) {
            if constexpr (std::is_same_v<std::decay_t<decltype(each)>, PollCommand>)
                poll(each, owner);
            else
                sendInOrder(each, owner);
        },
        command);
}

template <typename CommandType> void CellSimulation::sendInOrder(const CommandType& command, int owner)
{
    const bool isLost = happens(m_faults.lostCommands);
    const bool isResponseLost = isLost || happens(m_faults.lostResponses);
    const CommandExecution execution { m_now, isLost, owner == m_ownerNumber && presentOwner() };
    const TimePoint sentAt = sendTime(owner, command.worker);
    if (sentAt == m_now)
        return send(command, owner, execution, isResponseLost);
    schedule(sentAt - m_now, [this, command, owner, execution, isResponseLost] {
        const bool isStart = std::is_same_v<CommandType, StartCommand>;
        if (!findOwner(owner))
            return; // The owner's queues no longer exist.
        if (isStart && m_now - execution.issuedAt > maxQueueTime)
            runOnLoop(owner,
                [this, command](Owner& issuer) { issuer.cell->onResult(command, { CommandStatus::Expired }, m_now); });
        else
            send(command, owner, execution, isResponseLost);
    });
}

/// Returns when a command that has just been issued is sent.
TimePoint CellSimulation::sendTime(int owner, const WorkerId& worker)
{
    TimePoint& sentUpTo = findOwner(owner)->sentUpTo[worker];
    const Duration wait = happens(m_faults.delayedCommands) ? randomBetween(0us, 3s) : Duration {};
    sentUpTo = std::max(sentUpTo, m_now + wait);
    return sentUpTo;
}

template <typename CommandType>
void CellSimulation::send(const CommandType& command, int owner, const CommandExecution& execution, bool isResponseLost)
{
    const auto deliver = [this, command, owner](CommandResult result) {
        result.isBound = !m_faults.areConnectionsClosed;
        runOnLoop(owner, [this, command, result](Owner& issuer) { issuer.cell->onResult(command, result, m_now); });
    };
    if (isResponseLost)
        schedule(commandTimeout, [deliver] { deliver({ CommandStatus::NoResponse }); });
    schedule(networkDelay, [this, command, deliver, isResponseLost, execution] {
        ModelWorker* worker = find(command.worker);
        if (!worker || isPartitioned(command.worker)) {
            if (!isResponseLost)
                schedule(commandTimeout, [deliver] { deliver({ CommandStatus::NoResponse }); });
            return;
        }
        if constexpr (std::is_same_v<CommandType, StartCommand>) {
            const bool isOfOtherIncarnation = worker->description().incarnationUnixMs != command.incarnationUnixMs;
            // The connection has ended with the incarnation that it was made to.
            if (isOfOtherIncarnation && !isResponseLost)
                deliver({ CommandStatus::NotSent });
            if (isOfOtherIncarnation)
                return;
        }
        if (execution.isDelayed)
            return executeLate(command, worker->description().incarnationUnixMs, execution);
        const CommandResult result = execute(*worker, command, execution);
        const bool isCutOff = !isResponseLost && isResponseCutOff(command, result);
        if (isCutOff)
            schedule(commandTimeout, [deliver] { deliver({ CommandStatus::NoResponse }); });
        else if (!isResponseLost)
            schedule(networkDelay, [deliver, result] { deliver(result); });
    });
}

/// Whether the worker crashes before it has sent the response.
template <typename CommandType>
bool CellSimulation::isResponseCutOff(const CommandType& command, const CommandResult& result)
{
    const bool isStart = std::is_same_v<CommandType, StartCommand>;
    return isStart && result.status == CommandStatus::Done && crashesWorkers(command.task) && happens(0.5);
}

/// The incarnation that has received the command carries it out, if it still exists then.
template <typename CommandType>
void CellSimulation::executeLate(
    const CommandType& command, std::int64_t incarnationUnixMs, const CommandExecution& execution)
{
    schedule(randomBetween(2s, 12s), [this, command, incarnationUnixMs, execution] {
        ModelWorker* worker = find(command.worker);
        if (worker && worker->description().incarnationUnixMs == incarnationUnixMs)
            execute(*worker, command, execution);
    });
}

CommandResult CellSimulation::execute(
    ModelWorker& worker, const StartCommand& command, const CommandExecution& execution)
{
    const auto before = worker.runs().find(command.task);
    const bool wasThere = before != worker.runs().end() && before->second.number == command.run;
    const CommandResult result = worker.start(command, behaviorOf(command.task), happens(m_faults.failedRuns), m_now);
    processWorkerEvents(worker);
    if (result.status == CommandStatus::Done && !wasThere) {
        m_oracle.onStarted(command, execution, m_now);
        if (!worker.enforcesCapacity())
            m_oracle.checkCapacity(command, worker.used(), worker.capacity(), m_now);
        checkStart(worker, command, execution);
        if (crashesWorkers(command.task))
            crashUnder(worker, command);
    }
    processWorkerEvents(worker);
    return result;
}

CommandResult CellSimulation::execute(
    ModelWorker& worker, const StopCommand& command, const CommandExecution& execution)
{
    worker.advance(m_now);
    processWorkerEvents(worker);
    if (worker.wouldAccept(command.fence) && worker.isActive(command.task, command.run))
        m_oracle.onStopped(command, execution, m_now);
    const Duration time = happens(m_faults.slowStops) ? randomBetween(0us, longestStop) : Duration {};
    const CommandResult result = worker.stop(command, time, m_now);
    processWorkerEvents(worker);
    return result;
}

void CellSimulation::poll(const PollCommand& command, int owner)
{
    const Duration wait = happens(m_faults.delayedCommands) ? randomBetween(0us, 3s) : Duration {};
    PollCommand sent = command;
    if (wait > maxQueueTime)
        sent.ackedThrough = 0;
    schedule(wait, [this, sent, owner] {
        if (!findOwner(owner))
            return;
        const TimePoint sentAt = m_now;
        schedule(
            networkDelay, [this, sent, sentAt, owner] { finishPoll(sent, sentAt, m_now + sent.longestWait, owner); });
    });
}

/// The incarnation that has received the poll carries it out, if it still exists then.
void CellSimulation::pollLate(const PollCommand& command, std::int64_t incarnationUnixMs)
{
    schedule(randomBetween(2s, 12s), [this, command, incarnationUnixMs] {
        ModelWorker* worker = find(command.worker);
        if (!worker || worker->description().incarnationUnixMs != incarnationUnixMs)
            return;
        worker->poll(command, fullListSize, m_now);
        processWorkerEvents(*worker);
    });
}

void CellSimulation::finishPoll(PollCommand command, TimePoint sentAt, TimePoint deadline, int owner)
{
    const auto deliver = [this, command, sentAt, owner](PollResult result) {
        result.isBound = !m_faults.areConnectionsClosed;
        runOnLoop(owner,
            [this, command, sentAt, result](Owner& issuer) { issuer.cell->onResult(command, result, sentAt, m_now); });
    };
    ModelWorker* worker = find(command.worker);
    const bool isReachable = worker && !isPartitioned(command.worker);
    if (isReachable && worker->description().incarnationUnixMs != command.incarnationUnixMs) {
        command.ackedThrough = 0; // The poll goes over a new connection.
        if (!m_faults.areConnectionsClosed)
            command.leaseUntilWorkerMs = 0;
    }
    const bool isDelayed = isReachable && happens(m_faults.delayedPolls);
    if (isDelayed)
        pollLate(command, worker->description().incarnationUnixMs);
    if (!isReachable || isDelayed) {
        schedule(commandTimeout, [deliver] { deliver({ CommandStatus::NoResponse }); });
        return;
    }
    PollResult result
        = worker->poll(command, happens(m_faults.truncatedPolls) ? truncatedListSize : fullListSize, m_now);
    processWorkerEvents(*worker);
    if (result.status == CommandStatus::Done && result.report.endedRuns.empty() && m_now < deadline) {
        schedule(
            pollInterval, [this, command, sentAt, deadline, owner] { finishPoll(command, sentAt, deadline, owner); });
        return;
    }
    if (result.status == CommandStatus::Done)
        recordEndedRuns(result.report);
    if (happens(m_faults.lostResponses))
        result = { CommandStatus::NoResponse };
    schedule(networkDelay, [deliver, result] { deliver(result); });
}

} // namespace rattanrack::jobs::model
