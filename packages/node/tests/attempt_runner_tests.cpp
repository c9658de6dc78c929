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
    platform::TaskOutcome run(Duration resolveTimeout = 1s)
    {
        return node::runAttempt(worker, { .attempt = AttemptId { "a" } }, resolveTimeout, clock,
            [this](Duration pause) { clock.advance(pause); });
    }

    FakeWorker worker;
    ManualClock clock;
};

} // namespace

TEST_F(AttemptRunnerTest, CompleteResponseNeedsNoQuery)
{
    EXPECT_EQ(run().status, TaskStatus::Completed);
    EXPECT_EQ(worker.queryCount(), 0U);
}

TEST_F(AttemptRunnerTest, LostResponseIsFetchedFromTheWorker)
{
    worker.setStatuses({ TaskStatus::Unknown });
    worker.setReports({ { AttemptState::Running, "" }, { AttemptState::Completed, "whole" } });
    const auto outcome = run();
    EXPECT_EQ(outcome.status, TaskStatus::Completed);
    EXPECT_EQ(outcome.output, "whole");
}

TEST_F(AttemptRunnerTest, OnlyAConfirmedRevocationProvesThatAnAttemptNeverStarted)
{
    worker.setStatuses({ TaskStatus::Unknown });
    worker.setReports({ { AttemptState::NeverSeen, "" }, { AttemptState::Revoked, "" } });
    EXPECT_TRUE(platform::neverStarted(run().status));
    EXPECT_EQ(worker.queryCount(), 2U);
}

TEST_F(AttemptRunnerTest, OutcomeIsUnknownIfTheWorkerDoesNotRespond)
{
    worker.setStatuses({ TaskStatus::Unknown });
    EXPECT_EQ(run(1s).status, TaskStatus::Unknown);
    EXPECT_EQ(clock.now(), TimePoint { 1s });
}

TEST_F(AttemptRunnerTest, EndingAnAttemptInFlightRevokesIt)
{
    worker.setReports({ { AttemptState::Revoked, "" } });
    EXPECT_TRUE(node::endAttempt(worker, AttemptId { "a" }));
    EXPECT_EQ(worker.queryCount(), 1U);
    EXPECT_EQ(worker.stopCount(), 0U);
}

TEST_F(AttemptRunnerTest, EndingARunningAttemptStopsIt)
{
    worker.setReports({ { AttemptState::Running, "" } });
    EXPECT_TRUE(node::endAttempt(worker, AttemptId { "a" }));
    EXPECT_EQ(worker.stopCount(), 1U);
}
