#include "crash_harness.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

/// Which jobs a cell refuses while tasks crash its workers.
namespace {

/// A harness in which tasks have just crashed two workers.
CellHarness harnessAfterCrashes()
{
    CellHarness harness = calmHarness();
    crashUnder(harness, harness.submitAndTakeStart("a"));
    const auto next = takeNextStarts(harness, 20s);
    if (!next.empty())
        crashUnder(harness, next.front());
    takeNextStarts(harness, 5s);
    return harness;
}

JobId idOf(CallerToken token) { return JobId { "b" + std::to_string(token) }; }

Job jobOf(CallerToken token)
{
    Job job { idOf(token), QueueId { "q" }, 1'000'000, { "text", { {} }, {} } };
    job.spec.steps[0].size = { Millicores { 900 }, Mebibytes { 100 }, {} };
    job.spec.steps[0].declaredRunTime = 500ms;
    return job;
}

/// Submits jobs until one is refused, 200 at most. Returns the token of that one; 0: there is none.
CallerToken submitUntilRefused(CellHarness& harness)
{
    for (CallerToken token = 100; token < 300; ++token) {
        harness.cell().submit(jobOf(token), token, harness.now());
        if (harness.cell().hasUnconfirmedRefusals())
            return token;
        harness.storeChanges();
        harness.advance(10ms);
    }
    return 0;
}

} // namespace

/// A late job that is accepted costs a worker that would decide what has crashed others.
TEST(CellAdmission, JobIsRefusedThatWouldBeWorthNothingBesideCrashes)
{
    CellHarness harness = harnessAfterCrashes();
    const CallerToken refused = submitUntilRefused(harness);
    ASSERT_NE(refused, 0U);
    EXPECT_FALSE(harness.cell().state(idOf(refused)).has_value());
    EXPECT_TRUE(harness.cell().takeOutput().replies.empty()); // Another owner may have accepted it.
    harness.advance(10ms);
    harness.confirmOwnership();
    const auto replies = harness.cell().takeOutput().replies;
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].token, refused);
    EXPECT_FALSE(replies[0].isStored);
    EXPECT_GT(replies[0].retryAfter, 0s);
}

TEST(CellAdmission, NothingIsRefusedWithoutCrashes)
{
    CellHarness harness = calmHarness();
    EXPECT_EQ(submitUntilRefused(harness), 0U);
}

TEST(CellAdmission, LongRunningJobsAreNeverRefused)
{
    CellHarness harness = harnessAfterCrashes();
    ASSERT_NE(submitUntilRefused(harness), 0U);
    harness.confirmOwnership();
    Job job = jobOf(500);
    job.spec.steps[0].isLongRunning = true;
    EXPECT_EQ(harness.cell().submit(job, 500, harness.now()), Acceptance::Pending);
    EXPECT_FALSE(harness.cell().hasUnconfirmedRefusals());
}

TEST(CellAdmission, SubmissionsDoNotEachExamineTheBacklog)
{
    CellHarness harness = harnessAfterCrashes();
    ASSERT_NE(submitUntilRefused(harness), 0U);
    constexpr CallerToken submissions = 100;
    const auto before = harness.cell().schedulingCost().jobsExamined;
    for (CallerToken token = 500; token < 500 + submissions; ++token)
        harness.cell().submit(jobOf(token), token, harness.now());
    EXPECT_LE(harness.cell().schedulingCost().jobsExamined - before, harness.cell().unfinishedJobs());
}
