#include "../model/cell_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

namespace {

/// Jobs some of whose tasks crash each worker that starts them, under random faults.
class CrashWalk {
public:
    CrashWalk(std::uint64_t seed, double crashingShare, const FaultRates& faults)
        : m_random(seed * 7919)
        , m_crashingShare(crashingShare)
        , m_simulation(seed, 12, faults)
    {
        m_simulation.run(2s);
    }

    CellSimulation& simulation() { return m_simulation; }
    const std::vector<JobId>& jobs() const { return m_jobs; }

    void submitSome(int count)
    {
        for (int submitted = 0; submitted < count; ++submitted) {
            submitJob();
            m_simulation.run(Duration { pick(20, 250) * 1000 });
        }
    }

private:
    int pick(int least, int most) { return std::uniform_int_distribution<> { least, most }(m_random); }

    void submitJob()
    {
        Job job;
        job.id = JobId { "job" + std::to_string(m_jobs.size() + 1) };
        job.queue = QueueId { "queue" };
        job.acceptedAtUnixMs = m_simulation.now().time_since_epoch().count() / 1000;
        Step step;
        step.count = pick(1, 4);
        step.size = { Millicores { pick(500, 4000) }, Mebibytes { pick(200, 4000) }, {} };
        step.declaredRunTime = Duration { pick(200, 1500) * 1000 };
        TaskBehavior behavior { step.size, Duration { pick(100, 1600) * 1000 }, false, false };
        if (std::bernoulli_distribution { m_crashingShare }(m_random))
            behavior.crashingTask = pick(0, step.count - 1);
        job.spec.steps = { step };
        m_simulation.submit(job, { behavior });
        m_jobs.push_back(job.id);
    }

    std::mt19937_64 m_random;
    double m_crashingShare;
    CellSimulation m_simulation;
    std::vector<JobId> m_jobs;
};

/// Only a job of which a task has crashed two workers may be given up, and each job ends.
void expectRightVerdicts(CrashWalk& walk, std::uint64_t seed)
{
    CellSimulation& simulation = walk.simulation();
    simulation.stopFaults();
    simulation.run(40s);
    for (const std::string& violation : simulation.violations())
        ADD_FAILURE() << "seed " << seed << ": " << violation;
    for (const JobId& job : walk.jobs()) {
        if (!simulation.isAccepted(job))
            continue;
        const auto state = simulation.shownState(job);
        EXPECT_TRUE(state == JobState::Completed || state == JobState::Failed)
            << "seed " << seed << ": " << job << ' ' << simulation.describeUnfinishedJobs();
        const bool mayBeGivenUp = simulation.highestFailureCount(job) >= 3 || simulation.highestCrashCount(job) >= 2;
        EXPECT_TRUE(state != JobState::Failed || mayBeGivenUp)
            << "seed " << seed << ": " << job << " given up after " << simulation.highestCrashCount(job) << " crashes";
    }
}

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

int fromEnvironment(const char* name, int fallback)
{
    const char* value = std::getenv(name);
    return value ? std::atoi(value) : fallback;
}

void runWalks(double crashingShare, const FaultRates& faults, int defaultSeeds)
{
    const int first = fromEnvironment("RATTANRACK_WALK_FIRST", 1);
    const int seeds = fromEnvironment("RATTANRACK_WALK_SEEDS", defaultSeeds);
    for (int seed = first; seed < first + seeds; ++seed) {
        CrashWalk walk { static_cast<std::uint64_t>(seed), crashingShare, faults };
        if (const char* job = std::getenv("RATTANRACK_WALK_TRACE"))
            trace(walk.simulation(), job);
        walk.submitSome(100);
        expectRightVerdicts(walk, static_cast<std::uint64_t>(seed));
    }
}

} // namespace

TEST(CrashingTaskWalk, TaskThatCrashesItsWorkersIsGivenUp) { runWalks(0.05, {}, 12); }

TEST(CrashingTaskWalk, TaskThatCrashesItsWorkersIsGivenUpByLaterOwners)
{
    runWalks(0.05,
        { .lostResponses = 0.02,
            .partitionsPerSecond = 0.1,
            .ownerLossesPerSecond = 0.04,
            .failedCommits = 0.05,
            .handBacksPerSecond = 0.03,
            .storeStallsPerSecond = 0.1,
            .loopStallsPerSecond = 0.1 },
        20);
}

/// Owners change every 3 to 7 s, as fast as a crash is found.
TEST(CrashingTaskWalk, TaskThatCrashesItsWorkersIsGivenUpAcrossOwnerChanges)
{
    runWalks(0.05,
        { .lostResponses = 0.02,
            .partitionsPerSecond = 0.1,
            .ownerLossesPerSecond = 0.1,
            .failedCommits = 0.05,
            .handBacksPerSecond = 0.05,
            .storeStallsPerSecond = 0.1,
            .loopStallsPerSecond = 0.1 },
        12);
}

TEST(CrashingTaskWalk, TaskIsNotGivenUpForCrashesOfRacks)
{
    runWalks(0, { .lostResponses = 0.02, .crashesPerSecond = 0.3, .rackCrashesPerSecond = 0.25 }, 25);
}

TEST(CrashingTaskWalk, TaskIsNotGivenUpOnFlappingWorkers)
{
    runWalks(0, { .lostCommands = 0.02, .lostResponses = 0.02, .flapsPerSecond = 0.6, .staleListEntries = 0.2 }, 25);
}

TEST(CrashingTaskWalk, VerdictsAreRightAmongOtherCrashes)
{
    runWalks(0.04,
        { .lostResponses = 0.02,
            .failedRuns = 0.05,
            .crashesPerSecond = 0.2,
            .partitionsPerSecond = 0.2,
            .ownerLossesPerSecond = 0.05 },
        20);
}
