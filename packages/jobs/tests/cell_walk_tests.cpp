#include "../model/cell_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

namespace {

/// Random jobs over random trouble; the world's oracle watches.
class Walk {
public:
    Walk(std::uint64_t seed, const FaultRates& faults)
        : m_random(seed * 7919)
        , m_world(seed, 8, faults)
    {
        m_world.run(2s);
    }

    CellSimulation& world() { return m_world; }
    const std::vector<JobId>& finite() const { return m_finite; }
    const std::vector<JobId>& lasting() const { return m_lasting; }

    void submitSome(int count)
    {
        for (int i = 0; i < count; ++i) {
            submitFinite();
            m_world.run(Duration { pick(20, 400) * 1000 });
        }
    }

    void submitLasting()
    {
        Job job = newJob();
        Step step;
        step.count = 4;
        step.size = { Millicores { 1300 }, Mebibytes { 4000 }, {} };
        step.isLongRunning = true;
        step.maxUnavailable = 1;
        step.maxPerWorker = 1;
        job.spec.steps = { step };
        m_world.submit(job, { { step.size, 0us, false, true } });
        m_lasting.push_back(job.id);
    }

private:
    int pick(int least, int most) { return std::uniform_int_distribution<> { least, most }(m_random); }

    Job newJob()
    {
        Job job;
        job.id = JobId { "job" + std::to_string(++m_lastJob) };
        job.queue = QueueId { "queue" };
        job.acceptedAtUnixMs = m_world.now().time_since_epoch().count() / 1000;
        return job;
    }

    void submitFinite()
    {
        Job job = newJob();
        std::vector<TaskBehavior> works;
        const int steps = pick(1, 3);
        for (int number = 0; number < steps; ++number) {
            Step step;
            step.count = pick(1, 6);
            step.size = { Millicores { pick(500, 4000) }, Mebibytes { pick(200, 4000) }, {} };
            step.declaredRunTime = Duration { pick(200, 1500) * 1000 };
            if (number > 0)
                step.dependsOn = { number - 1 };
            works.push_back({ step.size, Duration { pick(100, 1600) * 1000 }, false, false });
            job.spec.steps.push_back(std::move(step));
        }
        m_world.submit(job, works);
        m_finite.push_back(job.id);
    }

    std::mt19937_64 m_random;
    CellSimulation m_world;
    int m_lastJob { 0 };
    std::vector<JobId> m_finite;
    std::vector<JobId> m_lasting;
};

void expectSound(Walk& walk, std::uint64_t seed)
{
    walk.world().calm();
    walk.world().run(40s);
    for (const std::string& violation : walk.world().violations())
        ADD_FAILURE() << "seed " << seed << ": " << violation;
    for (const JobId& job : walk.finite()) {
        if (!walk.world().isAccepted(job))
            continue;
        const auto state = walk.world().shown(job);
        EXPECT_TRUE(state == JobState::Completed || state == JobState::Failed)
            << "seed " << seed << ": " << job << ' ' << walk.world().unfinishedJobs();
        EXPECT_TRUE(state != JobState::Failed || walk.world().mostFailures(job) >= 3)
            << "seed " << seed << ": " << job << " failed after " << walk.world().mostFailures(job) << " failures";
    }
    for (const JobId& job : walk.lasting()) {
        if (!walk.world().isAccepted(job))
            continue;
        EXPECT_EQ(walk.world().runningOf(job), 4) << "seed " << seed << ": " << job;
    }
}

/// A number from the environment, by which a walk is taken by hand over more seeds or others.
int fromEnvironment(const char* name, int otherwise)
{
    const char* value = std::getenv(name);
    return value ? std::atoi(value) : otherwise;
}

std::string line(const RunEvent& event)
{
    constexpr const char* names[] = { "ordered", "adopted", "stopping", "ended", "over", "not begun" };
    return describe(event.task) + " run " + std::to_string(event.run) + ' ' + names[static_cast<int>(event.kind)]
        + " on " + event.worker.value() + ", " + event.detail + "; failures " + std::to_string(event.failures)
        + ", unheard " + std::to_string(event.uncontactedWorkers);
}

std::string line(const WorkerEvent& event)
{
    constexpr const char* names[] = { "heard", "not heard", "silent", "back", "fence seen", "acknowledged" };
    return event.worker.value() + ' ' + names[static_cast<int>(event.kind)] + ' ' + event.detail;
}

std::string line(const JobEvent& event) { return event.job.value() + ' ' + event.detail; }

/// Prints what the owners decide on jobs or workers whose names begin so.
void trace(CellSimulation& world, const std::string& beginning)
{
    world.watch([beginning](TimePoint now, int owner, const CellEvent& event) {
        const std::string text = std::visit([](const auto& each) { return line(each); }, event);
        if (text.starts_with(beginning) || text.find(" on " + beginning + ',') != std::string::npos)
            std::cerr << now.time_since_epoch().count() / 1000 << " ms, owner " << owner << ": " << text << '\n';
    });
}

void walkMany(const FaultRates& faults, int usualSeeds, int jobs, int lastingJobs = 1)
{
    const int first = fromEnvironment("RATTANRACK_WALK_FIRST", 1);
    const int seeds = fromEnvironment("RATTANRACK_WALK_SEEDS", usualSeeds);
    for (int seed = first; seed < first + seeds; ++seed) {
        Walk walk { static_cast<std::uint64_t>(seed), faults };
        if (const char* beginning = std::getenv("RATTANRACK_WALK_TRACE"))
            trace(walk.world(), beginning);
        for (int count = 0; count < lastingJobs; ++count)
            walk.submitLasting();
        walk.submitSome(jobs);
        expectSound(walk, static_cast<std::uint64_t>(seed));
    }
}

/// A job of one step.
void submit(CellSimulation& world, const std::string& id, const Step& step, const TaskBehavior& work)
{
    Job job { JobId { id }, QueueId { "queue" }, world.now().time_since_epoch().count() / 1000 };
    job.spec.steps = { step };
    world.submit(job, { work });
}

} // namespace

