#include "../model/cell_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

namespace {

/// A random walk: random jobs under random faults, checked by the simulation's oracle.
class Walk {
public:
    Walk(std::uint64_t seed, const FaultRates& faults)
        : m_random(seed * 7919)
        , m_simulation(seed, 8, faults)
    {
        m_simulation.run(2s);
    }

    CellSimulation& simulation() { return m_simulation; }
    const std::vector<JobId>& finiteJobs() const { return m_finiteJobs; }
    const std::vector<JobId>& longRunningJobs() const { return m_longRunningJobs; }

    void submitSome(int count)
    {
        for (int i = 0; i < count; ++i) {
            submitFinite();
            m_simulation.run(Duration { pick(20, 400) * 1000 });
        }
    }

    void submitLongRunning()
    {
        Job job = newJob();
        Step step;
        step.count = 4;
        step.size = { Millicores { 1300 }, Mebibytes { 4000 }, {} };
        step.isLongRunning = true;
        step.maxUnavailable = 1;
        step.maxPerWorker = 1;
        job.spec.steps = { step };
        m_simulation.submit(job, { { step.size, 0us, false, true } });
        m_longRunningJobs.push_back(job.id);
    }

private:
    int pick(int least, int most) { return std::uniform_int_distribution<> { least, most }(m_random); }

    Job newJob()
    {
        Job job;
        job.id = JobId { "job" + std::to_string(++m_lastJob) };
        job.queue = QueueId { "queue" };
        job.acceptedAtUnixMs = m_simulation.now().time_since_epoch().count() / 1000;
        return job;
    }

    void submitFinite()
    {
        Job job = newJob();
        std::vector<TaskBehavior> behaviors;
        const int steps = pick(1, 3);
        for (int number = 0; number < steps; ++number) {
            Step step;
            step.count = pick(1, 6);
            step.size = { Millicores { pick(500, 4000) }, Mebibytes { pick(200, 4000) }, {} };
            step.declaredRunTime = Duration { pick(200, 1500) * 1000 };
            if (number > 0)
                step.dependsOn = { number - 1 };
            behaviors.push_back({ step.size, Duration { pick(100, 1600) * 1000 }, false, false });
            job.spec.steps.push_back(std::move(step));
        }
        m_simulation.submit(job, behaviors);
        m_finiteJobs.push_back(job.id);
    }

