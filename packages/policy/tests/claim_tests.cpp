#include "claim_fakes.h"

#include "rattanrack/policy/claim_settlement.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace rattanrack::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration patience = 5s;

class Home : public testing::Test {
protected:
    Home()
        : m_home({ .self = NodeId { "n1" }, .shardCount = 1 })
    {
        m_version = m_table.takeDuty(0);
        (void)m_home.takeShard(0, m_version, {}, m_now);
    }

    ClaimEffects submit(ClaimTicket ticket, const Claim& claim)
    {
        return m_home.submit(ticket, claim, Deadline::after(m_now, patience), m_now);
    }

    /// Submits and lets the table work until the ticket is answered.
    ClaimAnswer ask(const Claim& claim)
    {
        auto effects = submit(++m_lastTicket, claim);
        while (effects.answers.empty()) {
            m_now += 50ms;
            effects = effects.commit ? m_home.onCommit(effects.commit->id, m_table.commit(*effects.commit), m_now)
                                     : m_home.tick(m_now);
        }
        return effects.answers.front().answer;
    }

    TimePoint m_now { 100s };
    FakeClaimTable m_table;
    ClaimHome m_home;
    ClaimDutyVersion m_version { 0 };
    ClaimTicket m_lastTicket { 1000 };
};

} // namespace