TEST(CellWalk, CalmDayCompletesEverything) { walkMany({}, 10, 60); }

TEST(CellWalk, OrdersCarriedOutLate) { walkMany({ .lostOrders = 0.08, .lostAnswers = 0.05 }, 15, 60); }

TEST(CellWalk, WorkersCrashAndComeBack) { walkMany({ .lostAnswers = 0.02, .crashesPerSecond = 0.5 }, 15, 60); }

TEST(CellWalk, WorkersAreCutOffAndRunOn) { walkMany({ .cutsPerSecond = 0.6 }, 15, 60); }

TEST(CellWalk, OwnersFollowEachOther)
{
    walkMany({ .lostOrders = 0.03, .failedRuns = 0.2, .takeoversPerSecond = 0.4 }, 30, 60);
}

TEST(CellWalk, EverythingTogether)
{
    walkMany({ .lostOrders = 0.04,
                 .lostAnswers = 0.03,
                 .failedRuns = 0.08,
                 .crashesPerSecond = 0.3,
                 .cutsPerSecond = 0.3,
                 .takeoversPerSecond = 0.15,
                 .failedCommits = 0.05 },
        40, 60);
}

TEST(CellWalk, EndsUnacknowledgedAsOwnersChange)
{
    walkMany(
        { .failedRuns = 0.35, .cutsAtEnds = 0.05, .ownerChangesInCuts = 0.4, .storeStallsPerSecond = 0.2 }, 40, 40);
}

TEST(CellWalk, ListsOfEndsAreShortAsOwnersChange)
{
    walkMany({ .failedRuns = 0.3, .handBacksPerSecond = 0.3, .cutsAtEnds = 0.05, .shortLists = 0.5 }, 30, 40);
}

TEST(CellWalk, MachinesAreEmptiedAsOwnersChange)
{
    walkMany({ .takeoversPerSecond = 0.15,
                 .slowStops = 0.8,
                 .closingsPerSecond = 3,
                 .handBacksPerSecond = 1,
                 .parallelOwners = 0.5 },
        30, 20, 3);
}

TEST(CellWalk, WorkersDrainWhileListsAreOld)
{
    walkMany({ .lostOrders = 0.05,
                 .lostAnswers = 0.05,
                 .drainsPerSecond = 0.6,
                 .handBacksPerSecond = 0.2,
                 .staleLists = 0.4 },
        30, 40);
}

TEST(CellWalk, EarlierOwnersGoOn)
{
    walkMany({ .lostAnswers = 0.03,
                 .failedRuns = 0.3,
                 .cutsPerSecond = 0.3,
                 .takeoversPerSecond = 0.3,
                 .failedCommits = 0.1,
                 .slowStops = 0.5,
                 .cutsAtEnds = 0.02,
                 .parallelOwners = 1 },
        30, 40, 2);
}

