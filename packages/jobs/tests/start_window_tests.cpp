#include "cell_harness.h"
#include "rattanrack/jobs/start_window.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

namespace {

const WorkerId fastWorker { "quick" };
const WorkerId slowWorker { "slow" };

/// Rounds of starts that use up the window; each round follows the responses of the one before.
class Rounds {
public:
    void run(int rounds, Duration responseTime)
    {
        for (int round = 0; round < rounds; ++round) {
            const TimePoint sentAt = now;
            window.onLimitReached(now);
            now += responseTime;
            const int starts = window.limit();
            for (int start = 0; start < starts; ++start)
                window.onResponse(WorkerId { std::to_string(start) }, sentAt, responseTime, now);
        }
    }

    StartWindow window;
    TimePoint now { 100s };
};

} // namespace

TEST(StartWindow, GrowsFastWithinTwoFastRounds)
{
    Rounds rounds;
    EXPECT_GE(rounds.window.limit(), 32);
    rounds.run(2, 8ms);
    EXPECT_GE(rounds.window.limit(), 128);
}

TEST(StartWindow, DoesNotGrowWhileNothingIsHeldBack)
{
    StartWindow window;
    const int before = window.limit();
    for (int start = 0; start < 1000; ++start)
        window.onResponse(fastWorker, TimePoint { 100s + start * 1ms }, 5ms, TimePoint { 100s + start * 1ms + 5ms });
    EXPECT_EQ(window.limit(), before);
}

TEST(StartWindow, ShrinksOnLateResponsesAndGrowsAgainOnFastOnes)
{
    Rounds rounds;
    rounds.run(4, 300ms);
    EXPECT_EQ(rounds.window.limit(), 4);
    rounds.run(30, 10ms);
    EXPECT_GE(rounds.window.limit(), 48);
}

TEST(StartWindow, OneBurstOfLateResponsesShrinksItOnce)
{
    StartWindow window;
    const int before = window.limit();
    const TimePoint sentAt { 100s };
    for (int start = 0; start < 200; ++start)
        window.onExpired(WorkerId { std::to_string(start) }, sentAt, sentAt + 260ms + start * 1ms);
    EXPECT_GE(window.limit(), before / 4);
    EXPECT_LT(window.limit(), before);
}

TEST(StartWindow, OneSlowWorkerDoesNotShrinkIt)
{
    StartWindow window;
    const int before = window.limit();
    for (int start = 0; start < 200; ++start) {
        const TimePoint sentAt { 100s + start * 50ms };
        window.onResponse(slowWorker, sentAt, 400ms, sentAt + 400ms);
        window.onExpired(slowWorker, sentAt, sentAt + 400ms);
    }
    EXPECT_EQ(window.limit(), before);
}

TEST(StartWindow, OvertakenStartIsExcluded)
{
    StartWindow window;
    const TimePoint sentAt { 100s };
    EXPECT_FALSE(window.isExcluded(sentAt, sentAt + 150ms));
    window.onResponse(fastWorker, sentAt + 190ms, 5ms, sentAt + 195ms);
    EXPECT_FALSE(window.isExcluded(sentAt, sentAt + 220ms));
    window.onResponse(fastWorker, sentAt + 210ms, 5ms, sentAt + 215ms);
    EXPECT_TRUE(window.isExcluded(sentAt, sentAt + 220ms));
    EXPECT_TRUE(window.isOvertaken(sentAt));
    EXPECT_FALSE(window.isOvertaken(sentAt + 90ms));
    EXPECT_TRUE(window.isExcluded(sentAt + 90ms, sentAt + 500ms)); // Its response takes too long.
}

TEST(CellStarts, ExpiredStartIsRetriedOnTheSameWorkerAtOnce)
{
    CellHarness harness;
    harness.submitAndStore("b");
    const StartCommand first = harness.submitAndTakeStart("a"); // One for each worker.
    harness.respond(first, CommandStatus::Expired);
    harness.advance(10ms);
    const auto retried = harness.takeCommands<StartCommand>();
    ASSERT_EQ(retried.size(), 1U);
    EXPECT_EQ(retried[0].worker, first.worker);
    EXPECT_GT(retried[0].run, first.run);
}

namespace {

/// A job of small tasks; each of the two workers has capacity for 100.
void submitTasks(CellHarness& harness, const char* id, int count, bool isGang)
{
    Job job { JobId { id }, QueueId { "q" }, 1'000'000, { "text", { {} }, {} } };
    job.spec.steps[0].count = count;
    job.spec.steps[0].size = { Millicores { 10 }, Mebibytes { 10 }, {} };
    job.spec.steps[0].declaredRunTime = 500ms;
    job.spec.steps[0].isGang = isGang;
    harness.cell().submit(job, 1, harness.now());
    harness.storeChanges();
}

} // namespace

TEST(CellStarts, StartsInFlightPerWorkerAreLimited)
{
    CellHarness harness;
    submitTasks(harness, "a", 50, false);
    harness.advance(10ms);
    const auto starts = harness.takeCommands<StartCommand>();
    EXPECT_EQ(starts.size(), 2U * StartWindow::maxPerWorker);
    harness.advance(10ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    for (const StartCommand& start : starts)
        harness.respond(start, CommandStatus::Done);
    harness.advance(10ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 2U * StartWindow::maxPerWorker);
}

TEST(CellStarts, GangLargerThanTheWindowStartsOnceNothingElseIsInFlight)
{
    constexpr int members = 50;
    CellHarness harness;
    submitTasks(harness, "small", 1, false);
    harness.advance(10ms);
    const auto small = harness.takeCommands<StartCommand>();
    ASSERT_EQ(small.size(), 1U);
    submitTasks(harness, "gang", members, true);
    harness.advance(10ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.respond(small[0], CommandStatus::Done);
    harness.advance(10ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), static_cast<std::size_t>(members));
}
