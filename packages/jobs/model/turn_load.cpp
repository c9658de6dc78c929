#include "turn_load.h"

#include "demand.h"
#include "simulated_worker.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickLength = 10ms;
constexpr int ticksPerCommit = 2;
constexpr Duration timeAfterTheLastTurn = 14s;
constexpr double coresOfAWorker = 16;
constexpr double lateShare = 1.0 / 14; ///< Worth of a late job, as a share of one in time.
constexpr double lateFactor = 3; ///< A job later than this many objectives is worth nothing.
constexpr double demandBetweenTurns = 0.05; ///< As a multiple of the average.
constexpr double spreadOfSteps = 0.4;
constexpr int mostSteps = 4;
constexpr int mostTasksOfAStep = 32;
constexpr double mostCoresOverMean = 3;
// What a job is worth, as a share of an average one's.
constexpr double worthWithoutWork = 0.3;
constexpr double worthOfAverageWork = 0.7;
constexpr double mostWorth = 4;
constexpr Fence fence = 2;
constexpr double milliPerCore = 1000;
constexpr double mostStartsAtOnce = 10;
constexpr Duration maxQueueingTime = 250ms;

Duration duration(double seconds) { return Duration { static_cast<std::int64_t>(seconds * 1e6) }; }
double seconds(Duration time) { return std::chrono::duration<double> { time }.count(); }

struct JobRecord {
    Job job;
    std::vector<std::vector<Duration>> runTimes; ///< By step and task.
    TimePoint submittedAt {};
    TimePoint endedAt {};
    Duration objective {};
    double work { 0 }; ///< In core-seconds.
};

/// A start in the owner's queue.
struct QueuedStart {
    StartCommand command;
    TimePoint decidedAt;
};

