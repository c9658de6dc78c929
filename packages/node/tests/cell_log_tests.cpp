#include "rattanrack/base/log.h"
#include "rattanrack/node/cell_log.h"

#include <gtest/gtest.h>

#include <iostream>
#include <sstream>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;
using jobs::JobEvent;
using jobs::RunEvent;
using jobs::WorkerEvent;

namespace {

constexpr std::size_t burst = 5 * LogRateLimiter::maxLinesPerSecond;

RunEvent runEvent(RunEvent::Kind kind, const std::string& detail = {})
{
    RunEvent event;
    event.kind = kind;
    event.detail = detail;
    return event;
}

WorkerEvent workerEvent(WorkerEvent::Kind kind) { return { kind, jobs::WorkerId { "w1" }, {}, {} }; }

class CellLogTest : public testing::Test {
protected:
    void SetUp() override
    {
        setLogLevel(LogLevel::Info);
        m_before = std::clog.rdbuf(m_written.rdbuf());
    }
    void TearDown() override { std::clog.rdbuf(m_before); }

    void write(const jobs::CellEvent& event, std::size_t times = 1)
    {
        for (std::size_t i = 0; i < times; ++i)
            log.write(PoolId { "c1" }, 1, event);
    }

    std::size_t linesWith(const std::string& text) const
    {
        std::istringstream lines { m_written.str() };
        std::size_t count = 0;
        for (std::string line; std::getline(lines, line);)
            count += line.find(text) != std::string::npos ? 1 : 0;
        return count;
    }

    ManualClock clock;
    CellLog log { clock };

private:
    std::ostringstream m_written;
    std::streambuf* m_before { nullptr };
};

} // namespace

TEST(LogRateLimiter, SecondBeginsWithTheFirstLineAfterThePreviousOne)
{
    LogRateLimiter limiter;
    ManualClock clock;
    clock.setNow(TimePoint { 10s });
    for (std::size_t i = 0; i < LogRateLimiter::maxLinesPerSecond; ++i)
        EXPECT_TRUE(limiter.admits(clock.now()));
    EXPECT_FALSE(limiter.admits(clock.now()));
    clock.advance(1s - 1us);
    EXPECT_FALSE(limiter.admits(clock.now()));
    clock.advance(1us);
    EXPECT_TRUE(limiter.admits(clock.now()));
    EXPECT_EQ(limiter.takeSuppressedCount(), 2U);
    EXPECT_EQ(limiter.takeSuppressedCount(), 0U);
}

TEST_F(CellLogTest, NormalLoadSuppressesNoLine)
{
    constexpr int seconds = 60;
    constexpr std::size_t perSecond = 60;
    constexpr std::size_t perPass = 200;
    for (int second = 0; second < seconds; ++second) {
        const std::size_t tasks = perSecond + (second % 10 == 0 ? perPass : 0);
        write(runEvent(RunEvent::Kind::Starting), tasks);
        write(runEvent(RunEvent::Kind::Ended, "done"), tasks);
        write(workerEvent(WorkerEvent::Kind::EndedRunsAcknowledged), tasks);
        clock.advance(1s);
    }
    EXPECT_EQ(linesWith("event=run.ordered"), seconds * perSecond + 6 * perPass);
    EXPECT_EQ(linesWith("event=run.ended"), seconds * perSecond + 6 * perPass);
    EXPECT_EQ(linesWith("event=ends.acknowledged"), seconds * perSecond + 6 * perPass);
    EXPECT_EQ(linesWith("event=log.left_out"), 0U);
}

TEST_F(CellLogTest, BurstIsLimitedPerKindAndTheNextLineReportsTheSuppressedCount)
{
    write(runEvent(RunEvent::Kind::Starting), burst);
    write(runEvent(RunEvent::Kind::Ended, "done"), 3);
    EXPECT_EQ(linesWith("event=run.ordered"), LogRateLimiter::maxLinesPerSecond);
    EXPECT_EQ(linesWith("event=run.ended"), 3U);
    EXPECT_EQ(linesWith("event=log.left_out"), 0U);
    clock.advance(1s);
    write(runEvent(RunEvent::Kind::Starting), 2);
    EXPECT_EQ(linesWith("event=log.left_out kind=run.ordered count="
                  + std::to_string(burst - LogRateLimiter::maxLinesPerSecond)),
        1U);
    EXPECT_EQ(linesWith("event=log.left_out"), 1U);
    EXPECT_EQ(linesWith("event=run.ordered"), LogRateLimiter::maxLinesPerSecond + 2);
}

