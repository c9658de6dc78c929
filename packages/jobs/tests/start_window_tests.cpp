#include "cell_harness.h"
#include "rattanrack/jobs/start_window.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

namespace {

const WorkerId quick { "quick" };
const WorkerId slow { "slow" };

/// Rounds of starts that use the window up, each answered after the round before it.
class Rounds {
public:
    void run(int rounds, Duration responseTime)
    {
        for (int round = 0; round < rounds; ++round) {
            const TimePoint orderedAt = now;
            window.onLimitReached(now);
            now += responseTime;
            const int starts = window.limit();
            for (int start = 0; start < starts; ++start)
                window.onResponse(WorkerId { std::to_string(start) }, orderedAt, responseTime, now);
        }
    }

    StartWindow window;
    TimePoint now { 100s };
};

} // namespace

TEST(StartWindow, OpensWideWithinTwoQuickRounds)
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
        window.onResponse(quick, TimePoint { 100s + start * 1ms }, 5ms, TimePoint { 100s + start * 1ms + 5ms });
    EXPECT_EQ(window.limit(), before);
}

TEST(StartWindow, LateAnswersCloseItToAFewAndQuickOnesOpenItAgain)
{
    Rounds rounds;
    rounds.run(4, 300ms);
    EXPECT_EQ(rounds.window.limit(), 4);
    rounds.run(30, 10ms);
    EXPECT_GE(rounds.window.limit(), 48);
}

TEST(StartWindow, OneFloodOfLateAnswersShrinksItOnce)
{
    StartWindow window;
    const int before = window.limit();
    const TimePoint orderedAt { 100s };
    for (int start = 0; start < 200; ++start)
        window.onExpired(WorkerId { std::to_string(start) }, orderedAt, orderedAt + 260ms + start * 1ms);
    EXPECT_GE(window.limit(), before / 4);
    EXPECT_LT(window.limit(), before);
}

TEST(StartWindow, OneSlowWorkerDoesNotShrinkIt)
{
    StartWindow window;
    const int before = window.limit();
    for (int start = 0; start < 200; ++start) {
        const TimePoint orderedAt { 100s + start * 50ms };
        window.onResponse(slow, orderedAt, 400ms, orderedAt + 400ms);
        window.onExpired(slow, orderedAt, orderedAt + 400ms);
    }
    EXPECT_EQ(window.limit(), before);
}

TEST(StartWindow, StartThatOthersHaveOvertakenTakesNothingOfIt)
{
    StartWindow window;
    const TimePoint orderedAt { 100s };
    EXPECT_FALSE(window.isExcluded(orderedAt, orderedAt + 150ms));
    window.onResponse(quick, orderedAt + 190ms, 5ms, orderedAt + 195ms);
    EXPECT_FALSE(window.isExcluded(orderedAt, orderedAt + 220ms));
    window.onResponse(quick, orderedAt + 210ms, 5ms, orderedAt + 215ms);
    EXPECT_TRUE(window.isExcluded(orderedAt, orderedAt + 220ms));
    EXPECT_TRUE(window.isOvertaken(orderedAt));
    EXPECT_FALSE(window.isOvertaken(orderedAt + 90ms));
    EXPECT_TRUE(window.isExcluded(orderedAt + 90ms, orderedAt + 500ms)); // Its answer takes too long.
}

TEST(CellStarts, ExpiredStartIsDecidedOnAgainForTheSameWorkerAtOnce)
{
    CellHarness desk;
    desk.submitAndStore("b");
    const StartCommand first = desk.startOf("a"); // One for each worker.
    desk.answer(first, CommandStatus::Expired);
    desk.step(10ms);
    const auto again = desk.take<StartCommand>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].worker, first.worker);
    EXPECT_GT(again[0].run, first.run);
}

namespace {

/// Small subtasks, of which each of the two workers has room for 100.
void submit(CellHarness& desk, const char* id, int count, bool isGang)
{
    Job job { JobId { id }, QueueId { "q" }, 1'000'000, { "text", { {} }, {} } };
    job.spec.steps[0].count = count;
    job.spec.steps[0].size = { Millicores { 10 }, Mebibytes { 10 }, {} };
    job.spec.steps[0].declaredRunTime = 500ms;
    job.spec.steps[0].isGang = isGang;
    desk.cell().submit(job, 1, desk.now());
    desk.store();
}

} // namespace

TEST(CellStarts, WorkerGetsNoMoreThanAFewStartsAtOnce)
{
    CellHarness desk;
    submit(desk, "a", 50, false);
    desk.step(10ms);
    const auto starts = desk.take<StartCommand>();
    EXPECT_EQ(starts.size(), 2U * StartWindow::maxPerWorker);
    desk.step(10ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    for (const StartCommand& start : starts)
        desk.answer(start, CommandStatus::Done);
    desk.step(10ms);
    EXPECT_EQ(desk.take<StartCommand>().size(), 2U * StartWindow::maxPerWorker);
}

TEST(CellStarts, GangLargerThanTheWindowStartsAsAWholeOnceNothingElseIsOnItsWay)
{
    constexpr int members = 50;
    CellHarness desk;
    submit(desk, "small", 1, false);
    desk.step(10ms);
    const auto small = desk.take<StartCommand>();
    ASSERT_EQ(small.size(), 1U);
    submit(desk, "gang", members, true);
    desk.step(10ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    desk.answer(small[0], CommandStatus::Done);
    desk.step(10ms);
    EXPECT_EQ(desk.take<StartCommand>().size(), static_cast<std::size_t>(members));
}
