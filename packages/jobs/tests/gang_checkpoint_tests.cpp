#include "cell_harness.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr std::int64_t anyUnixMs = 1'000'000;

std::vector<StartCommand> startGangWithCheckpoints(CellHarness& harness)
{
    Job job { JobId { "gang" }, QueueId { "q" }, anyUnixMs, { "text", { {} }, {} } };
    job.spec.steps[0].count = 2;
    job.spec.steps[0].isGang = true;
    job.spec.steps[0].hasCheckpoints = true;
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    harness.cell().submit(job, 1, harness.now());
    harness.storeChanges();
    harness.advance(10ms);
    harness.answerAllPolls();
    auto starts = harness.takeCommands<StartCommand>();
    for (const StartCommand& start : starts)
        harness.respond(start, CommandStatus::Done);
    harness.advance(300ms);
    return starts;
}

} // namespace

TEST(GangCheckpoint, MembersStartAgainWithOneCheckpointAfterTheyHaveListedDifferentOnes)
{
    CellHarness harness;
    const auto starts = startGangWithCheckpoints(harness);
    ASSERT_EQ(starts.size(), 2U);
    const char* checkpoints[] = { "first", "second" };
    for (std::size_t member = 0; member < starts.size(); ++member)
        harness.answerPoll(starts[member].worker.value().c_str(), {},
            { { 1, starts[member].task, starts[member].run, RunOutcome::GangBroken, checkpoints[member] } });
    harness.advance(300ms);
    const auto again = harness.takeCommands<StartCommand>();
    ASSERT_EQ(again.size(), 2U);
    EXPECT_EQ(again[0].checkpoint, "second");
    EXPECT_EQ(again[1].checkpoint, "second");
}
