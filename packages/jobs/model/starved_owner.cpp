#include "starved_owner.h"

#include <algorithm>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickPeriod = 1ms;
constexpr Duration commandTimeout = 700ms;
constexpr Duration maxQueueTime = 250ms; ///< Same value as in a node's worker links.
constexpr Duration runTime = 200ms;
/// Share of a start's processor time that the decision takes; the rest is for sending.
constexpr double decisionCost = 0.2;
constexpr double sendingCost = 1 - decisionCost;
constexpr double maxSavedStarts = 2; ///< Unused processor time that can be saved up, in starts; the rest is lost.
constexpr Duration listPeriod = 700ms;
constexpr std::size_t fullListSize = 500;
const PoolId poolName { "pool" };
const QueueId queueName { "queue" };
const ResourceSize taskSize { Millicores { 500 }, Mebibytes { 200 }, {} };

WorkerDescription describeWorker(int number)
{
    const std::string name = std::to_string(number);
    WorkerDescription worker { WorkerId { "w" + name }, MachineId { "m" + name }, poolName, "10.0.0.1:1" };
    worker.capacity = { Millicores { 16000 }, Mebibytes { 65536 }, {} };
    worker.incarnationUnixMs = 1;
    return worker;
}

} // namespace

StarvedOwner::StarvedOwner(StarvedOwnerSettings settings)
    : m_settings(std::move(settings))
    , m_cell({ poolName, 1, 4500ms, 10500ms, 120s, 900ms }, {}, {}, m_now, unixMs())
    , m_queues(static_cast<std::size_t>(m_settings.workers))
{
    for (int number = 0; number < m_settings.workers; ++number)
        m_workers.emplace_back(describeWorker(number), 1.0);
    m_cell.configure({ { queueName, poolName, 0, 3, 1.6, 600ms } });
    run(1s);
    m_cell.onWorkerListSent(m_cell.workersInUse(), m_now);
    m_cell.onWorkerListStored(m_cell.workersInUse());
}

void StarvedOwner::submit(int tasks, bool isGang)
{
    Job job { JobId { "job" + std::to_string(++m_lastJob) }, queueName, unixMs(), { "text", { {} }, {} } };
    Step& step = job.spec.steps[0];
    step.count = tasks;
    step.size = taskSize;
    step.declaredRunTime = runTime;
    step.isGang = isGang;
    m_cell.submit(job, 1, m_now);
    commitAll();
}

void StarvedOwner::commitAll()
{
    while (m_cell.takeCommit(unixMs()))
        m_cell.onCommitted(unixMs());
}

void StarvedOwner::run(Duration time, int jobsPerSecond)
{
    const TimePoint until = m_now + time;
    const double perTick = jobsPerSecond * std::chrono::duration<double>(tickPeriod).count();
    while (m_now < until) {
        for (m_jobsDue += perTick; m_jobsDue >= 1; m_jobsDue -= 1)
            submit(1);
        tick();
    }
}

void StarvedOwner::tick()
{
    m_now += tickPeriod;
    while (!m_scheduled.empty() && m_scheduled.top().at <= m_now) {
        const auto work = m_scheduled.top().work;
        m_scheduled.pop();
        work();
    }
    answerPolls();
    updateBudgets();
    if (m_now >= m_nextPassAt && m_decisionBacklog <= 0) {
        m_nextPassAt = m_now + m_settings.passPeriod;
        runPass();
    }
    sendCommands();
}

/// Decisions and sending get half of the processor each while both have work.
void StarvedOwner::updateBudgets()
{
    const double gained = m_settings.commandsPerSecond * std::chrono::duration<double>(tickPeriod).count();
    const double forDeciding = std::min(m_decisionBacklog, gained / 2);
    m_decisionBacklog -= forDeciding;
    m_sendBudget = std::min(maxSavedStarts, m_sendBudget + gained - forDeciding);
}

void StarvedOwner::listWorkers()
{
    m_nextListAt = m_now + listPeriod;
    std::vector<WorkerDescription> listed;
    for (const ModelWorker& worker : m_workers)
        listed.push_back(worker.description());
    m_cell.setWorkers(listed, m_now, m_now);
}

