#include "rattanrack/platform/rate_limited_table.h"

#include <gtest/gtest.h>

#include <memory>

using namespace rattanrack;
using namespace rattanrack::platform;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 7;

/// A table that counts calls and returns a configurable status.
class CountingTable final : public Table {
public:
    CommitOutcome commit(const Transaction&) override
    {
        ++calls;
        return { status, 1, {} };
    }
    Result<Rows> read(const std::vector<std::string>&) override
    {
        ++calls;
        if (status != CommitStatus::Done)
            return fail(ErrorCode::Unavailable, "table.read");
        return Rows {};
    }
    Result<Rows> scan(const std::string&, RowVersion, std::size_t) override { return read({}); }

    int calls { 0 };
    CommitStatus status { CommitStatus::Done };
};

class RateLimitedTables : public testing::Test {
protected:
    RateLimitedTables()
    {
        for (int node = 0; node < nodeCount; ++node)
            m_nodes.push_back(std::make_unique<RateLimitedTable>(
                m_inner, m_clock, TableShare { .writesPerSecond = 40, .burstSeconds = 0.5 }, node));
    }

    /// Every node commits once per millisecond. Returns the largest number of calls of one node that reached the
    /// service within 100 ms.
    std::uint64_t maxCallsPer100Ms(Duration time)
    {
        std::uint64_t maxCalls = 0;
        for (Duration passed {}; passed < time; passed += 100ms) {
            std::vector<std::uint64_t> before;
            for (const auto& node : m_nodes)
                before.push_back(node->counters().writes);
            for (int step = 0; step < 100; ++step)
                commitOnAllNodes();
            for (std::size_t node = 0; node < m_nodes.size(); ++node)
                maxCalls = std::max(maxCalls, m_nodes[node]->counters().writes - before[node]);
        }
        return maxCalls;
    }

    void commitOnAllNodes()
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

TEST_F(RateLimitedTables, StayWithinTheirShare)
{
    (void)maxCallsPer100Ms(10s);
    EXPECT_LE(m_inner.calls, nodeCount * (10 * 40 + 20));
    EXPECT_GE(m_inner.calls, nodeCount * 10 * 40 - nodeCount);
}

TEST_F(RateLimitedTables, SendFewCallsToAServiceThatIsDown)
{
    m_inner.status = CommitStatus::Unavailable;
    (void)maxCallsPer100Ms(20s);
    const int before = m_inner.calls;
    (void)maxCallsPer100Ms(60s);
    EXPECT_LE(m_inner.calls - before, nodeCount * 60 / 2);
    EXPECT_FALSE(m_nodes.front()->isServiceUp());
    EXPECT_EQ(m_nodes.front()->counters().breakerOpenCount, 1U);
}

TEST_F(RateLimitedTables, ResumeWithoutABurstAfterAnOutage)
{
    m_inner.status = CommitStatus::Unknown;
    (void)maxCallsPer100Ms(10s);
    constexpr Duration idleTime = 60s;
    m_clock.advance(idleTime);
    m_inner.status = CommitStatus::Done;
    constexpr std::uint64_t sharePer100Ms = 4;
    constexpr std::uint64_t probes = 2;
    EXPECT_LE(maxCallsPer100Ms(10s), sharePer100Ms + probes + 1);
    for (const auto& node : m_nodes)
        EXPECT_TRUE(node->isServiceUp());
}

TEST_F(RateLimitedTables, RecoverWithinTheMaximumOpenTime)
{
    m_inner.status = CommitStatus::Unavailable;
    (void)maxCallsPer100Ms(60s);
    m_inner.status = CommitStatus::Done;
    (void)maxCallsPer100Ms(CircuitBreaker::Limits {}.maxOpenTime + 100ms);
    for (const auto& node : m_nodes)
        EXPECT_TRUE(node->isServiceUp());
}

TEST_F(RateLimitedTables, ConflictsDoNotCountAsFailures)
{
    m_inner.status = CommitStatus::Conflict;
    (void)maxCallsPer100Ms(1s);
    EXPECT_TRUE(m_nodes.front()->isServiceUp());
    EXPECT_EQ(m_nodes.front()->counters().failures, 0U);
}

TEST_F(RateLimitedTables, ReadsAndWritesAreLimitedSeparately)
{
    for (int call = 0; call < 100; ++call)
        (void)m_nodes.front()->commit({});
    EXPECT_TRUE(m_nodes.front()->read({ "a" }));
    EXPECT_GT(m_nodes.front()->counters().overShare, 0U);
}

TEST(CircuitBreaker, AllowsOneProbeAtATimeAndIgnoresLateResults)
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

TEST(CircuitBreaker, FailedProbeReopensItAndALaterProbeIsAllowed)
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
