#include "overloaded_cell.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace rattanrack::jobs::tests {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickLength = 10ms;
constexpr int ticksPerCommit = 2;
constexpr int warmUpTicks = 400;
constexpr int workersPerRack = 8;
constexpr int workersPerLongRunningJob = 8;
constexpr int tasksPerStep = 8;
constexpr Fence fence = 2;

/// As long as the ids that callers and workers use.
std::string hexId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>((number + 1) * 0x9e3779b97f4a7c15ULL));
    return text;
}

std::string rackOf(int number) { return "r1-" + std::to_string(number / workersPerRack); }

std::vector<StoredJob> endedJobs(int count, std::int64_t unixMs)
{
    std::vector<StoredJob> jobs;
    for (int number = 0; number < count; ++number) {
        Job job { JobId { hexId(1'000'000U + static_cast<std::uint64_t>(number)) }, QueueId { "queue-1" },
            unixMs - 2000, { "text", { {} }, {} } };
        jobs.push_back({ std::move(job), { unixMs - 1000, false, false, true, {} } });
    }
    return jobs;
}

} // namespace

OverloadedCell::OverloadedCell(OverloadSize size)
    : m_size(size)
    , m_cell({ PoolId { "p" }, fence, 4500ms, 10500ms, 120s, 900ms }, endedJobs(size.endedJobs, unixMs()), {}, m_now,
          unixMs())
{
    constexpr int queueCount = 4;
    std::vector<QueueSettings> queues;
    queues.reserve(queueCount);
    for (int queue = 0; queue < queueCount; ++queue)
        queues.push_back({ QueueId { "queue-" + std::to_string(queue) }, PoolId { "p" }, queue / 3, 3, 1.6, 600ms });
    m_cell.configure(queues);
    std::vector<WorkerDescription> listed;
    for (int number = 0; number < size.workers; ++number) {
        WorkerDescription worker { WorkerId { hexId(static_cast<std::uint64_t>(number)) },
            MachineId { "machine-" + std::to_string(number) }, PoolId { "p" }, "10.0.0.1:1" };
        worker.capacity = { Millicores { 16'000 }, Mebibytes { 65'536 }, {} };
        worker.rack = rackOf(number);
        worker.labels = { worker.rack, number % 2 == 0 ? "kind-even" : "kind-odd" };
        worker.incarnationUnixMs = 1;
        listed.push_back(worker);
        m_workerIndexes[worker.id] = m_workers.size();
        m_workers.emplace_back(worker);
    }
    m_cell.setWorkers(listed, m_now, m_now);
    submitLongRunning();
}

void OverloadedCell::submitLongRunning()
{
    for (int number = 0; number < m_size.workers; number += workersPerLongRunningJob) {
        for (const bool isBestEffort : { false, true }) {
            Job job { JobId { hexId(2'000'000U + static_cast<std::uint64_t>(number * 2 + (isBestEffort ? 1 : 0))) },
                QueueId { "queue-0" }, unixMs(), { "text", { {} }, {} } };
            Step& step = job.spec.steps[0];
            step.count = workersPerLongRunningJob;
            step.size = { Millicores { 500 }, Mebibytes { 512 }, {} };
            step.isLongRunning = true;
            step.isBestEffort = isBestEffort;
            step.latencyTarget = isBestEffort ? 0ms : 100ms;
            step.maxUnavailable = isBestEffort ? 0 : 1;
            m_arrivals.push_back(std::move(job));
        }
    }
    Job unplaceable { JobId { hexId(3'000'000U) }, QueueId { "queue-0" }, unixMs(), { "text", { {} }, {} } };
    unplaceable.spec.steps[0].isLongRunning = true;
    unplaceable.spec.steps[0].requiredLabel = "kind-none";
    m_arrivals.push_back(std::move(unplaceable));
}

Job OverloadedCell::nextJob()
{
    const std::int64_t number = m_nextJob++;
    Job job { JobId { hexId(10'000'000U + static_cast<std::uint64_t>(number)) },
        QueueId { "queue-" + std::to_string(number % 4) }, unixMs(), { std::string(200, 't'), {}, {} } };
    const int steps = number % 2 == 0 ? 1 : 2;
    for (int position = 0; position < steps; ++position) {
        Step step;
        step.count = tasksPerStep;
        step.size = { Millicores { 500 * (1 + number % 4) }, Mebibytes { 256 * (1 + number % 5) }, {} };
        step.declaredRunTime = 800ms + 100ms * (number * 7 % 9);
        step.hasCheckpoints = number % 3 == 0;
        step.isGang = number % 32 == 5;
        step.maxPerWorker = number % 8 == 3 ? 2 : 0;
        if (number % 4 == 1)
            step.dataRack = rackOf(static_cast<int>(number * 13 % m_size.workers));
        if (number % 10 == 3)
            step.requiredLabel = "kind-even";
        if (position > 0)
            step.dependsOn.push_back(position - 1);
        job.spec.steps.push_back(std::move(step));
    }
    return job;
}