    std::mt19937_64 m_random;
    CellSimulation m_simulation;
    int m_lastJob { 0 };
    std::vector<JobId> m_finiteJobs;
    std::vector<JobId> m_longRunningJobs;
};

void expectInvariants(Walk& walk, std::uint64_t seed)
{
    walk.simulation().stopFaults();
    walk.simulation().run(40s);
    for (const std::string& violation : walk.simulation().violations())
        ADD_FAILURE() << "seed " << seed << ": " << violation;
    for (const JobId& job : walk.finiteJobs()) {
        if (!walk.simulation().isAccepted(job))
            continue;
        const auto state = walk.simulation().shownState(job);
        EXPECT_TRUE(state == JobState::Completed || state == JobState::Failed)
            << "seed " << seed << ": " << job << ' ' << walk.simulation().describeUnfinishedJobs();
        EXPECT_TRUE(state != JobState::Failed || walk.simulation().highestFailureCount(job) >= 3)
            << "seed " << seed << ": " << job << " failed after " << walk.simulation().highestFailureCount(job)
            << " failures";
    }
    for (const JobId& job : walk.longRunningJobs()) {
        if (!walk.simulation().isAccepted(job))
            continue;
        EXPECT_EQ(walk.simulation().runningOf(job), 4) << "seed " << seed << ": " << job;
    }
}

/// Reads a number from the environment, to run the walks by hand with other or more seeds.
int fromEnvironment(const char* name, int fallback)
{
    const char* value = std::getenv(name);
    return value ? std::atoi(value) : fallback;
}

std::string describeEvent(const RunEvent& event)
{
    constexpr const char* names[]
        = { "starting", "adopted", "stopping", "ended", "presumed ended", "not started", "suspected", "cleared" };
    return describe(event.task) + " run " + std::to_string(event.run) + ' ' + names[static_cast<int>(event.kind)]
        + " on " + event.worker.value() + ", " + event.detail + "; failures " + std::to_string(event.failures)
        + ", uncontacted workers " + std::to_string(event.uncontactedWorkers);
}

std::string describeEvent(const WorkerEvent& event)
{
    constexpr const char* names[]
        = { "contacted", "never contacted", "unresponsive", "recovered", "higher fence seen", "acknowledged" };
    return event.worker.value() + ' ' + names[static_cast<int>(event.kind)] + ' ' + event.detail;
}

std::string describeEvent(const MissingRunEvent& event)
{
    return describe(event.task) + " without a run, " + std::string { describe(event.reason) } + ' '
        + event.worker.value() + event.workers;
}

std::string describeEvent(const TrialQueueEvent& event)
{
    return std::to_string(event.suspects) + " suspects, " + std::to_string(event.trials) + " trials";
}

std::string describeEvent(const JobEvent& event) { return event.job.value() + ' ' + event.detail; }

/// Prints the owners' events for jobs and workers whose names have the given prefix.
void trace(CellSimulation& simulation, const std::string& prefix)
{
    simulation.setObserver([prefix](TimePoint now, int owner, const CellEvent& event) {
        const std::string text = std::visit([](const auto& each) { return describeEvent(each); }, event);
        if (text.starts_with(prefix) || text.find(" on " + prefix + ',') != std::string::npos)
            std::cerr << now.time_since_epoch().count() / 1000 << " ms, owner " << owner << ": " << text << '\n';
    });
}

void runWalks(const FaultRates& faults, int defaultSeeds, int jobs, int longRunningJobCount = 1)
{
    const int first = fromEnvironment("RATTANRACK_WALK_FIRST", 1);
    const int seeds = fromEnvironment("RATTANRACK_WALK_SEEDS", defaultSeeds);
    for (int seed = first; seed < first + seeds; ++seed) {
        Walk walk { static_cast<std::uint64_t>(seed), faults };
        if (const char* prefix = std::getenv("RATTANRACK_WALK_TRACE"))
            trace(walk.simulation(), prefix);
        for (int count = 0; count < longRunningJobCount; ++count)
            walk.submitLongRunning();
        walk.submitSome(jobs);
        expectInvariants(walk, static_cast<std::uint64_t>(seed));
    }
}

FaultRates commonFaults()
{
    return { .lostCommands = 0.04,
        .lostResponses = 0.03,
        .failedRuns = 0.08,
        .crashesPerSecond = 0.3,
        .partitionsPerSecond = 0.3,
        .ownerLossesPerSecond = 0.15,
        .failedCommits = 0.05 };
}

FaultRates flaps()
{
    return { .lostCommands = 0.05,
        .lostResponses = 0.03,
        .partitionsPerSecond = 0.2,
        .slowListReads = 0.1,
        .flapsPerSecond = 0.3,
        .staleListEntries = 0.5,
        .delayedPolls = 0.03 };
}

FaultRates starvedOwnersAndFlaps()
{
    return { .lostCommands = 0.03,
        .lostResponses = 0.02,
        .failedRuns = 0.1,
        .crashesPerSecond = 0.15,
        .partitionsPerSecond = 0.15,
        .ownerLossesPerSecond = 0.15,
        .slowStops = 0.3,
        .handBacksPerSecond = 0.1,
        .survivingOwners = 0.5,
        .slowListReads = 0.1,
        .loopStallsPerSecond = 0.15,
        .delayedCommands = 0.05,
        .flapsPerSecond = 0.15,
        .staleListEntries = 0.5,
        .delayedPolls = 0.02 };
}

/// Workers whose connections end with each response: their leases are not bound to an incarnation.
FaultRates withClosedConnections(FaultRates rates)
{
    rates.areConnectionsClosed = true;
    return rates;
}

} // namespace

TEST(CellWalk, AllJobsCompleteWithoutFaults) { runWalks({}, 10, 60); }

TEST(CellWalk, CommandsAreCarriedOutLate) { runWalks({ .lostCommands = 0.08, .lostResponses = 0.05 }, 15, 60); }

TEST(CellWalk, WorkersCrashAndRestart) { runWalks({ .lostResponses = 0.02, .crashesPerSecond = 0.5 }, 15, 60); }

TEST(CellWalk, PartitionedWorkersGoOnRunning) { runWalks({ .partitionsPerSecond = 0.6 }, 15, 60); }

TEST(CellWalk, OwnersAreReplaced)
{
    runWalks({ .lostCommands = 0.03, .failedRuns = 0.2, .ownerLossesPerSecond = 0.4 }, 30, 60);
}

TEST(CellWalk, CommonFaultsTogether) { runWalks(commonFaults(), 40, 60); }

TEST(CellWalk, EndedRunsAreUnacknowledgedDuringOwnerChanges)
{
    runWalks({ .failedRuns = 0.35,
                 .partitionsAtRunEnds = 0.05,
                 .ownerChangesInPartitions = 0.4,
                 .storeStallsPerSecond = 0.2 },
        40, 40);
}

TEST(CellWalk, PollsAreTruncatedDuringOwnerChanges)
{
    runWalks(
        { .failedRuns = 0.3, .handBacksPerSecond = 0.3, .partitionsAtRunEnds = 0.05, .truncatedPolls = 0.5 }, 30, 40);
}

TEST(CellWalk, MachinesAreDrainedDuringOwnerChanges)
{
    runWalks({ .ownerLossesPerSecond = 0.15,
                 .slowStops = 0.8,
                 .machineDrainsPerSecond = 3,
                 .handBacksPerSecond = 1,
                 .survivingOwners = 0.5 },
        30, 20, 3);
}

TEST(CellWalk, WorkersDrainWhileListReadsAreSlow)
{
    runWalks({ .lostCommands = 0.05,
                 .lostResponses = 0.05,
                 .workerDrainsPerSecond = 0.6,
                 .handBacksPerSecond = 0.2,
                 .slowListReads = 0.4 },
        30, 40);
}