void StarvedOwner::runPass()
{
    if (m_now >= m_nextListAt)
        listWorkers();
    commitAll();
    CellOutput output = m_cell.advance(m_now, unixMs(), Authority::Full);
    for (WorkerCommand& command : output.commands) {
        if (const auto* poll = std::get_if<PollCommand>(&command)) {
            m_polls.push_back({ *poll, m_now, m_now + poll->longestWait });
            continue;
        }
        if (std::holds_alternative<StartCommand>(command)) {
            ++m_decidedStarts;
            m_decisionBacklog += decisionCost;
        }
        const WorkerId worker = std::visit([](const auto& each) { return each.worker; }, command);
        m_queues[queueIndexOf(worker)].commands.push_back({ std::move(command), m_now });
    }
}

std::size_t StarvedOwner::queueIndexOf(const WorkerId& worker) const
{
    return static_cast<std::size_t>(std::stoi(worker.value().substr(1)));
}

void StarvedOwner::sendCommands()
{
    std::size_t idle = 0;
    while (m_sendBudget >= sendingCost && idle < m_queues.size()) {
        idle = sendNext(m_nextQueue) ? 0 : idle + 1;
        m_nextQueue = (m_nextQueue + 1) % m_queues.size();
    }
}

/// Returns false if no command of the queue can be sent now.
bool StarvedOwner::sendNext(std::size_t number)
{
    WorkerQueue& queue = m_queues[number];
    while (!queue.commands.empty() && m_now >= queue.busyUntil) {
        const QueuedCommand queued = std::move(queue.commands.front());
        queue.commands.pop_front();
        const auto* start = std::get_if<StartCommand>(&queued.command);
        if (start && m_now - queued.decidedAt > maxQueueTime) {
            ++m_expiredStarts;
            scheduleResult(*start, { CommandStatus::Expired }, queued.decidedAt, tickPeriod);
            continue;
        }
        m_sendBudget -= sendingCost;
        execute(queued, number);
        return true;
    }
    return false;
}

void StarvedOwner::execute(const QueuedCommand& queued, std::size_t number)
{
    const bool isUnresponsive = m_settings.unresponsiveWorkers.contains(static_cast<int>(number));
    const Duration time = isUnresponsive ? commandTimeout : m_settings.responseTime;
    m_queues[number].busyUntil = m_now + time;
    if (const auto* start = std::get_if<StartCommand>(&queued.command)) {
        if (isUnresponsive)
            return scheduleResult(*start, { CommandStatus::NoResponse }, queued.decidedAt, time);
        const CommandResult startResult = m_workers[number].start(*start, { taskSize, runTime }, false, m_now);
        m_startedRuns += startResult.status == CommandStatus::Done ? 1 : 0;
        scheduleResult(*start, startResult, queued.decidedAt, time);
    } else if (const auto* stop = std::get_if<StopCommand>(&queued.command)) {
        scheduleResult(*stop, m_workers[number].stop(*stop, {}, m_now), queued.decidedAt, time);
    }
}

template <typename CommandType>
void StarvedOwner::scheduleResult(const CommandType& command, CommandResult result, TimePoint decidedAt, Duration after)
{
    result.queuedFor = m_now - decidedAt;
    result.responseTime = m_now + after - decidedAt;
    m_scheduled.push(
        { m_now + after, ++m_sequence, [this, command, result] { m_cell.onResult(command, result, m_now); } });
}

void StarvedOwner::answerPolls()
{
    std::vector<PendingPoll> pending;
    for (PendingPoll& poll : std::exchange(m_polls, {})) {
        const PollResult result = m_workers[queueIndexOf(poll.command.worker)].poll(poll.command, fullListSize, m_now);
        if (result.report.endedRuns.empty() && m_now < poll.deadline)
            pending.push_back(std::move(poll));
        else
            m_cell.onResult(poll.command, result, poll.sentAt, m_now);
    }
    m_polls = std::move(pending);
}

} // namespace rattanrack::jobs::model
