#include "fake_table.h"

#include "rattanrack/node/burn_service.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

using Fault = node::testing::FakeTable::Fault;

const WorkKind letters { "letters" };
constexpr std::int64_t hour = 3'600'000; ///< In milliseconds.

/// The service of one node, on a table that outlives the node.
class Node {
public:
    Node(node::testing::FakeTable& table, const std::atomic<std::int64_t>& wallTime, const std::string& name)
        : m_service({ m_control, m_clock, m_threads, table, NodeId { name },
            [&wallTime] { return policy::WallTime { wallTime.load() }; } })
    {
        m_control.run([&] { m_service.setObjectives({ { PoolId { "office" }, letters, 1, 0.9, { 2s, 10s, 60s } } }); });
    }
    ~Node()
    {
        m_threads.shutdown();
        m_control.stop();
    }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void count(policy::BurnOutcome outcome, Duration latency)
    {
        m_control.run([&] { m_service.count(letters, policy::Urgency::Urgent, outcome, latency); });
    }

    /// Writes, and waits until the outcome has reached the control thread.
    void write(std::size_t times)
    {
        for (std::size_t time = 0; time < times; ++time) {
            m_control.run([&] { m_service.writeDue(); });
            waitForThreads();
        }
    }

    nlohmann::json report()
    {
        return handle(
            [&]() -> Result<nlohmann::json> {
                BOOST_LEAF_AUTO(body, m_service.body());
                return nlohmann::json::parse(body);
            },
            [](const Error&) { return nlohmann::json {}; });
    }

    std::uint64_t counted(const std::string& window)
    {
        const auto body = report();
        for (const auto& each : body.at("windows")) {
            if (each.at("window") == window)
                return each.at("counted");
        }
        return 0;
    }

private:
    /// Waits until the pool is idle. The pool has one thread, so work submitted after the write runs after the write.
    void waitForThreads()
    {
        std::promise<void> done;
        ASSERT_TRUE(m_threads.submit([&] { done.set_value(); }));
        done.get_future().wait();
        m_control.run([] {});
    }

    SystemClock m_clock;
    ControlLoop m_control { m_clock };
    ElasticThreadPool m_threads { 1, 16 };
    BurnService m_service;
};

class BurnServiceTest : public ::testing::Test {
protected:
    node::testing::FakeTable m_table;
    std::atomic<std::int64_t> m_wallTime { hour * 12 };
};

} // namespace

TEST_F(BurnServiceTest, ReportContainsCountsAndObjectives)
{
    Node node { m_table, m_wallTime, "n1" };
    node.count(policy::BurnOutcome::Done, 1s);
    node.count(policy::BurnOutcome::Done, 3s);
    node.count(policy::BurnOutcome::Cancelled, 1s);
    node.write(2);
    const auto body = node.report();
    EXPECT_EQ(body["objectives"][0]["latencyMs"]["urgent"], 2000);
    EXPECT_EQ(body["windows"][0]["counted"], 2);
    EXPECT_EQ(body["windows"][0]["good"], 1);
    EXPECT_EQ(body["history"][0]["startMs"], hour * 12);
}

TEST_F(BurnServiceTest, FailedWritesAreRepeatedAndCountOnce)
{
    Node node { m_table, m_wallTime, "n1" };
    node.count(policy::BurnOutcome::Done, 1s);
    m_table.failNext({ Fault::Down, Fault::ResponseLost, Fault::RequestLost });
    m_wallTime += hour;
    node.write(5);
    EXPECT_EQ(node.counted("6h"), 1U);
    EXPECT_EQ(node.counted("1h"), 1U);
}

TEST_F(BurnServiceTest, CountsOfAReplacedNodeAreKept)
{
    {
        Node first { m_table, m_wallTime, "n1" };
        first.count(policy::BurnOutcome::Failed, 1s);
        first.write(2);
    }
    Node second { m_table, m_wallTime, "n2" };
    second.count(policy::BurnOutcome::Done, 1s);
    second.write(2);
    EXPECT_EQ(second.counted("5min"), 2U);
}

TEST_F(BurnServiceTest, ReaderRemovesExpiredRows)
{
    Node node { m_table, m_wallTime, "n1" };
    node.count(policy::BurnOutcome::Done, 1s);
    node.write(2);
    m_wallTime += hour * 100;
    EXPECT_EQ(node.report()["windows"].size(), 0U);
    EXPECT_EQ(m_table.scan("burn/", 0, 10).value().size(), 0U);
}

TEST_F(BurnServiceTest, NothingIsWrittenWithoutAnswers)
{
    Node node { m_table, m_wallTime, "n1" };
    node.write(3);
    EXPECT_EQ(m_table.commits(), 0U);
}

TEST_F(BurnServiceTest, OutageOfTheTableIsReportedAsAnError)
{
    Node node { m_table, m_wallTime, "n1" };
    m_table.setDown(true);
    EXPECT_TRUE(node.report().is_null());
}
