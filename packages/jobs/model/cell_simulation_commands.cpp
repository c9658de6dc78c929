#include "cell_simulation.h"

#include <algorithm>

/// Transport of commands to the workers and of results to the owners.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

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
            expire(command, owner);
        else
            send(command, owner, execution, isResponseLost);
    });
}

template <typename CommandType> void CellSimulation::expire(const CommandType& command, int owner)
{
    CommandResult result { CommandStatus::Expired };
    result.receivedAt = m_now;
    runOnLoop(owner, [this, command, result](Owner& issuer) { issuer.cell->onResult(command, result, m_now); });
}

/// Returns when a command that has just been issued is sent.
TimePoint CellSimulation::sendTime(int owner, const WorkerId& worker)
{
    TimePoint& sentUpTo = findOwner(owner)->sentUpTo[worker];
    const Duration wait = happens(m_faults.delayedCommands) ? randomBetween(0us, 3s) : Duration {};
    sentUpTo = std::max(sentUpTo, m_now + wait);
    return sentUpTo;
}

CellSimulation::ExchangeNumber CellSimulation::openExchange(
    int owner, const WorkerId& worker, std::function<void(CommandStatus status, bool isConnectionEnded)> fail)
{
    m_openExchanges[++m_lastExchange] = { owner, worker, m_now, std::move(fail) };
    return m_lastExchange;
}

/// Does nothing if the exchange has a result.
void CellSimulation::failExchange(ExchangeNumber exchange, CommandStatus status, bool isConnectionEnded)
{
    const auto open = m_openExchanges.extract(exchange);
    if (!open.empty())
        open.mapped().fail(status, isConnectionEnded);
}

void CellSimulation::failExchangeLater(ExchangeNumber exchange, CommandStatus status, Duration after)
{
    schedule(after, [this, exchange, status] { failExchange(exchange, status); });
}

/// The worker is down, or the owner does not reach it. A closed port refuses a new connection at once, and a worker
/// that has returned under another id refuses commands to the earlier one.
void CellSimulation::failUnreachable(ExchangeNumber exchange)
{
    const OpenExchange& open = m_openExchanges.at(exchange);
    const auto found = m_crashes.find(open.worker);
    if (linkState(open.owner, open.worker) != LinkState::Up || found == m_crashes.end())
        return failExchangeLater(exchange, CommandStatus::NoResponse, commandTimeout);
    const Crash& crash = found->second;
    const ModelWorker& successor = m_workers[crash.index];
    if (successor.isUp() && successor.description().machine == crash.machine)
        return failExchangeLater(exchange, CommandStatus::WrongWorker, networkDelay);
    if (crash.isSilent)
        return failExchangeLater(exchange, CommandStatus::NoResponse, commandTimeout);
    // The end of an open connection arrives in `endConnections`.
    if (open.sentAt >= crash.at + networkDelay)
        failExchangeLater(exchange, CommandStatus::NotSent, networkDelay);
}

/// The end of the connections to an incarnation that has crashed arrives at the owners.
void CellSimulation::endConnections(const WorkerId& worker)
{
    std::vector<ExchangeNumber> ended;
    for (const auto& [number, exchange] : m_openExchanges) {
        if (exchange.worker == worker)
            ended.push_back(number);
    }
    for (const ExchangeNumber number : ended) {
        if (linkState(m_openExchanges.at(number).owner, worker) != LinkState::Up)
            failExchangeLater(number, CommandStatus::NoResponse, commandTimeout);
        else
            failExchange(number, CommandStatus::NoResponse, true);
    }
}

template <typename CommandType>
void CellSimulation::send(const CommandType& command, int owner, const CommandExecution& execution, bool isResponseLost)
{
    const auto deliver = [this, command, owner](CommandResult result) {
        result.isBound = !m_faults.areConnectionsClosed;
        result.receivedAt = m_now;
        runOnLoop(owner, [this, command, result](Owner& issuer) { issuer.cell->onResult(command, result, m_now); });
    };
    const ExchangeNumber exchange
        = openExchange(owner, command.worker, [deliver](CommandStatus status, bool isConnectionEnded) {
              CommandResult result { status };
              result.isConnectionEnded = isConnectionEnded;
              deliver(result);
          });
    if (isResponseLost)
        failExchangeLater(exchange, CommandStatus::NoResponse, commandTimeout);
    schedule(networkDelay, [this, command, owner, deliver, exchange, isResponseLost, execution] {
        if (!m_openExchanges.contains(exchange))
            return;
        ModelWorker* worker = find(command.worker);
        const LinkState link = linkState(owner, command.worker);
        if (!worker || link == LinkState::Down) {
            if (!isResponseLost)
                failUnreachable(exchange);
            return;
        }
        if constexpr (std::is_same_v<CommandType, StartCommand>) {
            const bool isOfOtherIncarnation = worker->description().incarnationUnixMs != command.incarnationUnixMs;
            // The connection has ended with the incarnation that it was made to.
            if (isOfOtherIncarnation && !isResponseLost)
                failExchange(exchange, CommandStatus::NotSent);
            if (isOfOtherIncarnation)
                return;
        }
        if (execution.isDelayed)
            return executeLate(command, worker->description().incarnationUnixMs, execution);
        const CommandResult result = execute(*worker, command, execution);
        const bool isCutOff = !isResponseLost && (link != LinkState::Up || isResponseCutOff(command, result));
        if (isCutOff)
            failExchangeLater(exchange, CommandStatus::NoResponse, commandTimeout);
        else if (!isResponseLost)
            schedule(responseDelay(), [this, deliver, exchange, result] {
                if (m_openExchanges.erase(exchange) > 0)
                    deliver(result);
            });
    });
}

