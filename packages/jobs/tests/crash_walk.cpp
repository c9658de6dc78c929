#include "crash_walk.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iomanip>
#include <iostream>

namespace rattanrack::jobs::tests {

namespace {

using namespace model;
using namespace std::chrono_literals;

constexpr int workerCount = 12;
constexpr int jobsOfAWalk = 100;
constexpr int longRunningTasks = 4; ///< Of each long-running job.
constexpr int maxFailures = 3; ///< A task that failed as often has used up its attempts.
constexpr int crashesOfAGivenUpTask = 2;

/// Prints what the owners decide on the runs of one job.
void trace(CellSimulation& simulation, const std::string& job)
{
    simulation.setObserver([job](TimePoint now, int owner, const CellEvent& event) {
        const auto print = [&](const std::string& text) {
            std::cerr << now.time_since_epoch().count() / 1000 << " ms, owner " << owner << ": " << text << '\n';
        };
        if (const auto* run = std::get_if<RunEvent>(&event); run && run->task.job.value() == job)
            print(describe(run->task) + " run " + std::to_string(run->run) + " kind "
                + std::to_string(static_cast<int>(run->kind)) + " on " + run->worker.value() + ' ' + run->detail);
        if (const auto* ofJob = std::get_if<JobEvent>(&event); ofJob && ofJob->job.value() == job)
            print(job + ' ' + ofJob->detail);
    });
}

/// One line for each window and condition.
void print(const StartSurvival& survival)
{
    constexpr std::array<const char*, StartSurvival::conditions> names { "any worker", "worker up for 5 s",
        "worker up for 5 s, only start" };
    std::cout << "crashes " << survival.crashes() << " (" << survival.crashesByTasks() << " by tasks), "
              << static_cast<double>(survival.crashes()) / survival.upSeconds() << " per worker-second; tasks "
              << survival.tasks() << '\n';
    for (std::size_t window = 0; window < StartSurvival::windows.size(); ++window) {
        for (std::size_t condition = 0; condition < StartSurvival::conditions; ++condition) {
            const auto count = survival.count(window, static_cast<StartSurvival::Condition>(condition));
            std::cout << "| " << StartSurvival::windows[window].count() / 1000 << " ms | " << names[condition] << " | "
                      << count.starts << " | " << count.hits << " | "
                      << static_cast<double>(count.hits) / static_cast<double>(std::max<std::int64_t>(count.starts, 1));
            for (const std::int64_t tasks : count.tasksByRow)
                std::cout << " | " << tasks;
            std::cout << " |\n";
        }
    }
}

} // namespace

CrashWalk::CrashWalk(std::uint64_t seed, const CrashWalkSettings& settings)
    : m_seed(seed)
    , m_random(seed * 7919)
    , m_settings(settings)
    , m_simulation(seed, workerCount, settings.faults)
{
    m_simulation.run(2s);
}

int CrashWalk::pick(int least, int most) { return std::uniform_int_distribution<> { least, most }(m_random); }

bool CrashWalk::happens(double share) { return share > 0 && std::bernoulli_distribution { share }(m_random); }

Job CrashWalk::newJob()
{
    Job job;
    job.id = JobId { "job" + std::to_string(m_finiteJobs.size() + m_longRunningJobs.size() + 1) };
    job.queue = QueueId { "queue" };
    job.acceptedAtUnixMs = m_simulation.now().time_since_epoch().count() / 1000;
    return job;
}

void CrashWalk::submitSome(int jobs)
{
    for (int submitted = 0; submitted < m_settings.longRunningJobs; ++submitted)
        submitLongRunning();
    for (int submitted = 0; submitted < jobs; ++submitted) {
        submitFinite();
        if ((submitted + 1) % m_settings.jobsAtOnce == 0)
            m_simulation.run(Duration { pick(20, 250) * 1000 } * m_settings.jobsAtOnce);
        cancelSome();
        expectNoneOverdue();
    }
}

void CrashWalk::submitLongRunning()
{
    Job job = newJob();
    Step step;
    step.count = longRunningTasks;
    step.size = { Millicores { 1300 }, Mebibytes { 4000 }, {} };
    step.isLongRunning = true;
    step.maxUnavailable = 1;
    step.maxPerWorker = 1;
    job.spec.steps = { step };
    m_simulation.submit(job, { { step.size, 0us, false, true } });
    m_longRunningJobs.push_back(job.id);
}

void CrashWalk::submitFinite()
{
    Job job = newJob();
    Step step;
    step.count = pick(1, m_settings.mostTasks);
    step.size = { Millicores { pick(500, 4000) }, Mebibytes { pick(200, 4000) }, {} };
    step.declaredRunTime = Duration { pick(200, 1500) * 1000 };
    TaskBehavior behavior { step.size, Duration { pick(100, 1600) * 1000 }, false, false };
    if (std::bernoulli_distribution { m_settings.crashingShare }(m_random)) {
        behavior.crashingTask = pick(0, step.count - 1);
        m_crashingJobs.insert(job.id);
    }
    step.isGang = happens(m_settings.gangShare);
    step.maxPerWorker = happens(m_settings.onePerWorkerShare) ? 1 : 0;
    if (happens(m_settings.cancelledShare))
        m_cancelAt[job.id] = m_simulation.now() + Duration { pick(10, 6000) * 1000 };
    job.spec.steps = { step };
    m_simulation.submit(job, { behavior });
    m_finiteJobs.push_back(job.id);
}

/// Cancels the jobs that are due. An owner that can't take the cancellation is asked again later.
void CrashWalk::cancelSome()
{
    std::erase_if(m_cancelAt, [&](const auto& due) {
        if (m_simulation.now() < due.second || !m_simulation.shownState(due.first))
            return false;
        m_simulation.cancel(due.first);
        m_cancelledJobs.insert(due.first);
        return true;
    });
}

void CrashWalk::expectNoneOverdue()
{
    if (!m_settings.areLongRunningTasksNeverOverdue || m_wasOverdue)
        return;
    for (const std::string& overdue : m_simulation.overdueLongRunningTasks()) {
        m_wasOverdue = true;
        ADD_FAILURE() << "seed " << m_seed << ": " << m_simulation.now().time_since_epoch().count() / 1000
                      << " ms: " << overdue;
    }
}

void CrashWalk::expectRightVerdicts()
{
    m_simulation.stopFaults();
    for (int second = 0; second < 40; ++second) {
        m_simulation.run(1s);
        cancelSome();
        expectNoneOverdue();
    }
    for (const std::string& violation : m_simulation.violations())
        ADD_FAILURE() << "seed " << m_seed << ": " << violation;
    for (const JobId& job : m_finiteJobs) {
        if (m_simulation.isAccepted(job))
            expectRightVerdict(job);
    }
    for (const JobId& job : m_longRunningJobs) {
        if (!m_simulation.isAccepted(job))
            continue;
        EXPECT_EQ(m_simulation.runningOf(job), longRunningTasks) << "seed " << m_seed << ": " << job;
        EXPECT_NE(m_simulation.shownState(job), JobState::Failed) << "seed " << m_seed << ": " << job;
    }
}

void CrashWalk::expectRightVerdict(const JobId& job)
{
    const auto state = m_simulation.shownState(job);
    const bool isCancelled = state == JobState::Cancelled && m_cancelledJobs.contains(job);
    EXPECT_TRUE(state == JobState::Completed || state == JobState::Failed || isCancelled)
        << "seed " << m_seed << ": " << job << ' ' << m_simulation.describeUnfinishedJobs();
    if (state != JobState::Failed || m_simulation.highestFailureCount(job) >= maxFailures)
        return;
    EXPECT_TRUE(m_crashingJobs.contains(job))
        << "seed " << m_seed << ": " << job << " given up, although none of its tasks crashes its workers";
    EXPECT_GE(m_simulation.highestCrashCount(job), crashesOfAGivenUpTask)
        << "seed " << m_seed << ": " << job << " given up";
}

void runCrashWalks(const CrashWalkSettings& settings, const WalkSeeds& seeds)
{
    StartSurvival survival;
    for (const int seed : seeds.chosen()) {
        CrashWalk walk { static_cast<std::uint64_t>(seed), settings };
        if (const char* job = std::getenv("RATTANRACK_WALK_TRACE"))
            trace(walk.simulation(), job);
        walk.submitSome(jobsOfAWalk);
        walk.expectRightVerdicts();
        StartSurvival ofWalk = walk.simulation().startSurvival();
        ofWalk.finish();
        survival.add(ofWalk);
    }
    if (std::getenv("RATTANRACK_WALK_SURVIVAL"))
        print(survival);
}

} // namespace rattanrack::jobs::tests
