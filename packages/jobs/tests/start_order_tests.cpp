#include "cell_harness.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr int workerCount = 9;
constexpr int startsInAWindow = 32; ///< Of a new owner.

std::vector<WorkerDescription> largeWorkers()
{
    std::vector<WorkerDescription> workers;
    for (int number = 1; number <= workerCount; ++number) {
        const std::string name = "w" + std::to_string(number);
        WorkerDescription worker { WorkerId { name }, MachineId { name }, PoolId { "p" }, "10.0.0.1:1" };
        worker.capacity = { Millicores { 16'000 }, Mebibytes { 64'000 }, {} };
        worker.incarnationUnixMs = 1;
        workers.push_back(worker);
    }
    return workers;
}

void submit(CellHarness& harness, const std::string& id, int tasks, Millicores size, Duration runTime)
{
    Job job { JobId { id }, QueueId { "q" }, 0, { "text", { {} }, {} } };
    job.spec.steps[0].count = tasks;
    job.spec.steps[0].size = { size, Mebibytes { 1 }, {} };
    job.spec.steps[0].declaredRunTime = runTime;
    harness.cell().submit(job, 1, harness.now());
    harness.storeChanges();
}

/// An owner whose workers have room, and whose window of starts is full.
class FullWindow {
public:
    FullWindow()
    {
        m_harness.listWorkers(largeWorkers());
        m_harness.advance(10ms);
        m_harness.answerAllPolls();
        m_harness.confirmOwnership();
        submit(m_harness, "flood", startsInAWindow, Millicores { 10 }, 500ms);
        m_harness.advance(10ms);
        m_starts = m_harness.takeCommands<StartCommand>();
    }

    CellHarness& harness() { return m_harness; }
    std::size_t startsInFlight() const { return m_starts.size(); }

    /// The job whose task starts first once a start in flight has its response.
    std::string nextJob()
    {
        m_harness.advance(10ms);
        m_harness.respond(m_starts.back(), CommandStatus::Done);
        m_starts.pop_back();
        m_harness.advance(10ms);
        const auto next = m_harness.takeCommands<StartCommand>();
        return next.empty() ? "none" : next.front().task.job.value();
    }

private:
    CellHarness m_harness;
    std::vector<StartCommand> m_starts;
};

} // namespace

TEST(StartOrder, JobWithFewestTasksGoesFirstWhileStartsAreScarce)
{
    FullWindow owner;
    ASSERT_EQ(owner.startsInFlight(), static_cast<std::size_t>(startsInAWindow));
    submit(owner.harness(), "wide", 10, Millicores { 10 }, 50ms);
    submit(owner.harness(), "narrow", 1, Millicores { 8000 }, 900ms);
    EXPECT_EQ(owner.nextJob(), "narrow");
}

TEST(StartOrder, JobWithLeastWorkGoesFirstWhileCapacityIsScarce)
{
    CellHarness harness; // Two workers with one core each.
    submit(harness, "running", 2, Millicores { 900 }, 500ms);
    harness.advance(10ms);
    const auto starts = harness.takeCommands<StartCommand>();
    ASSERT_EQ(starts.size(), 2U);
    for (const StartCommand& start : starts)
        harness.respond(start, CommandStatus::Done);
    submit(harness, "narrow", 1, Millicores { 900 }, 900ms);
    submit(harness, "wide", 2, Millicores { 450 }, 100ms);
    harness.advance(10ms);
    ASSERT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.advance(100ms);
    harness.answerPoll(starts[0].worker.value().c_str(), {}, { { 1, starts[0].task, 1, RunOutcome::Done, "" } });
    harness.advance(10ms);
    const auto next = harness.takeCommands<StartCommand>();
    ASSERT_EQ(next.size(), 2U);
    EXPECT_EQ(next.front().task.job.value(), "wide");
}