TEST(CellWalk, AllTroubleAtOnce)
{
    walkMany({ .lostOrders = 0.03,
                 .lostAnswers = 0.03,
                 .failedRuns = 0.25,
                 .crashesPerSecond = 0.1,
                 .cutsPerSecond = 0.2,
                 .takeoversPerSecond = 0.1,
                 .failedCommits = 0.1,
                 .slowStops = 0.5,
                 .drainsPerSecond = 0.15,
                 .closingsPerSecond = 0.5,
                 .handBacksPerSecond = 0.2,
                 .cutsAtEnds = 0.03,
                 .ownerChangesInCuts = 0.3,
                 .shortLists = 0.2,
                 .parallelOwners = 0.5,
                 .staleLists = 0.1 },
        40, 40, 2);
}

TEST(CellWalk, OwnersStandStill)
{
    walkMany({ .lostOrders = 0.03,
                 .lostAnswers = 0.03,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.2,
                 .cutsPerSecond = 0.2,
                 .lateSteps = 0.3 },
        30, 40);
}

TEST(CellWalk, OrdersWaitToBeSent)
{
    walkMany({ .lostOrders = 0.03,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.2,
                 .cutsPerSecond = 0.2,
                 .takeoversPerSecond = 0.1,
                 .parallelOwners = 0.5,
                 .slowOrders = 0.1 },
        30, 40);
}

TEST(CellWalk, WorkersFlap)
{
    walkMany({ .lostOrders = 0.05,
                 .lostAnswers = 0.03,
                 .cutsPerSecond = 0.2,
                 .staleLists = 0.1,
                 .flapsPerSecond = 0.3,
                 .staleEntries = 0.5,
                 .heldUpLooks = 0.03 },
        30, 40);
}

TEST(CellWalk, StarvingOwnersOfFlappingWorkersFollowEachOther)
{
    walkMany({ .lostOrders = 0.03,
                 .lostAnswers = 0.02,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.15,
                 .cutsPerSecond = 0.15,
                 .takeoversPerSecond = 0.15,
                 .slowStops = 0.3,
                 .handBacksPerSecond = 0.1,
                 .parallelOwners = 0.5,
                 .staleLists = 0.1,
                 .lateSteps = 0.15,
                 .slowOrders = 0.05,
                 .flapsPerSecond = 0.15,
                 .staleEntries = 0.5,
                 .heldUpLooks = 0.02 },
        30, 40);
}

TEST(CellWalk, LastingSubtaskFindsItsPlaceInAFlood)
{
    CellSimulation world { 1, 2, {} };
    world.run(2s);
    for (int number = 0; number < 60; ++number) { // Of different lengths, so that room comes in small pieces.
        Step small;
        small.count = 4;
        small.size = { Millicores { 4800 }, Mebibytes { 10 }, {} };
        small.declaredRunTime = 400ms;
        submit(world, "small" + std::to_string(number), small, { small.size, 300ms + number % 7 * 50ms });
    }
    world.run(1s);
    Step lasting;
    lasting.size = { Millicores { 12800 }, Mebibytes { 10 }, {} };
    lasting.isLongRunning = true;
    submit(world, "lasting", lasting, { lasting.size, 0us, false, true });
    world.run(3s);
    EXPECT_EQ(world.runningOf(JobId { "lasting" }), 1);
}

TEST(CellWalk, LastingSubtasksWithoutPlaceKeepNothingFromOthers)
{
    CellSimulation world { 1, 3, {} };
    world.run(2s);
    Step lasting;
    lasting.count = 5; // Two more than there are workers.
    lasting.size = { Millicores { 500 }, Mebibytes { 100 }, {} };
    lasting.isLongRunning = true;
    lasting.maxPerWorker = 1;
    for (const char* id : { "lasting1", "lasting2", "lasting3" })
        submit(world, id, lasting, { lasting.size, 0us, false, true });
    Step finite;
    finite.size = { Millicores { 1000 }, Mebibytes { 100 }, {} };
    finite.declaredRunTime = 500ms;
    submit(world, "finite", finite, { finite.size, 500ms });
    world.run(5s);
    EXPECT_EQ(world.runningOf(JobId { "lasting1" }), 3);
    EXPECT_EQ(world.shown(JobId { "finite" }), JobState::Completed);
}