class TurnLoad {
public:
    explicit TurnLoad(const TurnLoadSettings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_cell({ PoolId { "p" }, fence, 4500ms, 10500ms, 600s, 900ms, 6s }, {}, {}, m_now, unixMs())
    {
        m_cell.configure({ { m_queue, PoolId { "p" }, 0, 2, settings.kind.stretch, settings.kind.latencyTarget } });
        std::vector<WorkerDescription> listed;
        for (int number = 0; number < settings.workers; ++number) {
            WorkerDescription worker { WorkerId { "w" + std::to_string(number) },
                MachineId { "m" + std::to_string(number) }, PoolId { "p" }, "10.0.0.1:1" };
            worker.capacity = { Millicores { static_cast<std::int64_t>(coresOfAWorker * milliPerCore) },
                Mebibytes { 1 << 20 }, {} };
            worker.incarnationUnixMs = 1;
            listed.push_back(worker);
            m_workers.emplace(worker.id, worker);
        }
        m_cell.setWorkers(listed, m_now, m_now);
    }

    TurnLoadResult play()
    {
        const TimePoint end = m_now + m_settings.period * m_settings.turns;
        const TimePoint last = end + timeAfterTheLastTurn;
        const TimePoint beginning = m_now;
        while (m_now < last) {
            m_now += tickLength;
            if (m_now < end)
                submitArrivals((m_now - beginning) % m_settings.period < m_settings.turn);
            tick();
        }
        return result();
    }

private:
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }
    std::int64_t clockMs() const { return unixMs() - 900'000; }

    double lognormal(double mean, double spread)
    {
        std::normal_distribution<double> normal { -spread * spread / 2, spread };
        return mean * std::exp(normal(m_random));
    }

    int count(double mean, double spread, int most)
    {
        return std::clamp(static_cast<int>(std::lround(lognormal(mean, spread))), 1, most);
    }

    double meanWorkOfAJob() const
    {
        const JobKind& kind = m_settings.kind;
        return kind.meanSteps * kind.meanTasks * kind.meanCores * seconds(kind.meanRunTime);
    }

    void submitArrivals(bool isTurn)
    {
        const double capacity = m_settings.workers * coresOfAWorker;
        const double factor = isTurn ? m_settings.peak : demandBetweenTurns;
        const double perSecond = capacity * m_settings.meanUse * factor / meanWorkOfAJob();
        std::poisson_distribution<int> arrivals { perSecond * seconds(tickLength) };
        for (int left = arrivals(m_random); left > 0; --left)
            submit();
    }

    void submit()
    {
        const JobKind& kind = m_settings.kind;
        JobRecord record;
        record.job = { JobId { "job" + std::to_string(m_records.size()) }, m_queue, unixMs(), { "text", {}, {} }, 2 };
        record.submittedAt = m_now;
        const int steps = count(kind.meanSteps, spreadOfSteps, mostSteps);
        const double meanRunTime = lognormal(seconds(kind.meanRunTime), kind.spreadOfRunTime);
        Duration chain {};
        for (int position = 0; position < steps; ++position)
            chain += addStep(record, meanRunTime);
        record.objective = duration(seconds(chain) * kind.stretch) + kind.latencyTarget;
        m_cell.submit(record.job, 1, m_now);
        m_open.insert(record.job.id);
        m_records.emplace(record.job.id, std::move(record));
    }

    /// Adds a step that depends on the one before; returns the longest run time of its tasks.
    Duration addStep(JobRecord& record, double meanRunTime)
    {
        const JobKind& kind = m_settings.kind;
        Step step;
        step.count = count(kind.meanTasks, kind.spreadOfTasks, mostTasksOfAStep);
        const double cores
            = std::min(lognormal(kind.meanCores, kind.spreadOfCores), kind.meanCores * mostCoresOverMean);
        step.size = { Millicores { static_cast<std::int64_t>(cores * milliPerCore) }, Mebibytes { 10 }, {} };
        step.declaredRunTime = duration(lognormal(meanRunTime, kind.declarationError));
        if (!record.runTimes.empty())
            step.dependsOn.push_back(static_cast<int>(record.runTimes.size()) - 1);
        std::vector<Duration> times;
        for (int index = 0; index < step.count; ++index) {
            const double time = lognormal(meanRunTime, kind.unevenness);
            times.push_back(duration(time));
            record.work += time * cores;
        }
        const Duration longest = *std::max_element(times.begin(), times.end());
        record.runTimes.push_back(std::move(times));
        record.job.spec.steps.push_back(std::move(step));
        return longest;
    }

    void tick()
    {
        sendStarts();
        for (const StopCommand& stop : std::exchange(m_stops, {}))
            m_cell.onResult(stop, done(), m_now);
        for (auto& [id, worker] : m_workers)
            answerPoll(worker);
        storeWorkersOnceAllHaveResponded();
        if (++m_ticks % ticksPerCommit == 0 && m_cell.takeCommit(unixMs()))
            m_cell.onCommitted(unixMs());
        CellOutput output = m_cell.advance(m_now, unixMs(), Authority::Full);
        for (WorkerCommand& command : output.commands)
            queueCommand(std::move(command));
        recordEndedJobs();
    }

    void storeWorkersOnceAllHaveResponded()
    {
        const WorkerMachines workers = m_areWorkersStored ? WorkerMachines {} : m_cell.workersInUse();
        if (workers.size() < m_workers.size())
            return;
        m_areWorkersStored = true;
        m_cell.onWorkerListSent(workers, m_now);
        m_cell.onWorkerListStored(workers);
    }

    CommandResult done() const { return { CommandStatus::Done, RefusalReason::None, clockMs() }; }

    /// Sends as many starts as the owner's link carries. Those that have waited too long are dropped, as by the daemon.
    void sendStarts()
    {
        const bool isLimited = m_settings.startsPerSecond > 0;
        m_sendingCredit
            = std::min(m_sendingCredit + m_settings.startsPerSecond * seconds(tickLength), mostStartsAtOnce);
        while (!m_starts.empty() && (!isLimited || m_sendingCredit >= 1)) {
            const QueuedStart queued = std::move(m_starts.front());
            m_starts.pop_front();
            CommandResult result = done();
            result.queuedFor = result.responseTime = m_now - queued.decidedAt;
            if (result.queuedFor > maxQueueingTime) {
                result.status = CommandStatus::Expired;
            } else {
                m_sendingCredit -= 1;
                start(queued.command);
            }
            m_cell.onResult(queued.command, result, m_now);
        }
    }

    void queueCommand(WorkerCommand command)
    {
        if (auto* start = std::get_if<StartCommand>(&command))
            m_starts.push_back({ std::move(*start), m_now });
        if (auto* stop = std::get_if<StopCommand>(&command))
            m_stops.push_back(std::move(*stop));
        if (auto* poll = std::get_if<PollCommand>(&command)) {
            SimulatedWorker& worker = m_workers.at(poll->worker);
            worker.receive(std::move(*poll), m_now);
        }
    }

    void recordEndedJobs()
    {
        std::erase_if(m_open, [&](const JobId& job) {
            const bool isCompleted = m_cell.state(job) == JobState::Completed;
            if (isCompleted)
                m_records.at(job).endedAt = m_now;
            return isCompleted;
        });
    }

    void start(const StartCommand& command)
    {
        const JobRecord& record = m_records.at(command.task.job);
        const Duration time
            = record
                  .runTimes[static_cast<std::size_t>(command.task.step)][static_cast<std::size_t>(command.task.index)];
        m_workers.at(command.worker).start(command, m_now + time);
    }

    void answerPoll(SimulatedWorker& worker)
    {
        worker.endRuns(m_now);
        if (const auto answered = worker.answerPoll(m_now, clockMs()))
            m_cell.onResult(answered->command, answered->result, answered->sentAt, m_now);
    }

    double worthOf(const JobRecord& record) const
    {
        const double worth = worthWithoutWork + worthOfAverageWork * record.work / meanWorkOfAJob();
        return std::min(worth, mostWorth);
    }

    static double taskCount(const JobRecord& record)
    {
        double tasks = 0;
        for (const auto& step : record.runTimes)
            tasks += static_cast<double>(step.size());
        return tasks;
    }

    /// Adds what each step needs of the workers and of the owner's link, between the earliest time at which it can
    /// begin and the latest at which it must end or have begun.
    static void addDemands(const JobRecord& record, std::vector<Demand>& work, std::vector<Demand>& starts)
    {
        Duration left {};
        for (const auto& step : record.runTimes)
            left += *std::max_element(step.begin(), step.end());
        TimePoint from = record.submittedAt;
        const TimePoint due = from + record.objective;
        for (std::size_t position = 0; position < record.runTimes.size(); ++position) {
            const auto& times = record.runTimes[position];
            const Duration longest = *std::max_element(times.begin(), times.end());
            const double cores
                = static_cast<double>(record.job.spec.steps[position].size.processors.count()) / milliPerCore;
            double total = 0;
            for (const Duration time : times)
                total += seconds(time) * cores;
            starts.push_back({ from, due - left, static_cast<double>(times.size()) });
            left -= longest;
            work.push_back({ from, due - left, total });
            from += longest;
        }
    }

    /// What a planner with full knowledge earns. The workers are not told apart.
    double plannedWorth() const
    {
        const double cores = m_settings.workers * coresOfAWorker;
        const double starts = m_settings.startsPerSecond;
        const auto price = [&](const JobRecord& record) {
            return std::max(record.work / cores, starts > 0 ? taskCount(record) / starts : 0.0);
        };
        std::vector<const JobRecord*> jobs;
        for (const auto& [id, record] : m_records)
            jobs.push_back(&record);
        std::sort(jobs.begin(), jobs.end(), [&](const JobRecord* left, const JobRecord* right) {
            return worthOf(*left) / price(*left) > worthOf(*right) / price(*right);
        });
        std::vector<Demand> work;
        std::vector<Demand> sent;
        double worth = 0;
        for (const JobRecord* job : jobs) {
            const std::size_t earlierDemands = work.size();
            addDemands(*job, work, sent);
            if (isFeasible(work, cores) && (starts == 0 || isFeasible(sent, starts))) {
                worth += worthOf(*job);
                continue;
            }
            work.resize(earlierDemands);
            sent.resize(earlierDemands);
        }
        return worth;
    }

    static bool isCompleted(const JobRecord& record) { return record.endedAt != TimePoint {}; }

    /// Of the worth of the job, what its caller pays.
    static double paidShare(const JobRecord& record)
    {
        const Duration took = record.endedAt - record.submittedAt;
        if (!isCompleted(record) || took > record.objective * lateFactor)
            return 0;
        return took <= record.objective ? 1 : lateShare;
    }

    /// Share that was completed among the tenth with the most work.
    double largestCompleted() const
    {
        std::vector<const JobRecord*> jobs;
        for (const auto& [id, record] : m_records)
            jobs.push_back(&record);
        std::sort(jobs.begin(), jobs.end(),
            [](const JobRecord* left, const JobRecord* right) { return left->work > right->work; });
        jobs.resize(std::max<std::size_t>(jobs.size() / 10, 1));
        const auto completed
            = std::count_if(jobs.begin(), jobs.end(), [&](const JobRecord* job) { return isCompleted(*job); });
        return static_cast<double>(completed) / static_cast<double>(jobs.size());
    }

    TurnLoadResult result() const
    {
        TurnLoadResult result;
        double owed = 0;
        for (const auto& [id, record] : m_records) {
            ++result.jobs;
            result.completed += isCompleted(record) ? 1 : 0;
            result.worth += worthOf(record) * paidShare(record);
            owed += worthOf(record);
        }
        result.worth /= owed;
        result.plannedWorth = plannedWorth() / owed;
        result.largestCompleted = largestCompleted();
        return result;
    }

    const TurnLoadSettings m_settings;
    const QueueId m_queue { "q" };
    std::mt19937_64 m_random;
    TimePoint m_now { 100'000s };
    bool m_areWorkersStored { false };
    Cell m_cell;
    std::map<WorkerId, SimulatedWorker> m_workers;
    std::map<JobId, JobRecord> m_records;
    std::set<JobId> m_open;
    std::deque<QueuedStart> m_starts;
    std::vector<StopCommand> m_stops;
    double m_sendingCredit { 0 };
    int m_ticks { 0 };
};

} // namespace

TurnLoadResult playTurnLoad(const TurnLoadSettings& settings) { return TurnLoad { settings }.play(); }

} // namespace rattanrack::jobs::model