void OverloadedCell::startRun(const StartCommand& start)
{
    const Job& job = m_jobs.at(start.task.job);
    const Step& step = job.spec.steps[static_cast<std::size_t>(start.task.step)];
    const Duration time = step.declaredRunTime * (70 + std::hash<TaskRef> {}(start.task) % 60) / 100;
    m_workers[m_workerIndexes.at(start.worker)].start(start, step.isLongRunning ? TimePoint::max() : m_now + time);
    ++m_startedRuns;
    const std::uint64_t workerHash = std::hash<WorkerId> {}(start.worker);
    const std::uint64_t runHash = std::hash<TaskRef> {}(start.task) ^ static_cast<std::uint64_t>(start.run);
    m_fingerprint = (m_fingerprint ^ workerHash) * 0x100000001b3ULL + runHash;
    m_waitingJobs.erase(start.task.job);
}

void OverloadedCell::simulateWorkersAndCallers()
{
    m_now += tickLength;
    ++m_ticks;
    for (const StartCommand& start : m_starts)
        startRun(start);
    m_answeredPolls.clear();
    for (model::SimulatedWorker& worker : m_workers) {
        m_endedRuns += worker.endRuns(m_now);
        if (auto answered = worker.answerPoll(m_now, clockMs()))
            m_answeredPolls.push_back(*std::move(answered));
    }
    const auto waiting = static_cast<int>(m_waitingJobs.size());
    for (int missing = m_size.waitingJobs - waiting; missing > 0; --missing) {
        m_arrivals.push_back(nextJob());
        m_waitingJobs.insert(m_arrivals.back().id);
    }
    for (const Job& job : m_arrivals)
        m_jobs.emplace(job.id, job);
}

void OverloadedCell::storeWorkersOnceAllHaveResponded()
{
    const WorkerMachines workers = m_cell.workersInUse();
    m_areWorkersStored = workers.size() == m_workers.size();
    if (!m_areWorkersStored)
        return;
    m_cell.onWorkerListSent(workers, m_now);
    m_cell.onWorkerListStored(workers);
}

void OverloadedCell::runCell()
{
    const CommandResult done { CommandStatus::Done, RefusalReason::None, clockMs() };
    for (const StartCommand& start : m_starts)
        m_cell.onResult(start, done, m_now);
    for (const StopCommand& stop : m_stops)
        m_cell.onResult(stop, done, m_now);
    for (const model::SimulatedWorker::AnsweredPoll& poll : m_answeredPolls)
        m_cell.onResult(poll.command, poll.result, poll.sentAt, m_now);
    for (const Job& job : m_arrivals)
        m_cell.submit(job, 1, m_now);
    if (!m_areWorkersStored)
        storeWorkersOnceAllHaveResponded();
    if (m_ticks % ticksPerCommit == 0 && m_cell.takeCommit(unixMs()))
        m_cell.onCommitted(unixMs());
    m_output = m_cell.advance(m_now, unixMs(), Authority::Full);
}

void OverloadedCell::collectCommands()
{
    m_arrivals.clear();
    m_starts.clear();
    m_stops.clear();
    for (WorkerCommand& command : m_output.commands) {
        if (auto* start = std::get_if<StartCommand>(&command)) {
            m_starts.push_back(std::move(*start));
        } else if (auto* stop = std::get_if<StopCommand>(&command)) {
            m_stops.push_back(std::move(*stop));
        } else if (auto* poll = std::get_if<PollCommand>(&command)) {
            model::SimulatedWorker& worker = m_workers[m_workerIndexes.at(poll->worker)];
            worker.receive(std::move(*poll), m_now);
        }
    }
    m_output = {};
}

const JobId& OverloadedCell::waitingJob() const
{
    const auto isIssued = [&](const JobId& job) {
        return std::any_of(
            m_starts.begin(), m_starts.end(), [&](const StartCommand& start) { return start.task.job == job; });
    };
    return *std::find_if_not(m_waitingJobs.begin(), m_waitingJobs.end(), isIssued);
}

void OverloadedCell::warmUp()
{
    for (int number = 0; number < warmUpTicks; ++number)
        tick();
}

void OverloadedCell::advanceWithoutInput()
{
    m_output = m_cell.advance(m_now, unixMs(), Authority::Full);
    collectCommands();
}

} // namespace rattanrack::jobs::tests
