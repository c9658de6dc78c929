#include "cell_walk.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace rattanrack::jobs::tests {

using namespace model;
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

} // namespace

void runWalks(const FaultRates& faults, const WalkSeeds& seeds, int jobs, int longRunningJobCount)
{
    for (const int seed : seeds.chosen()) {
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

FaultRates withClosedConnections(FaultRates rates)
{
    rates.areConnectionsClosed = true;
    return rates;
}

} // namespace rattanrack::jobs::tests
