#include "fake_table.h"

#include "rattanrack/node/table_claim_recorder.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using node::testing::FakeTable;
using policy::Claim;
using policy::ClaimState;
using policy::ClaimVerdict;

namespace {

Claim claimBy(const std::string& attempt, ClaimState state = ClaimState::Claimed, std::uint64_t fingerprint = 7)
{
    return { IdempotencyKey { "desk/order-1" }, fingerprint, AttemptId { attempt }, NodeId { "n" }, state, "" };
}

class TableClaimRecorderTest : public ::testing::Test {
protected:
    FakeTable table;
    node::ElasticThreadPool pool { 1, 10 };
    node::TableClaimRecorder recorder { table, pool };
};

} // namespace

TEST_F(TableClaimRecorderTest, OnlyTheFirstAttemptIsGranted)
{
    EXPECT_EQ(recorder.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    const auto second = recorder.record(claimBy("b"));
    EXPECT_EQ(second.verdict, ClaimVerdict::Taken);
    EXPECT_EQ(second.claim.attempt, AttemptId { "a" });
}

TEST_F(TableClaimRecorderTest, ResponseLostAfterTheCommitIsResolvedByReading)
{
    table.failNext({ FakeTable::Fault::ResponseLost });
    EXPECT_EQ(recorder.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(table.commits(), 1U);
}

TEST_F(TableClaimRecorderTest, LostRequestIsRetried)
{
    table.failNext({ FakeTable::Fault::RequestLost });
    EXPECT_EQ(recorder.record(claimBy("a")).verdict, ClaimVerdict::Granted);
}

TEST_F(TableClaimRecorderTest, NoClaimIsGrantedDuringAnOutage)
{
    table.setDown(true);
    EXPECT_EQ(recorder.record(claimBy("a")).verdict, ClaimVerdict::Unavailable);
}

TEST_F(TableClaimRecorderTest, WithdrawnKeyMayBeClaimedAgain)
{
    ASSERT_EQ(recorder.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    ASSERT_EQ(recorder.record(claimBy("a", ClaimState::Withdrawn)).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(recorder.record(claimBy("b")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(recorder.record(claimBy("a", ClaimState::Completed)).verdict, ClaimVerdict::Taken);
}

TEST_F(TableClaimRecorderTest, WithdrawnClaimIsNotGrantedWhenItArrivesLate)
{
    ASSERT_EQ(recorder.record(claimBy("a", ClaimState::Withdrawn)).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(recorder.record(claimBy("a")).verdict, ClaimVerdict::Taken);
}

TEST_F(TableClaimRecorderTest, SameKeyWithOtherContentIsRefused)
{
    ASSERT_EQ(recorder.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(recorder.record(claimBy("b", ClaimState::Claimed, 8)).verdict, ClaimVerdict::ContentDiffers);
}

TEST_F(TableClaimRecorderTest, CompletedAnswerIsReturnedToLaterAttempts)
{
    ASSERT_EQ(recorder.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    Claim end = claimBy("a", ClaimState::Completed);
    end.output = "booked";
    ASSERT_EQ(recorder.record(end).verdict, ClaimVerdict::Granted);
    const auto later = recorder.record(claimBy("b"));
    EXPECT_EQ(later.verdict, ClaimVerdict::Taken);
    EXPECT_EQ(later.claim.output, "booked");
}
