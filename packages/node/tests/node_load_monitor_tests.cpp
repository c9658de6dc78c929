#include "rattanrack/base/log.h"
#include "rattanrack/node/node_load_monitor.h"

#include <gtest/gtest.h>

#include <iostream>
#include <sstream>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

class NodeLoadMonitorTest : public testing::Test {
protected:
    void SetUp() override
    {
        setLogLevel(LogLevel::Info);
        m_before = std::clog.rdbuf(m_written.rdbuf());
    }
    void TearDown() override { std::clog.rdbuf(m_before); }

    static DelaySummary loopOf(Duration delay)
    {
        DelaySummary loop;
        loop.observe(delay);
        loop.observe(0ms);
        return loop;
    }

    static jobs::CommandResult resultOf(jobs::CommandStatus status, Duration queuedFor)
    {
        jobs::CommandResult answer { status };
        answer.queuedFor = queuedFor;
        return answer;
    }

    std::string written() { return std::exchange(m_written, {}).str(); }

    Metrics metrics;
    NodeLoadMonitor monitor { metrics };

private:
    std::ostringstream m_written;
    std::streambuf* m_before { nullptr };
};

} // namespace

TEST_F(NodeLoadMonitorTest, ReportsDelaysAndExpiredStartsInOneLinePerPeriod)
{
    monitor.recordStart(400ms);
    monitor.recordCommandResult(resultOf(jobs::CommandStatus::Done, 20ms));
    monitor.recordCommandResult(resultOf(jobs::CommandStatus::Expired, 260ms));
    monitor.report(loopOf(90ms), { 2, 7 }, TimePoint { 10s });
    EXPECT_NE(written().find("event=node.load cells=2 loopRuns=2 loopMeanMs=45 loopWorstMs=90 orders=2 "
                             "queuedMeanMs=140 queuedWorstMs=260 startsExpired=1 starts=1 listAgeWorstMs=400 "
                             "ordersInFlight=7"),
        std::string::npos);
    EXPECT_EQ(metrics.value("rattanrack_starts_expired_total"), 1);
    EXPECT_EQ(metrics.value("rattanrack_loop_delay_seconds", { { "of", "worst" } }), 0.09);
    EXPECT_EQ(metrics.value("rattanrack_order_queueing_seconds", { { "of", "worst" } }), 0.26);
    EXPECT_EQ(metrics.value("rattanrack_orders_in_flight"), 7);
    EXPECT_FALSE(monitor.isReportDue(TimePoint { 10s } + NodeLoadMonitor::reportPeriod - 1us));
    EXPECT_TRUE(monitor.isReportDue(TimePoint { 10s } + NodeLoadMonitor::reportPeriod));
    monitor.report({}, { 2, 0 }, TimePoint { 12s });
    EXPECT_NE(written().find("orders=0 queuedMeanMs=0 queuedWorstMs=0 startsExpired=0 starts=0"), std::string::npos);
}

TEST_F(NodeLoadMonitorTest, NodeWithoutCellsReportsOnlyALateLoop)
{
    monitor.report(loopOf(NodeLoadMonitor::lateLoopThreshold - 1ms), {}, TimePoint { 10s });
    EXPECT_EQ(written(), "");
    monitor.report(loopOf(NodeLoadMonitor::lateLoopThreshold), {}, TimePoint { 12s });
    EXPECT_NE(written().find("event=node.load cells=0"), std::string::npos);
}