/// Whether the worker crashes before it has sent the response.
template <typename CommandType>
bool CellSimulation::isResponseCutOff(const CommandType& command, const CommandResult& result)
{
    const bool isStart = std::is_same_v<CommandType, StartCommand>;
    return isStart && result.status == CommandStatus::Done && crashesWorkers(command.task) && happens(0.5);
}

Duration CellSimulation::executionDelay()
{
    return m_faults.longestExecutionDelay > Duration::zero() ? randomBetween(0us, m_faults.longestExecutionDelay)
                                                             : randomBetween(2s, 12s);
}

/// The incarnation that a command carried out late was sent to still exists, or a later one receives the command.
ModelWorker* CellSimulation::findLateReceiver(const WorkerId& id, std::int64_t incarnationUnixMs)
{
    ModelWorker* worker = find(id);
    const bool mayBeLater = m_faults.areLateCommandsHeldOnTheWay && m_faults.areConnectionsClosed;
    const bool isReceiver = worker && (mayBeLater || worker->description().incarnationUnixMs == incarnationUnixMs);
    return isReceiver ? worker : nullptr;
}

template <typename CommandType>
void CellSimulation::executeLate(
    const CommandType& command, std::int64_t incarnationUnixMs, const CommandExecution& execution)
{
    schedule(executionDelay(), [this, command, incarnationUnixMs, execution] {
        if (ModelWorker* worker = findLateReceiver(command.worker, incarnationUnixMs))
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
        if (isGangMember(command.task))
            worker.setEnd(command.task, TimePoint::max());
        m_oracle.onStarted(command, execution, m_now);
        if (!worker.enforcesCapacity())
            m_oracle.checkCapacity(command, worker.used(), worker.capacity(), m_now);
        checkStart(worker, command, execution);
        if (crashesWorkers(command.task))
            crashUnder(worker, command);
        else
            m_startSurvival.onStarted(command.task, command.worker, m_now - worker.startedAt(), m_now);
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
        if (findOwner(owner))
            sendPoll(sent, owner);
    });
}

void CellSimulation::sendPoll(const PollCommand& command, int owner)
{
    const auto deliver = [this, command, owner, sentAt = m_now](PollResult result) {
        result.isBound = !m_faults.areConnectionsClosed;
        result.receivedAt = m_now;
        runOnLoop(owner,
            [this, command, sentAt, result](Owner& issuer) { issuer.cell->onResult(command, result, sentAt, m_now); });
    };
    const ExchangeNumber exchange
        = openExchange(owner, command.worker, [deliver](CommandStatus status, bool isConnectionEnded) {
              PollResult result { status };
              result.isConnectionEnded = isConnectionEnded;
              deliver(result);
          });
    schedule(networkDelay, [this, command, owner, exchange, deliver] {
        finishPoll({ command, owner, m_now + command.longestWait, exchange, deliver });
    });
}

void CellSimulation::pollLate(const PollCommand& command, std::int64_t incarnationUnixMs)
{
    schedule(executionDelay(), [this, command, incarnationUnixMs] {
        ModelWorker* worker = findLateReceiver(command.worker, incarnationUnixMs);
        if (!worker)
            return;
        worker->poll(command, fullListSize, m_now);
        processWorkerEvents(*worker);
    });
}

void CellSimulation::finishPoll(WaitingPoll waiting)
{
    const ExchangeNumber exchange = waiting.exchange;
    if (!m_openExchanges.contains(exchange))
        return;
    PollCommand& command = waiting.command;
    ModelWorker* worker = find(command.worker);
    const LinkState link = linkState(waiting.owner, command.worker);
    if (!worker || link == LinkState::Down)
        return failUnreachable(exchange);
    if (worker->description().incarnationUnixMs != command.incarnationUnixMs) {
        command.ackedThrough = 0; // The poll goes over a new connection.
        if (!m_faults.areConnectionsClosed)
            command.leaseUntilWorkerMs = 0;
    }
    if (happens(m_faults.delayedPolls)) {
        pollLate(command, worker->description().incarnationUnixMs);
        return failExchangeLater(exchange, CommandStatus::NoResponse, commandTimeout);
    }
    const PollResult result
        = worker->poll(command, happens(m_faults.truncatedPolls) ? truncatedListSize : fullListSize, m_now);
    processWorkerEvents(*worker);
    if (result.status == CommandStatus::Done && result.report.endedRuns.empty() && m_now < waiting.deadline) {
        schedule(pollInterval, [this, waiting] { finishPoll(waiting); });
        return;
    }
    if (result.status == CommandStatus::Done)
        recordEndedRuns(result.report);
    if (link != LinkState::Up)
        return failExchangeLater(exchange, CommandStatus::NoResponse, commandTimeout);
    const bool isCutOff = happens(m_faults.lostResponses);
    schedule(responseDelay(), [this, waiting, result, isCutOff] {
        if (isCutOff)
            failExchange(waiting.exchange, CommandStatus::NoResponse, true);
        else if (m_openExchanges.erase(waiting.exchange) > 0)
            waiting.deliver(result);
    });
}

} // namespace rattanrack::jobs::model
