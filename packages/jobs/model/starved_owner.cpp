#include "starved_owner.h"

#include <algorithm>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickPeriod = 1ms;
constexpr Duration orderTimeout = 700ms;
constexpr Duration longestQueueing = 250ms; ///< As in the links of a node.
constexpr Duration runTime = 200ms;
constexpr double decisionCost = 0.2; ///< Of a start's processor time; the rest sends it.
constexpr double sendingCost = 1 - decisionCost;
constexpr double longestSavings = 2; ///< Starts; processor time that is not used is lost.
constexpr Duration listPeriod = 700ms;
constexpr std::size_t wholeList = 500;
const PoolId poolName { "pool" };
const QueueId queueName { "queue" };
const ResourceSize subtaskSize { Millicores { 500 }, Mebibytes { 200 }, {} };

WorkerDescription describe(int number)
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
    , m_lanes(static_cast<std::size_t>(m_settings.workers))
{
    for (int number = 0; number < m_settings.workers; ++number)
        m_workers.emplace_back(describe(number), 1.0);
    m_cell.configure({ { queueName, poolName, 0, 3, 1.6, 600ms } });
    run(1s);
    m_cell.onWorkerListSent(m_cell.workersInUse(), m_now);
    m_cell.onWorkerListStored(m_cell.workersInUse());
}

void StarvedOwner::submit(int subtasks, bool isGang)
{
    Job job { JobId { "job" + std::to_string(++m_lastJob) }, queueName, unixMs(), { "text", { {} }, {} } };
    Step& step = job.spec.steps[0];
    step.count = subtasks;
    step.size = subtaskSize;
    step.declaredRunTime = runTime;
    step.isGang = isGang;
    m_cell.submit(job, 1, m_now);
    store();
}

void StarvedOwner::store()
{
    while (m_cell.takeCommit(unixMs()))
        m_cell.onCommitted(unixMs());
}

void StarvedOwner::run(Duration time, int jobsPerSecond)
{
    const TimePoint until = m_now + time;
    const double perTick = jobsPerSecond * std::chrono::duration<double>(tickPeriod).count();
    while (m_now < until) {
        for (m_arrived += perTick; m_arrived >= 1; m_arrived -= 1)
            submit(1);
        tick();
    }
}

void StarvedOwner::tick()
{
    m_now += tickPeriod;
    while (!m_later.empty() && m_later.top().at <= m_now) {
        const auto work = m_later.top().work;
        m_later.pop();
        work();
    }
    answerLooks();
    shareProcessor();
    if (m_now >= m_pumpAt && m_deciding <= 0) {
        m_pumpAt = m_now + m_settings.pumpPeriod;
        pump();
    }
    sendOrders();
}

/// Decisions and sending get half each while both have work.
void StarvedOwner::shareProcessor()
{
    const double earned = m_settings.ordersPerSecond * std::chrono::duration<double>(tickPeriod).count();
    const double forDeciding = std::min(m_deciding, earned / 2);
    m_deciding -= forDeciding;
    m_sendable = std::min(longestSavings, m_sendable + earned - forDeciding);
}

void StarvedOwner::list()
{
    m_listAt = m_now + listPeriod;
    std::vector<WorkerDescription> listed;
    for (const ModelWorker& worker : m_workers)
        listed.push_back(worker.description());
    m_cell.setWorkers(listed, m_now, m_now);
}

void StarvedOwner::pump()
{
    if (m_now >= m_listAt)
        list();
    store();
    CellOutput output = m_cell.advance(m_now, unixMs(), Authority::Full);
    for (WorkerCommand& order : output.commands) {
        if (const auto* look = std::get_if<PollCommand>(&order)) {
            m_looks.push_back({ *look, m_now, m_now + look->longestWait });
            continue;
        }
        if (std::holds_alternative<StartCommand>(order)) {
            ++m_decided;
            m_deciding += decisionCost;
        }
        const WorkerId worker = std::visit([](const auto& each) { return each.worker; }, order);
        m_lanes[laneOf(worker)].queue.push_back({ std::move(order), m_now });
    }
}

std::size_t StarvedOwner::laneOf(const WorkerId& worker) const
{
    return static_cast<std::size_t>(std::stoi(worker.value().substr(1)));
}

void StarvedOwner::sendOrders()
{
    std::size_t idle = 0;
    while (m_sendable >= sendingCost && idle < m_lanes.size()) {
        idle = sendNext(m_nextLane) ? 0 : idle + 1;
        m_nextLane = (m_nextLane + 1) % m_lanes.size();
    }
}

/// False when nothing of the lane can be sent now.
bool StarvedOwner::sendNext(std::size_t number)
{
    Lane& lane = m_lanes[number];
    while (!lane.queue.empty() && m_now >= lane.busyUntil) {
        const QueuedOrder queued = std::move(lane.queue.front());
        lane.queue.pop_front();
        const auto* start = std::get_if<StartCommand>(&queued.order);
        if (start && m_now - queued.decidedAt > longestQueueing) {
            ++m_expired;
            answer(*start, { CommandStatus::Expired }, queued.decidedAt, tickPeriod);
            continue;
        }
        m_sendable -= sendingCost;
        carryOut(queued, number);
        return true;
    }
    return false;
}

void StarvedOwner::carryOut(const QueuedOrder& queued, std::size_t number)
{
    const bool isSilent = m_settings.silentWorkers.contains(static_cast<int>(number));
    const Duration time = isSilent ? orderTimeout : m_settings.answerTime;
    m_lanes[number].busyUntil = m_now + time;
    if (const auto* start = std::get_if<StartCommand>(&queued.order)) {
        if (isSilent)
            return answer(*start, { CommandStatus::NoResponse }, queued.decidedAt, time);
        const CommandResult answered = m_workers[number].start(*start, { subtaskSize, runTime }, false, m_now);
        m_begun += answered.status == CommandStatus::Done ? 1 : 0;
        answer(*start, answered, queued.decidedAt, time);
    } else if (const auto* stop = std::get_if<StopCommand>(&queued.order)) {
        answer(*stop, m_workers[number].stop(*stop, {}, m_now), queued.decidedAt, time);
    }
}

template <typename OrderType>
void StarvedOwner::answer(const OrderType& order, CommandResult answer, TimePoint decidedAt, Duration after)
{
    answer.queuedFor = m_now - decidedAt;
    answer.responseTime = m_now + after - decidedAt;
    m_later.push({ m_now + after, ++m_sequence, [this, order, answer] { m_cell.onResult(order, answer, m_now); } });
}

void StarvedOwner::answerLooks()
{
    std::vector<OpenLook> open;
    for (OpenLook& look : std::exchange(m_looks, {})) {
        const PollResult answer = m_workers[laneOf(look.order.worker)].poll(look.order, wholeList, m_now);
        if (answer.report.endedRuns.empty() && m_now < look.deadline)
            open.push_back(std::move(look));
        else
            m_cell.onResult(look.order, answer, look.sentAt, m_now);
    }
    m_looks = std::move(open);
}

} // namespace rattanrack::jobs::model