TEST_F(CellLogTest, AcknowledgementsAndDoneRunsAreLimited)
{
    write(runEvent(RunEvent::Kind::Ended, "done"), burst);
    write(workerEvent(WorkerEvent::Kind::EndedRunsAcknowledged), burst);
    EXPECT_EQ(linesWith("event=run.ended"), LogRateLimiter::maxLinesPerSecond);
    EXPECT_EQ(linesWith("event=ends.acknowledged"), LogRateLimiter::maxLinesPerSecond);
}

TEST_F(CellLogTest, UnsuccessfulStartsAreLimited)
{
    write(runEvent(RunEvent::Kind::NotStarted, "start expired in our queue"), burst);
    EXPECT_EQ(linesWith("event=run.over"), LogRateLimiter::maxLinesPerSecond);
    EXPECT_EQ(linesWith("detail=\"start expired in our queue\""), LogRateLimiter::maxLinesPerSecond);
}

TEST_F(CellLogTest, ReportsOfMissingRunsAreLimited)
{
    write(jobs::MissingRunEvent { {}, 0, {}, jobs::MissingRunReason::NoRoom, "draining 2, no room 5", 3s }, burst);
    EXPECT_EQ(linesWith("event=task.without_run"), LogRateLimiter::maxLinesPerSecond);
    EXPECT_EQ(linesWith("detail=\"no worker has room for it\" ageMs=3000 workers=\"draining 2, no room 5\""),
        LogRateLimiter::maxLinesPerSecond);
}

TEST_F(CellLogTest, QueueForTrialsIsWritten)
{
    write(jobs::TrialQueueEvent { 9, 5, 2, 4, 7, 1, 3, 2500ms, 6, 10, 11, 12, 8 }, 1);
    EXPECT_EQ(linesWith("event=trials.state"), 1U);
    EXPECT_EQ(linesWith("suspects=9 waiting=5 likelyCauses=2 trials=4 cleared=7 givenUp=1 losses=3 longestWaitMs=2500 "
                        "kept=6 heldByWindow=10 heldByLimit=11 heldByRoom=12 lateFirstStarts=8"),
        1U);
}

TEST_F(CellLogTest, FailuresAndStateChangesAreNeverSuppressed)
{
    const std::vector<jobs::CellEvent> events { runEvent(RunEvent::Kind::Ended, "failed"),
        runEvent(RunEvent::Kind::Ended, "lapsed"), runEvent(RunEvent::Kind::PresumedEnded),
        runEvent(RunEvent::Kind::Adopted), runEvent(RunEvent::Kind::Stopping),
        workerEvent(WorkerEvent::Kind::Contacted), workerEvent(WorkerEvent::Kind::NeverContacted),
        workerEvent(WorkerEvent::Kind::Unresponsive), workerEvent(WorkerEvent::Kind::Recovered),
        workerEvent(WorkerEvent::Kind::HigherFenceSeen), JobEvent { JobEvent::Kind::TakenOver, {}, {}, {} },
        JobEvent { JobEvent::Kind::Accepted, {}, {}, {} }, JobEvent { JobEvent::Kind::Ended, {}, {}, {} } };
    write(runEvent(RunEvent::Kind::Ended, "done"), burst);
    for (const jobs::CellEvent& event : events)
        write(event, burst);
    EXPECT_EQ(linesWith("event="), LogRateLimiter::maxLinesPerSecond + events.size() * burst);
}

TEST_F(CellLogTest, PresumedEndTellsTheAgeOfTheOwnership)
{
    RunEvent event = runEvent(RunEvent::Kind::PresumedEnded, "lease expired");
    event.ownershipAge = 2300ms;
    event.overSince = 20ms;
    write(event);
    EXPECT_EQ(linesWith("event=run.over"), 1U);
    EXPECT_EQ(linesWith("confirmedMs=2300 overMs=20"), 1U);
}
