#include "fake_worker.h"

#include "rattanrack/node/attempt_runner.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace std::chrono_literals;
using node::testing::FakeWorker;
using platform::AttemptState;
using platform::TaskStatus;

namespace {

class AttemptRunnerTest : public ::testing::Test {
protected:
    platform::TaskOutcome run(Duration settleTime = 1s)
    {
        return node::runAttempt(worker, { .attempt = AttemptId { "a" } }, settleTime, clock,
            [this](Duration pause) { clock.advance(pause); });
    }

    FakeWorker worker;
    ManualClock clock;
};

} // namespace

TEST_F(AttemptRunnerTest, WholeAnswerAsksNothing)
{
    EXPECT_EQ(run().status, TaskStatus::Completed);
    EXPECT_EQ(worker.questions(), 0U);
}

TEST_F(AttemptRunnerTest, LostAnswerIsFetchedFromTheWorker)
{
    worker.script({ TaskStatus::Unknown });
    worker.answerQuestions({ { AttemptState::Running, "" }, { AttemptState::Completed, "whole" } });
    const auto outcome = run();
    EXPECT_EQ(outcome.status, TaskStatus::Completed);
    EXPECT_EQ(outcome.output, "whole");
}

TEST_F(AttemptRunnerTest, OnlyThePromiseOfTheWorkerMakesItNeverStarted)
{
    worker.script({ TaskStatus::Unknown });
    worker.answerQuestions({ { AttemptState::NeverSeen, "" }, { AttemptState::Revoked, "" } });
    EXPECT_TRUE(platform::neverStarted(run().status));
    EXPECT_EQ(worker.questions(), 2U);
}

TEST_F(AttemptRunnerTest, SilentWorkerLeavesItUnknown)
{
    worker.script({ TaskStatus::Unknown });
    EXPECT_EQ(run(1s).status, TaskStatus::Unknown);
    EXPECT_EQ(clock.now(), TimePoint { 1s });
}

TEST_F(AttemptRunnerTest, EndingAnAttemptThatIsStillOnItsWayRevokesIt)
{
    worker.answerQuestions({ { AttemptState::Revoked, "" } });
    EXPECT_TRUE(node::endAttempt(worker, AttemptId { "a" }));
    EXPECT_EQ(worker.questions(), 1U);
    EXPECT_EQ(worker.stops(), 0U);
}

TEST_F(AttemptRunnerTest, EndingARunningAttemptStopsIt)
{
    worker.answerQuestions({ { AttemptState::Running, "" } });
    EXPECT_TRUE(node::endAttempt(worker, AttemptId { "a" }));
    EXPECT_EQ(worker.stops(), 1U);
}
