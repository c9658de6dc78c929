#include "rattanrack/platform/rate_limited_table.h"

#include <gtest/gtest.h>

#include <memory>

using namespace rattanrack;
using namespace rattanrack::platform;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 7;

/// A table that only counts, and is down on demand.
class CountingTable final : public Table {
public:
    CommitOutcome commit(const Transaction&) override
    {
        ++calls;
        return { answer, 1, {} };
    }
    Result<Rows> read(const std::vector<std::string>&) override
    {
        ++calls;
        if (answer != CommitStatus::Done)
            return fail(ErrorCode::Unavailable, "table.read");
        return Rows {};
    }
    Result<Rows> scan(const std::string&, RowVersion, std::size_t) override { return read({}); }

    int calls { 0 };
    CommitStatus answer { CommitStatus::Done };
};

class GovernedTables : public testing::Test {
protected:
    GovernedTables()
    {
        for (int node = 0; node < nodeCount; ++node)
            m_nodes.push_back(std::make_unique<RateLimitedTable>(
                m_inner, m_clock, TableShare { .writesPerSecond = 40, .burstSeconds = 0.5 }, node));
    }

    /// Every node asks once a millisecond; returns the most calls of one node that reached the service in 100 ms.
    std::uint64_t busiestTenth(Duration time)
    {
        std::uint64_t busiest = 0;
        for (Duration passed {}; passed < time; passed += 100ms) {
            std::vector<std::uint64_t> before;
            for (const auto& node : m_nodes)
                before.push_back(node->counters().writes);
            for (int step = 0; step < 100; ++step)
                askAll();
            for (std::size_t node = 0; node < m_nodes.size(); ++node)
                busiest = std::max(busiest, m_nodes[node]->counters().writes - before[node]);
        }
        return busiest;
    }

    void askAll()
    {
        m_clock.advance(1ms);
        for (auto& node : m_nodes)
            (void)node->commit({});
    }

    ManualClock m_clock;
    CountingTable m_inner;
    std::vector<std::unique_ptr<RateLimitedTable>> m_nodes;
};

} // namespace

TEST_F(GovernedTables, KeepToTheirShare)
{
    (void)busiestTenth(10s);
    EXPECT_LE(m_inner.calls, nodeCount * (10 * 40 + 20));
    EXPECT_GE(m_inner.calls, nodeCount * 10 * 40 - nodeCount);
}

TEST_F(GovernedTables, HardlyTouchAServiceThatIsDown)
{
    m_inner.answer = CommitStatus::Unavailable;
    (void)busiestTenth(20s);
    const int before = m_inner.calls;
    (void)busiestTenth(60s);
    EXPECT_LE(m_inner.calls - before, nodeCount * 60 / 2);
    EXPECT_FALSE(m_nodes.front()->isServiceUp());
    EXPECT_EQ(m_nodes.front()->counters().breakerOpenCount, 1U);
}

TEST_F(GovernedTables, ComeBackWithoutAStampede)
{
    m_inner.answer = CommitStatus::Unknown;
    (void)busiestTenth(10s);
    constexpr Duration quietTime = 60s;
    m_clock.advance(quietTime);
    m_inner.answer = CommitStatus::Done;
    constexpr std::uint64_t shareOfTenth = 4;
    constexpr std::uint64_t probes = 2;
    EXPECT_LE(busiestTenth(10s), shareOfTenth + probes + 1);
    for (const auto& node : m_nodes)
        EXPECT_TRUE(node->isServiceUp());
}

TEST_F(GovernedTables, AreBackWithinTheLongestOpenTime)
{
    m_inner.answer = CommitStatus::Unavailable;
    (void)busiestTenth(60s);
    m_inner.answer = CommitStatus::Done;
    (void)busiestTenth(CircuitBreaker::Limits {}.maxOpenTime + 100ms);
    for (const auto& node : m_nodes)
        EXPECT_TRUE(node->isServiceUp());
}

TEST_F(GovernedTables, ConflictsAreNoFailures)
{
    m_inner.answer = CommitStatus::Conflict;
    (void)busiestTenth(1s);
    EXPECT_TRUE(m_nodes.front()->isServiceUp());
    EXPECT_EQ(m_nodes.front()->counters().failures, 0U);
}

TEST_F(GovernedTables, ReadsAndWritesHaveSharesOfTheirOwn)
{
    for (int call = 0; call < 100; ++call)
        (void)m_nodes.front()->commit({});
    EXPECT_TRUE(m_nodes.front()->read({ "a" }));
    EXPECT_GT(m_nodes.front()->counters().overShare, 0U);
}

TEST(CircuitBreaker, OneProbeAtATimeAndLateResultsDoNotCount)
{
    CircuitBreaker breaker { { .failureThreshold = 1, .successThreshold = 1 }, 1 };
    TimePoint now { 1s };
    const auto first = breaker.tryAcquire(now);
    const auto late = breaker.tryAcquire(now);
    breaker.recordResult(*first, false, now);
    EXPECT_FALSE(breaker.tryAcquire(now));
    now += 10s;
    const auto probe = breaker.tryAcquire(now);
    ASSERT_TRUE(probe);
    EXPECT_FALSE(breaker.tryAcquire(now));
    breaker.recordResult(*late, false, now);
    breaker.recordResult(*probe, true, now);
    EXPECT_TRUE(breaker.isClosed());
}

TEST(CircuitBreaker, FailedProbeKeepsItOpenAndLetsTheNextOneOut)
{
    CircuitBreaker breaker { { .failureThreshold = 1 }, 1 };
    TimePoint now { 1s };
    breaker.recordResult(*breaker.tryAcquire(now), false, now);
    now += 10s;
    breaker.recordResult(*breaker.tryAcquire(now), false, now);
    EXPECT_FALSE(breaker.tryAcquire(now));
    now += 10s;
    EXPECT_TRUE(breaker.tryAcquire(now));
}
