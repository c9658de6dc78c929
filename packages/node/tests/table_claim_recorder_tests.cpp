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

class TableClaimGateTest : public ::testing::Test {
protected:
    FakeTable table;
    node::ElasticThreadPool pool { 1, 10 };
    node::TableClaimRecorder gate { table, pool };
};

} // namespace

TEST_F(TableClaimGateTest, OnlyTheFirstAttemptIsGranted)
{
    EXPECT_EQ(gate.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    const auto second = gate.record(claimBy("b"));
    EXPECT_EQ(second.verdict, ClaimVerdict::Taken);
    EXPECT_EQ(second.claim.attempt, AttemptId { "a" });
}

TEST_F(TableClaimGateTest, LostAnswerAfterTheEffectIsSettledByReading)
{
    table.failNext({ FakeTable::Fault::AnswerLostAfterEffect });
    EXPECT_EQ(gate.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(table.commits(), 1U);
}

TEST_F(TableClaimGateTest, LostAnswerBeforeTheEffectIsTriedAgain)
{
    table.failNext({ FakeTable::Fault::AnswerLostBeforeEffect });
    EXPECT_EQ(gate.record(claimBy("a")).verdict, ClaimVerdict::Granted);
}

TEST_F(TableClaimGateTest, OutageGrantsNothing)
{
    table.setDown(true);
    EXPECT_EQ(gate.record(claimBy("a")).verdict, ClaimVerdict::Unavailable);
}

TEST_F(TableClaimGateTest, WithdrawnKeyMayBeClaimedAgain)
{
    ASSERT_EQ(gate.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    ASSERT_EQ(gate.record(claimBy("a", ClaimState::Withdrawn)).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(gate.record(claimBy("b")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(gate.record(claimBy("a", ClaimState::Completed)).verdict, ClaimVerdict::Taken);
}

TEST_F(TableClaimGateTest, WithdrawalOfAClaimThatNeverArrivedBlocksItsLateArrival)
{
    ASSERT_EQ(gate.record(claimBy("a", ClaimState::Withdrawn)).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(gate.record(claimBy("a")).verdict, ClaimVerdict::Taken);
}

TEST_F(TableClaimGateTest, SameKeyWithOtherContentIsRefused)
{
    ASSERT_EQ(gate.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(gate.record(claimBy("b", ClaimState::Claimed, 8)).verdict, ClaimVerdict::ContentDiffers);
}

TEST_F(TableClaimGateTest, CompletedAnswerIsHandedToLaterAttempts)
{
    ASSERT_EQ(gate.record(claimBy("a")).verdict, ClaimVerdict::Granted);
    Claim end = claimBy("a", ClaimState::Completed);
    end.output = "booked";
    ASSERT_EQ(gate.record(end).verdict, ClaimVerdict::Granted);
    const auto later = gate.record(claimBy("b"));
    EXPECT_EQ(later.verdict, ClaimVerdict::Taken);
    EXPECT_EQ(later.claim.output, "booked");
}
