#include "load_plan.h"
#include "load_report.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace rattanrack;
using namespace rattanrack::cli;

namespace {

/// One request that is not repeatable, with any number of calls.
class LedgerOfOneRequest : public testing::Test {
protected:
    LedgerOfOneRequest()
    {
        m_profile.mix.push_back({});
        m_profile.mix[0].isRepeatable = false;
        m_plan.requests.push_back({ 0, CallerId { "c" }, IdempotencyKey { "k" }, "p", {} });
    }

    void addCall(CallAnswer answer, const std::string& request, const std::string& output = "")
    {
        CallRecord record;
        record.call = m_plan.calls.size();
        record.answer = answer;
        record.request = RequestId { request };
        record.output = output;
        m_records.push_back(record);
        m_plan.calls.push_back({});
    }

    void addRun(const std::string& attempt, const std::string& request, const std::string& payload = "p")
    {
        m_runs.push_back({ AttemptId { attempt }, RequestId { request }, payload });
    }

    Ledger check(LogCoverage coverage = LogCoverage::Whole) const
    {
        return checkLedger(m_profile, m_plan, m_records, m_runs, coverage);
    }

    LoadProfile m_profile;
    LoadPlan m_plan;
    std::vector<CallRecord> m_records;
    std::vector<LoggedRun> m_runs;
};

} // namespace

TEST_F(LedgerOfOneRequest, DoneOnceIsSound)
{
    addCall(CallAnswer::Done, "r1", "echo:p");
    addRun("a1", "r1");
    EXPECT_EQ(check().broken(), 0U);
    EXPECT_EQ(check().answered, 1U);
}

TEST_F(LedgerOfOneRequest, RepeatWithTheSameAnswerIsSound)
{
    addCall(CallAnswer::Done, "r1", "echo:p");
    addCall(CallAnswer::Done, "r2", "echo:p");
    addRun("a1", "r1");
    EXPECT_EQ(check().broken(), 0U);
}

TEST_F(LedgerOfOneRequest, TwoRunsAreDoubled)
{
    addCall(CallAnswer::Done, "r1", "echo:p");
    addRun("a1", "r1");
    addRun("a2", "r1");
    EXPECT_EQ(check().doubled, 1U);
    m_profile.mix[0].isRepeatable = true;
    EXPECT_EQ(check().broken(), 0U);
}

TEST_F(LedgerOfOneRequest, OneAttemptLoggedTwiceIsOneRun)
{
    addCall(CallAnswer::Done, "r1", "echo:p");
    addRun("a1", "r1");
    addRun("a1", "r1");
    EXPECT_EQ(check().doubled, 0U);
}

TEST_F(LedgerOfOneRequest, OutputOfAnotherPayloadIsMixedUp)
{
    addCall(CallAnswer::Done, "r1", "echo:q");
    addRun("a1", "r1");
    EXPECT_EQ(check().mixedUp, 1U);
}

TEST_F(LedgerOfOneRequest, NotRunThatRanIsUntrue)
{
    addCall(CallAnswer::NotRun, "r1");
    addRun("a1", "r1");
    EXPECT_EQ(check().untrueNotRun, 1U);
}

TEST_F(LedgerOfOneRequest, NotRunThatRanUnderAnotherIdIsUntrue)
{
    addCall(CallAnswer::NotRun, "r1");
    addRun("a1", "r2");
    EXPECT_EQ(check().untrueNotRun, 1U);
}

TEST_F(LedgerOfOneRequest, NotRunBeforeARepeatThatRanIsTrue)
{
    addCall(CallAnswer::NotRun, "r1");
    addCall(CallAnswer::Done, "r2", "echo:p");
    addRun("a1", "r2");
    EXPECT_EQ(check().broken(), 0U);
}

TEST_F(LedgerOfOneRequest, DoneWithoutARunIsUntrueOnlyWhenAllLogsAreThere)
{
    addCall(CallAnswer::Done, "r1", "echo:p");
    EXPECT_EQ(check().untrueDone, 1U);
    EXPECT_EQ(check(LogCoverage::Partial).untrueDone, 0U);
}

TEST_F(LedgerOfOneRequest, NoAnswerIsLost)
{
    addCall(CallAnswer::Lost, "r1");
    EXPECT_EQ(check().lost, 1U);
}

TEST_F(LedgerOfOneRequest, LastLineOfTheReportCountsEachAnswer)
{
    addCall(CallAnswer::Failed, "r1");
    addCall(CallAnswer::OutcomeUnknown, "r1");
    addCall(CallAnswer::NotRun, "r2");
    addCall(CallAnswer::Lost, "");
    const std::string text = reportText(summarize(m_profile, m_plan, m_records, m_runs, LogCoverage::Whole));
    EXPECT_NE(text.find("load: 4 requests, 1 answered, 1 not run, 1 outcome unknown, 1 invariants broken\n"),
        std::string::npos)
        << text;
}

TEST(LoadPlan, SameSeedGivesTheSamePlan)
{
    LoadProfile profile;
    profile.ratePerSecond = 100;
    profile.mix.push_back({});
    const LoadPlan left = planLoad(profile, 7, "run");
    const LoadPlan right = planLoad(profile, 7, "run");
    ASSERT_EQ(left.calls.size(), right.calls.size());
    EXPECT_EQ(left.requests.back().payload, right.requests.back().payload);
    EXPECT_NE(left.calls.size(), planLoad(profile, 8, "run").calls.size());
}

TEST(LoadPlan, PoolsBurstInTurn)
{
    LoadProfile profile;
    profile.ratePerSecond = 400;
    profile.duration = std::chrono::seconds { 8 };
    profile.bursts = { std::chrono::seconds { 4 }, 5, 0.25 };
    profile.mix.resize(2);
    profile.mix[0].pool = PoolId { "a" };
    profile.mix[1].pool = PoolId { "b" };
    const LoadPlan plan = planLoad(profile, 1, "run");
    std::vector<std::size_t> early(2);
    std::vector<std::size_t> late(2);
    for (const PlannedCall& call : plan.calls)
        ++(call.at < profile.bursts.length ? early : late)[plan.requests[call.request].mix];
    // 5 / 0.25 makes the burst twenty times the calm.
    EXPECT_GT(early[0], 10 * early[1]);
    EXPECT_GT(late[1], 10 * late[0]);
}

TEST(LoadPlan, RepeatGoesToAnotherNodeWithTheSameKey)
{
    LoadProfile profile;
    profile.repeats.share = 1;
    profile.mix.push_back({});
    const LoadPlan plan = planLoad(profile, 1, "run");
    ASSERT_EQ(plan.calls.size(), 2 * plan.requests.size());
    std::vector<std::vector<std::size_t>> nodes(plan.requests.size());
    for (const PlannedCall& call : plan.calls)
        nodes[call.request].push_back(call.node);
    for (const auto& each : nodes)
        EXPECT_EQ(each[0] + 1, each[1]);
}
