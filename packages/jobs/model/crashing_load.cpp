#include "crashing_load.h"

#include <algorithm>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration startupTime = 6s; ///< Until the workers are settled.
constexpr Duration observedTime = 4s; ///< After the settling time.
constexpr Duration samplingPeriod = 50ms;
constexpr Duration meanRunTime = 640ms;
constexpr double secondStepShare = 0.6;
constexpr double stretch = 1.6; ///< Of the longest chain of runs; a job is in time within this and `latencyTarget`.
constexpr Duration latencyTarget = 600ms;

struct SubmittedJob {
    JobId id;
    TimePoint inTimeUntil;
    bool isCrashing { false };
    bool hasEnded { false };
};

class CrashingLoad {
public:
    CrashingLoad(std::uint64_t seed, const CrashingLoadSettings& settings)
        : m_random(seed * 7919)
        , m_settings(settings)
        , m_simulation(seed, settings.workers, settings.faults)
    {
        m_simulation.setObserver([this](TimePoint, int, const CellEvent& event) { onEvent(event); });
    }

    CrashingLoadReport play(Duration settlingTime)
    {
        m_simulation.run(startupTime);
        m_trafficBegin = m_simulation.now();
        const TimePoint trafficEnd = m_trafficBegin + m_settings.trafficTime;
        const double jobsPerSecond = m_settings.jobsPerWorkerSecond * m_settings.workers;
        const Duration period { static_cast<std::int64_t>(1e6 / jobsPerSecond) };
        for (TimePoint next = m_simulation.now(); next < trafficEnd; next += period) {
            runUntil(next);
            submit();
        }
        runUntil(trafficEnd);
        m_simulation.stopFaults();
        runUntil(trafficEnd + settlingTime);
        observeWaits(trafficEnd + settlingTime + observedTime);
        recordJobs();
        m_report.violations = m_simulation.violations();
        return m_report;
    }

private:
    bool happens(double share) { return std::bernoulli_distribution { share }(m_random); }
    int pick(int least, int most) { return std::uniform_int_distribution<> { least, most }(m_random); }

    void onEvent(const CellEvent& event)
    {
        const auto* job = std::get_if<JobEvent>(&event);
        if (!job || job->kind != JobEvent::Kind::Ended)
            return;
        const auto found = m_jobs.find(job->job);
        if (found == m_jobs.end() || found->second.hasEnded)
            return;
        found->second.hasEnded = true;
        const bool isCompleted = m_simulation.shownState(job->job) == JobState::Completed;
        if (!found->second.isCrashing && isCompleted && m_simulation.now() <= found->second.inTimeUntil)
            ++m_report.innocentInTime;
    }

    void runUntil(TimePoint until)
    {
        if (until > m_simulation.now())
            m_simulation.run(until - m_simulation.now());
    }

    bool isInBurst() const
    {
        if (m_settings.burstPeriod == Duration {})
            return true;
        return (m_simulation.now() - m_trafficBegin) % m_settings.burstPeriod < m_settings.burstTime;
    }

    void submit()
    {
        Job job;
        job.id = JobId { "job" + std::to_string(m_jobs.size() + 1) };
        job.queue = QueueId { "queue" };
        job.acceptedAtUnixMs = m_simulation.now().time_since_epoch().count() / 1000;
        const bool isCrashing = isInBurst() && happens(m_settings.crashingShare);
        const int steps = happens(secondStepShare) ? 2 : 1;
        std::vector<TaskBehavior> behaviors;
        Duration chain {};
        for (int number = 0; number < steps; ++number) {
            Step step;
            step.count = pick(4, 8);
            step.size = { Millicores { pick(600, 1600) }, Mebibytes { pick(500, 2500) }, {} };
            const Duration runTime = meanRunTime * pick(60, 140) / 100;
            step.declaredRunTime = runTime;
            if (number > 0)
                step.dependsOn = { number - 1 };
            TaskBehavior behavior { step.size, runTime, false, false };
            if (isCrashing && number == 0)
                behavior.crashingTask = pick(0, step.count - 1);
            chain += runTime;
            job.spec.steps.push_back(step);
            behaviors.push_back(behavior);
        }
        const Duration objective { static_cast<std::int64_t>(static_cast<double>(chain.count()) * stretch) };
        m_jobs[job.id] = { job.id, m_simulation.now() + objective + latencyTarget, isCrashing };
        m_simulation.submit(job, behaviors);
    }

    void observeWaits(TimePoint until)
    {
        std::map<TaskRef, TimePoint> waitingSince;
        std::set<TaskRef> overdue;
        while (m_simulation.now() < until) {
            m_simulation.run(samplingPeriod);
            std::map<TaskRef, TimePoint> stillWaiting;
            for (const TaskRef& task : m_simulation.waitingTasksWithRoom()) {
                const auto known = waitingSince.find(task);
                const TimePoint since = known == waitingSince.end() ? m_simulation.now() : known->second;
                stillWaiting.emplace(task, since);
                const Duration wait = m_simulation.now() - since;
                m_report.longestWait = std::max(m_report.longestWait, wait);
                if (wait > longestAllowedWait)
                    overdue.insert(task);
            }
            waitingSince = std::move(stillWaiting);
        }
        m_report.overdueTasks = static_cast<int>(overdue.size());
    }

    void recordJobs()
    {
        for (const auto& [id, job] : m_jobs) {
            if (!m_simulation.isAccepted(id)) {
                ++m_report.refusedJobs;
                continue;
            }
            const auto state = m_simulation.shownState(id);
            const bool isOpen = state == JobState::Queued || state == JobState::Active;
            (job.isCrashing ? m_report.crashingJobs : m_report.innocentJobs) += 1;
            (job.isCrashing ? m_report.crashingUndecided : m_report.innocentUnfinished) += isOpen ? 1 : 0;
            m_report.innocentFailed += !job.isCrashing && state == JobState::Failed ? 1 : 0;
            const int crashes = job.isCrashing ? m_simulation.highestCrashCount(id) : 0;
            m_report.workersCrashedByTasks += crashes;
            m_report.mostCrashesOfATask = std::max(m_report.mostCrashesOfATask, crashes);
        }
    }

    std::mt19937_64 m_random;
    CrashingLoadSettings m_settings;
    CellSimulation m_simulation;
    TimePoint m_trafficBegin {};
    std::map<JobId, SubmittedJob> m_jobs;
    CrashingLoadReport m_report;
};

} // namespace

CrashingLoadReport playCrashingLoad(std::uint64_t seed, const CrashingLoadSettings& settings, Duration settlingTime)
{
    return CrashingLoad { seed, settings }.play(settlingTime);
}

} // namespace rattanrack::jobs::model
