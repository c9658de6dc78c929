#include "rattanrack/jobs/node_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Duration readPeriod = 3s;
constexpr Duration longestReadPeriod = nodeRegistrationPeriod; ///< Of nodes that remove no rows, to save time.

/// Nodes that register in a table, are replaced at new addresses, and read the table.
class Nodes {
public:
    explicit Nodes(int count)
    {
        for (int number = 0; number < count; ++number)
            m_nodes.push_back(start());
    }

    /// The nodes from `first` on are gone for good; others come at new addresses.
    void replace(std::size_t first, std::size_t count)
    {
        for (std::size_t number = first; number < first + count; ++number)
            m_nodes[number % m_nodes.size()] = start();
    }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += 1s) {
            for (std::size_t number = 0; number < m_nodes.size(); ++number) {
                Node& node = m_nodes[number];
                if (m_now < node.nextReadAt || m_now < node.frozenUntil)
                    continue;
                const bool isRemover = number == 0;
                node.nextReadAt = m_now + (isRemover ? readPeriod : longestReadPeriod);
                read(node, isRemover);
            }
            m_mostRows = std::max(m_mostRows, m_rows.size());
        }
    }

    void freeze(std::size_t number, Duration time) { m_nodes[number].frozenUntil = m_now + time; }

    bool isListed(std::size_t number) const { return m_rows.contains(m_nodes[number].address); }
    bool seesAll(std::size_t number) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(),
            [&](const Node& other) { return m_nodes[number].table.contains(other.address); });
    }
    std::size_t rows() const { return m_rows.size(); }
    std::size_t mostRows() const { return m_mostRows; }
    int removalsOfLiveNodes() const { return m_removalsOfLiveNodes; }

private:
    struct Node {
        std::string address;
        NodeTable table {};
        TimePoint registerAt {};
        TimePoint nextReadAt {};
        TimePoint frozenUntil {};
    };

    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }

    Node start()
    {
        Node node { "10.0.0.1:" + std::to_string(++m_started) };
        registerNode(node);
        return node;
    }

    void registerNode(Node& node)
    {
        node.registerAt = m_now + nodeRegistrationPeriod;
        apply(registrationOf(NodeId { "n-1" }, node.address, unixMs()));
    }

    void read(Node& node, bool isRemover)
    {
        if (m_pageVersion != m_version) {
            m_page.clear();
            for (const auto& [address, row] : m_rows)
                m_page.push_back(row);
            m_pageVersion = m_version;
        }
        node.table.setRows(m_page, m_now, unixMs());
        if (!node.table.contains(node.address) || m_now >= node.registerAt)
            registerNode(node);
        if (!isRemover)
            return;
        for (const PartTransaction& removal : node.table.removalsOfGoneNodes(m_now))
            apply(removal);
    }

    void apply(const PartTransaction& transaction)
    {
        EXPECT_LE(transaction.conditions.size() + transaction.writes.size(), 100U);
        for (const RowCondition& condition : transaction.conditions) {
            const auto found = m_rows.find(condition.row.key);
            if (found == m_rows.end() || found->second.version != condition.version)
                return;
        }
        for (const RowWrite& write : transaction.writes) {
            const std::string& address = write.row.key;
            if (write.value) {
                m_rows[address] = { write.row, *write.value, ++m_version };
                continue;
            }
            m_rows.erase(address);
            ++m_version;
            m_removalsOfLiveNodes += std::any_of(m_nodes.begin(), m_nodes.end(),
                                         [&](const Node& node) { return node.address == address; })
                ? 1
                : 0;
        }
    }

    TimePoint m_now { 1000s };
    RowVersion m_version { 0 };
    int m_started { 0 };
    std::map<std::string, PartRow> m_rows;
    std::vector<PartRow> m_page; ///< All rows, as of `m_pageVersion`.
    RowVersion m_pageVersion { 0 };
    std::vector<Node> m_nodes;
    std::size_t m_mostRows { 0 };
    int m_removalsOfLiveNodes { 0 };
};

} // namespace

TEST(NodeTable, RowsOfTenThousandNodesReplacedOneAfterTheOtherAreRemoved)
{
    constexpr int replacements = 10'000;
    constexpr Duration pause = 5s;
    Nodes nodes { 7 };
    for (int number = 0; number < replacements; ++number) {
        nodes.replace(static_cast<std::size_t>(number), 1);
        nodes.run(pause);
    }
    // Each node lives for 35 s: no reader watches a row for two minutes, and the wall clock decides.
    EXPECT_LE(nodes.mostRows(), 2 * 7 + 600 / 5 + 1);
    EXPECT_EQ(nodes.removalsOfLiveNodes(), 0);
    nodes.run(longestReadPeriod);
    for (std::size_t number = 0; number < 7; ++number)
        EXPECT_TRUE(nodes.seesAll(number));
}

TEST(NodeTable, RowsOfNodesReplacedByWholeRacksAreRemoved)
{
    constexpr int rounds = 20;
    Nodes nodes { 100 };
    for (int round = 0; round < rounds; ++round) {
        nodes.replace(static_cast<std::size_t>(round % 2) * 50, 50);
        nodes.run(300s);
        EXPECT_LE(nodes.rows(), 2 * 100U) << round;
    }
    EXPECT_EQ(nodes.removalsOfLiveNodes(), 0);
}

/// A node that stands still for seconds keeps its row, and one that was cut off for minutes registers again.
TEST(NodeTable, FrozenNodeIsListedAgainAsSoonAsItReads)
{
    Nodes nodes { 7 };
    nodes.freeze(3, 60s);
    nodes.run(60s);
    EXPECT_TRUE(nodes.isListed(3));
    EXPECT_EQ(nodes.removalsOfLiveNodes(), 0);
    nodes.freeze(3, 300s);
    nodes.run(300s);
    EXPECT_FALSE(nodes.isListed(3));
    nodes.run(longestReadPeriod);
    EXPECT_TRUE(nodes.isListed(3));
}

TEST(NodeTable, RemovedAddressesAreReported)
{
    NodeTable table;
    const auto row = [](const char* address) { return PartRow { { nodeTable, address }, "n-1", 1 }; };
    table.setRows({ row("a:1"), row("b:1") }, TimePoint { 1s }, 1000);
    EXPECT_TRUE(table.removedAddresses().empty());
    table.setRows({ row("b:1") }, TimePoint { 2s }, 2000);
    EXPECT_EQ(table.removedAddresses(), std::vector<std::string> { "a:1" });
}

/// A row of an earlier release has no time, and is removed once it has not changed for long.
TEST(NodeTable, RowWithoutATimeIsRemovedOnceItHasNotChangedForLong)
{
    NodeTable table;
    const std::vector<PartRow> rows { { { nodeTable, "a:1" }, "n-1", 1 } };
    table.setRows(rows, TimePoint { 1s }, 1'000'000'000);
    EXPECT_TRUE(table.removalsOfGoneNodes(TimePoint { 1s } + nodeRowTimeout - 1ms).empty());
    EXPECT_EQ(table.removalsOfGoneNodes(TimePoint { 1s } + nodeRowTimeout).size(), 1U);
}