TEST_F(Home, GrantsOnceAndTellsOthersTheRecord)
{
    EXPECT_EQ(ask(claimOf("k", "a1")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(ask(claimOf("k", "a1")).verdict, ClaimVerdict::Granted);
    const auto other = ask(claimOf("k", "a2"));
    EXPECT_EQ(other.verdict, ClaimVerdict::Taken);
    EXPECT_EQ(other.claim.attempt, AttemptId { "a1" });
    EXPECT_EQ(ask(settled(claimOf("k", "a1"), ClaimState::Completed, "out")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(ask(claimOf("k", "a2")).claim.output, "out");
    EXPECT_EQ(ask(claimOf("k", "a1")).verdict, ClaimVerdict::Taken);
}

TEST_F(Home, WithdrawnKeyIsGrantedOnlyToANewAttempt)
{
    (void)ask(claimOf("k", "a1"));
    (void)ask(settled(claimOf("k", "a1"), ClaimState::Withdrawn));
    EXPECT_EQ(ask(claimOf("k", "a1")).verdict, ClaimVerdict::Taken);
    EXPECT_EQ(ask(claimOf("k", "a2")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(ask(settled(claimOf("k", "a1"), ClaimState::Withdrawn)).verdict, ClaimVerdict::Taken);
}

TEST_F(Home, OtherContentUnderTheSameKeyIsRefused)
{
    (void)ask(claimOf("k", "a1"));
    auto other = claimOf("k", "a2");
    other.fingerprint = 8;
    EXPECT_EQ(ask(other).verdict, ClaimVerdict::ContentDiffers);
}

TEST_F(Home, FirstClaimGoesAtOnceAndLaterOnesShareACommit)
{
    const auto first = submit(1, claimOf("k1", "a1"));
    ASSERT_TRUE(first.commit);
    for (ClaimTicket ticket = 2; ticket < 100; ++ticket)
        EXPECT_FALSE(submit(ticket, claimOf("k" + std::to_string(ticket), "a")).commit);
    EXPECT_FALSE(m_home.onCommit(first.commit->id, m_table.commit(*first.commit), m_now + 10ms).commit);
    const auto second = m_home.tick(m_now + 50ms);
    ASSERT_TRUE(second.commit);
    EXPECT_EQ(m_home.onCommit(second.commit->id, m_table.commit(*second.commit), m_now + 60ms).answers.size(), 98U);
}

TEST_F(Home, LostAnswerIsSettledByReadingBack)
{
    auto effects = submit(1, claimOf("k", "a1"));
    const auto batch = *effects.commit;
    (void)m_table.commit(batch);
    (void)m_home.onCommit(batch.id, ClaimCommitStatus::Unknown, m_now);
    effects = m_home.tick(m_now + 1s);
    ASSERT_TRUE(effects.commit);
    EXPECT_EQ(effects.commit->appends.front().value, batch.appends.front().value);
    effects = m_home.onCommit(batch.id, m_table.commit(*effects.commit), m_now + 1s);
    ASSERT_TRUE(effects.readBack);
    effects = m_home.onReadBack(batch.id, m_table.readBack(batch), m_now + 1s);
    EXPECT_EQ(effects.answers.front().answer.verdict, ClaimVerdict::Granted);
}

TEST_F(Home, FencedHomeGrantsNothingAndLosesTheShard)
{
    auto effects = submit(1, claimOf("k", "a1"));
    const auto batch = *effects.commit;
    (void)m_table.takeDuty(0);
    effects = m_home.onCommit(batch.id, m_table.commit(batch), m_now);
    effects = m_home.onReadBack(batch.id, m_table.readBack(batch), m_now + 1s);
    EXPECT_EQ(effects.lost, std::vector<ClaimShardIndex> { 0 });
    ASSERT_EQ(effects.answers.size(), 1U);
    EXPECT_EQ(effects.answers.front().answer.verdict, ClaimVerdict::Unavailable);
    EXPECT_EQ(submit(2, claimOf("k", "a1")).answers.front().answer.verdict, ClaimVerdict::Unavailable);
}

TEST_F(Home, AnswersFromMemoryWhileTheTableIsDown)
{
    (void)ask(claimOf("k", "a1"));
    m_now += 1s;
    auto effects = submit(1, claimOf("other", "b1"));
    (void)m_home.onCommit(effects.commit->id, ClaimCommitStatus::Unavailable, m_now);
    EXPECT_EQ(submit(2, claimOf("k", "a2")).answers.front().answer.verdict, ClaimVerdict::Taken);
    EXPECT_EQ(m_home.tick(m_now + patience).answers.front().answer.verdict, ClaimVerdict::Unavailable);
}

TEST_F(Home, QueueIsBounded)
{
    ClaimHome home { { .self = NodeId { "n1" }, .shardCount = 1, .maxQueued = 2 } };
    (void)home.takeShard(0, m_version, {}, m_now);
    int unavailable = 0;
    for (ClaimTicket ticket = 0; ticket < 10; ++ticket) {
        const auto effects
            = home.submit(ticket, claimOf(std::to_string(ticket), "a"), Deadline::after(m_now, patience), m_now);
        unavailable += static_cast<int>(effects.answers.size());
    }
    EXPECT_EQ(unavailable, 7);
}

TEST_F(Home, OldRowsAndRecordsAreRemoved)
{
    constexpr int requests = 2000;
    for (int request = 0; request < requests; ++request) {
        const auto claim = claimOf("k" + std::to_string(request), "a" + std::to_string(request));
        (void)ask(claim);
        (void)ask(settled(claim, ClaimState::Completed));
    }
    const auto rows = m_home.rowCount();
    EXPECT_EQ(rows, m_table.rowCount());
    EXPECT_LT(rows, requests + 300U);
    m_now += 10min;
    for (int step = 0; step < 100; ++step) {
        m_now += 50ms;
        const auto effects = m_home.tick(m_now);
        if (effects.commit)
            (void)m_home.onCommit(effects.commit->id, m_table.commit(*effects.commit), m_now);
    }
    EXPECT_EQ(m_home.recordCount(), 0U);
    EXPECT_LT(m_table.rowCount(), 100U);
}

TEST_F(Home, SuccessorKnowsEveryRecord)
{
    (void)ask(claimOf("k1", "a1"));
    (void)ask(settled(claimOf("k1", "a1"), ClaimState::Completed, "out"));
    (void)ask(claimOf("k2", "b1"));
    ClaimHome successor { { .self = NodeId { "n2" }, .shardCount = 1 } };
    const auto version = m_table.takeDuty(0);
    (void)successor.takeShard(0, version, m_table.rowsOf(0), m_now);
    const auto answerFor = [&](const Claim& claim) {
        return successor.submit(1, claim, Deadline::after(m_now, patience), m_now).answers.at(0).answer;
    };
    EXPECT_EQ(answerFor(claimOf("k1", "a2")).claim.output, "out");
    EXPECT_EQ(answerFor(claimOf("k2", "b2")).claim.state, ClaimState::Claimed);
}

TEST_F(Home, TextThatTheTableCannotHoldIsNotRecorded)
{
    EXPECT_EQ(ask(claimOf("k\xff", "a1")).verdict, ClaimVerdict::Unavailable);
    (void)ask(claimOf("k", "a1"));
    const auto tooLarge = settled(claimOf("k", "a1"), ClaimState::Completed, std::string(1U << 20U, 'x'));
    EXPECT_EQ(ask(tooLarge).verdict, ClaimVerdict::Unavailable);
}

TEST(ClaimRowCodec, RefusesMalformedText)
{
    const std::vector<Claim> claims { settled(claimOf("k", "a"), ClaimState::Failed, "why") };
    const auto text = encodeClaimRow(NodeId { "n" }, 3, claims).value();
    EXPECT_EQ(decodeClaimRow(text), claims);
    EXPECT_FALSE(decodeClaimRow(text.substr(1)));
    EXPECT_FALSE(decodeClaimRow(R"({"claims":[["k",1,"a","o",9,""]]})"));
    EXPECT_FALSE(decodeClaimRow(R"({"claims":[["k",-1,"a","o",0,""]]})"));
    EXPECT_FALSE(decodeClaimRow(R"({"claims":5})"));
}

TEST(ClaimSettlement, WithdrawsOnlyWhenEveryWorkerHasPromised)
{
    ClaimSettlement settlement { claimOf("k", "a"), { VmId { "w1" }, VmId { "w2" } } };
    settlement.onWord(VmId { "w1" }, AttemptWord::Revoked, "");
    settlement.onWord(VmId { "w9" }, AttemptWord::Revoked, "");
    EXPECT_FALSE(settlement.settled());
    settlement.onWord(VmId { "w2" }, AttemptWord::Running, "");
    EXPECT_EQ(settlement.open(), std::vector { VmId { "w2" } });
    auto withdrawn = settlement;
    withdrawn.onWord(VmId { "w2" }, AttemptWord::Revoked, "");
    EXPECT_EQ(withdrawn.settled()->state, ClaimState::Withdrawn);
    settlement.onWord(VmId { "w2" }, AttemptWord::Completed, "out");
    EXPECT_EQ(settlement.settled(), settled(claimOf("k", "a"), ClaimState::Completed, "out"));
    EXPECT_FALSE((ClaimSettlement { claimOf("k", "a"), {} }).settled());
}