TEST(CellWalk, ReplacedOwnersGoOn)
{
    runWalks({ .lostResponses = 0.03,
                 .failedRuns = 0.3,
                 .partitionsPerSecond = 0.3,
                 .ownerLossesPerSecond = 0.3,
                 .failedCommits = 0.1,
                 .slowStops = 0.5,
                 .partitionsAtRunEnds = 0.02,
                 .survivingOwners = 1 },
        30, 40, 2);
}

TEST(CellWalk, AllFaultsTogether)
{
    runWalks({ .lostCommands = 0.03,
                 .lostResponses = 0.03,
                 .failedRuns = 0.25,
                 .crashesPerSecond = 0.1,
                 .partitionsPerSecond = 0.2,
                 .ownerLossesPerSecond = 0.1,
                 .failedCommits = 0.1,
                 .slowStops = 0.5,
                 .workerDrainsPerSecond = 0.15,
                 .machineDrainsPerSecond = 0.5,
                 .handBacksPerSecond = 0.2,
                 .partitionsAtRunEnds = 0.03,
                 .ownerChangesInPartitions = 0.3,
                 .truncatedPolls = 0.2,
                 .survivingOwners = 0.5,
                 .slowListReads = 0.1 },
        40, 40, 2);
}

TEST(CellWalk, OwnerLoopsStall)
{
    runWalks({ .lostCommands = 0.03,
                 .lostResponses = 0.03,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.2,
                 .partitionsPerSecond = 0.2,
                 .loopStallsPerSecond = 0.3 },
        30, 40);
}

TEST(CellWalk, CommandsAreDelayedBeforeSending)
{
    runWalks({ .lostCommands = 0.03,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.2,
                 .partitionsPerSecond = 0.2,
                 .ownerLossesPerSecond = 0.1,
                 .survivingOwners = 0.5,
                 .delayedCommands = 0.1 },
        30, 40);
}

TEST(CellWalk, WorkersFlap) { runWalks(flaps(), 30, 40); }

TEST(CellWalk, StarvedOwnersOfFlappingWorkersAreReplaced) { runWalks(starvedOwnersAndFlaps(), 30, 40); }

TEST(CellWalk, WorkersThatCloseConnectionsCrashAndRestart)
{
    runWalks({ .lostResponses = 0.02, .crashesPerSecond = 0.5, .areConnectionsClosed = true }, 15, 60);
}

TEST(CellWalk, CommonFaultsWithClosedConnections) { runWalks(withClosedConnections(commonFaults()), 40, 60); }

TEST(CellWalk, CommonFaultsWithSilentCrashes)
{
    FaultRates rates = commonFaults();
    rates.silentCrashes = 1;
    runWalks(rates, 40, 60);
}

TEST(CellWalk, WorkersThatCloseConnectionsFlap) { runWalks(withClosedConnections(flaps()), 30, 40); }

TEST(CellWalk, StarvedOwnersOfWorkersThatCloseConnectionsAreReplaced)
{
    runWalks(withClosedConnections(starvedOwnersAndFlaps()), 30, 40);
}

TEST(CellWalk, CapacityShrinksWithoutOtherFaults)
{
    runWalks({ .slowStops = 0.5, .shrinksPerSecond = 2, .isCapacityUnenforced = true }, 20, 80, 2);
}

TEST(CellWalk, CapacityShrinksWhileResponsesAreLost)
{
    runWalks({ .lostCommands = 0.06,
                 .lostResponses = 0.06,
                 .partitionsPerSecond = 0.4,
                 .slowStops = 0.5,
                 .slowListReads = 0.2,
                 .delayedCommands = 0.05,
                 .shrinksPerSecond = 2,
                 .isCapacityUnenforced = true },
        30, 80, 2);
}

TEST(CellWalk, CapacityShrinksDuringOwnerChanges)
{
    runWalks({ .lostCommands = 0.04,
                 .lostResponses = 0.03,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.2,
                 .partitionsPerSecond = 0.2,
                 .ownerLossesPerSecond = 0.2,
                 .failedCommits = 0.05,
                 .slowStops = 0.5,
                 .machineDrainsPerSecond = 0.5,
                 .handBacksPerSecond = 0.2,
                 .survivingOwners = 0.5,
                 .flapsPerSecond = 0.1,
                 .staleListEntries = 0.5,
                 .shrinksPerSecond = 2,
                 .isCapacityUnenforced = true },
        30, 80, 2);
}

TEST(CellWalk, CapacityShrinksWhileReplacedOwnersGoOn)
{
    runWalks({ .lostCommands = 0.03,
                 .ownerLossesPerSecond = 0.3,
                 .slowStops = 0.3,
                 .handBacksPerSecond = 0.1,
                 .survivingOwners = 1,
                 .loopStallsPerSecond = 0.15,
                 .shrinksPerSecond = 3,
                 .isCapacityUnenforced = true },
        60, 80, 2);
}
