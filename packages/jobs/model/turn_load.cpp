#include "turn_load.h"

#include "demand.h"

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
constexpr Fence fence = 2;
constexpr double milliPerCore = 1000;
constexpr double mostStartsAtOnce = 10;
constexpr Duration maxQueueingTime = 250ms;

double seconds(Duration time) { return std::chrono::duration<double> { time }.count(); }

struct JobRecord {
    Job job;
    std::vector<std::vector<Duration>> runTimes; ///< By step and task.
    TimePoint submittedAt {};
    TimePoint endedAt {};
    Duration objective {};
    double work { 0 };
    double spentWork { 0 };
};

struct ActiveRun {
    TaskRef task;
    RunNumber run { 0 };
    TimePoint endsAt {};
};

struct ModelledWorker {
    WorkerDescription description;
    std::vector<ActiveRun> runs;
    std::vector<EndedRun> endedRuns;
    std::int64_t lastSequence { 0 };
    std::int64_t listedThrough { 0 };
    std::optional<PollCommand> poll;
    TimePoint pollSentAt {};
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
            m_workers[worker.id].description = worker;
        }
        m_cell.setWorkers(listed, m_now, m_now);
        m_cell.onWorkerListSent(m_cell.workersInUse(), m_now);
        m_cell.onWorkerListStored(m_cell.workersInUse());
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
        const double factor = isTurn ? m_settings.peak : 0.05;
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
        const int steps = count(kind.meanSteps, 0.4, 4);
        const double jobTime = lognormal(seconds(kind.meanRunTime), kind.spreadOfRunTime);
        double chain = 0;
        for (int position = 0; position < steps; ++position) {
            Step step;
            step.count = count(kind.meanTasks, kind.spreadOfTasks, 32);
            const double cores = std::min(lognormal(kind.meanCores, kind.spreadOfCores), kind.meanCores * 3);
            step.size = { Millicores { static_cast<std::int64_t>(cores * milliPerCore) }, Mebibytes { 10 }, {} };
            const double declared = lognormal(jobTime, kind.declarationError);
            step.declaredRunTime = Duration { static_cast<std::int64_t>(declared * 1e6) };
            if (position > 0)
                step.dependsOn.push_back(position - 1);
            double longest = 0;
            record.runTimes.emplace_back();
            for (int index = 0; index < step.count; ++index) {
                const double time = lognormal(jobTime, kind.unevenness);
                record.runTimes.back().push_back(Duration { static_cast<std::int64_t>(time * 1e6) });
                record.work += time * cores;
                longest = std::max(longest, time);
            }
            chain += longest;
            record.job.spec.steps.push_back(std::move(step));
        }
        record.objective = Duration { static_cast<std::int64_t>(chain * kind.stretch * 1e6) } + kind.latencyTarget;
        m_cell.submit(record.job, 1, m_now);
        m_open.insert(record.job.id);
        m_records.emplace(record.job.id, std::move(record));
    }

    void tick()
    {
        sendStarts();
        for (const StopCommand& stop : std::exchange(m_stops, {}))
            m_cell.onResult(stop, done(), m_now);
        for (auto& [id, worker] : m_workers)
            answerPoll(worker);
        if (++m_ticks % ticksPerCommit == 0 && m_cell.takeCommit(unixMs()))
            m_cell.onCommitted(unixMs());
        CellOutput output = m_cell.advance(m_now, unixMs(), Authority::Full);
        for (WorkerCommand& command : output.commands)
            queueCommand(std::move(command));
        recordEndedJobs();
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
            ModelledWorker& worker = m_workers.at(poll->worker);
            worker.poll = std::move(*poll);
            worker.pollSentAt = m_now;
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
        JobRecord& record = m_records.at(command.task.job);
        const Duration time
            = record
                  .runTimes[static_cast<std::size_t>(command.task.step)][static_cast<std::size_t>(command.task.index)];
        const Step& step = record.job.spec.steps[static_cast<std::size_t>(command.task.step)];
        record.spentWork += seconds(time) * static_cast<double>(step.size.processors.count()) / milliPerCore;
        m_workers.at(command.worker).runs.push_back({ command.task, command.run, m_now + time });
    }

    void answerPoll(ModelledWorker& worker)
    {
        std::erase_if(worker.runs, [&](const ActiveRun& active) {
            if (m_now < active.endsAt)
                return false;
            worker.endedRuns.push_back({ ++worker.lastSequence, active.task, active.run, RunOutcome::Done, {} });
            return true;
        });
        if (!worker.poll)
            return;
        const bool hasNewEndedRuns = worker.lastSequence > worker.listedThrough;
        if (!hasNewEndedRuns && m_now < worker.pollSentAt + worker.poll->longestWait)
            return;
        const std::int64_t acked = worker.poll->ackedThrough;
        std::erase_if(worker.endedRuns, [&](const EndedRun& end) { return end.sequence <= acked; });
        PollReport report { 1, clockMs(), {}, worker.endedRuns, true };
        for (const ActiveRun& active : worker.runs)
            report.running.push_back({ active.task, active.run, {}, 100, 10 });
        worker.listedThrough = worker.lastSequence;
        const PollCommand poll = *std::exchange(worker.poll, std::nullopt);
        m_cell.onResult(
            poll, { CommandStatus::Done, RefusalReason::None, std::move(report) }, worker.pollSentAt, m_now);
    }

    double worthOf(const JobRecord& record) const { return std::min(0.3 + 0.7 * record.work / meanWorkOfAJob(), 4.0); }

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

    /// How one job was served.
    struct Service {
        double work { 0 };
        bool isCompleted { false };
        bool isInTime { false };
    };

    static void addLargest(std::vector<Service> jobs, TurnLoadResult& result)
    {
        std::sort(
            jobs.begin(), jobs.end(), [](const Service& left, const Service& right) { return left.work > right.work; });
        jobs.resize(std::max<std::size_t>(jobs.size() / 10, 1));
        const auto shareOf = [&](bool Service::*quality) {
            const auto count
                = std::count_if(jobs.begin(), jobs.end(), [&](const Service& each) { return each.*quality; });
            return static_cast<double>(count) / static_cast<double>(jobs.size());
        };
        result.largestInTime = shareOf(&Service::isInTime);
        result.largestCompleted = shareOf(&Service::isCompleted);
    }

    TurnLoadResult result() const
    {
        TurnLoadResult result;
        double owed = 0;
        std::vector<Service> byWork;
        for (const auto& [id, record] : m_records) {
            ++result.jobs;
            result.offeredWork += record.work;
            const double worth = worthOf(record);
            owed += worth;
            const bool isCompleted = record.endedAt != TimePoint {};
            const Duration took = record.endedAt - record.submittedAt;
            const bool isInTime = isCompleted && took <= record.objective;
            result.completed += isCompleted ? 1 : 0;
            result.inTime += isInTime ? 1 : 0;
            (isInTime ? result.inTimeWork : isCompleted ? result.lateWork : result.openWork) += record.spentWork;
            if (isInTime)
                result.worth += worth;
            else if (isCompleted && took <= record.objective * lateFactor)
                result.worth += worth * lateShare;
            byWork.push_back({ record.work, isCompleted, isInTime });
        }
        result.worth /= owed;
        result.plannedWorth = plannedWorth() / owed;
        addLargest(std::move(byWork), result);
        return result;
    }

    const TurnLoadSettings m_settings;
    const QueueId m_queue { "q" };
    std::mt19937_64 m_random;
    TimePoint m_now { 100'000s };
    Cell m_cell;
    std::map<WorkerId, ModelledWorker> m_workers;
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
