#include "rattanrack/jobs/ownership.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <memory>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

const PoolId duty { "~duty" };
const std::vector<PoolId> cells { PoolId { "a" }, PoolId { "b" }, PoolId { "c" }, PoolId { "d" }, PoolId { "e" } };

/// Nodes that exchange announcements, and take cells as soon as they should; the first to take a cell wins the row.
class Nodes {
public:
    explicit Nodes(int count, double share = 1)
    {
        for (int number = 0; number < count; ++number)
            add(number, share);
    }

    void add(int number, double share = 1)
    {
        const std::string name = "n" + std::to_string(number);
        m_nodes[number] = std::make_unique<Ownership>(NodeId { name }, address(number), m_now, share);
        m_nodes[number]->setCells(cells, { duty });
        for (const auto& [other, node] : m_nodes) {
            node->addAddress(address(number));
            m_nodes[number]->addAddress(address(other));
        }
    }

    void kill(int number) { m_nodes.erase(number); }
    Ownership& operator[](int number) { return *m_nodes.at(number); }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += 100ms) {
            for (auto& [number, node] : m_nodes) {
                const NodeAnnouncement announcement = node->announcement();
                for (auto& [other, receiver] : m_nodes) {
                    if (other != number)
                        receiver->onAnnouncement(announcement, m_now);
                }
            }
            for (auto& [number, node] : m_nodes) {
                for (const PoolId& cell : node->cellsToTake(m_now))
                    node->onCellTaken(cell, ++m_terms[cell], m_now);
            }
        }
    }

    /// As `run`; nodes also hand back cells. Returns the number of hand-backs.
    int runHandingBack(Duration time)
    {
        int count = 0;
        for (const TimePoint until = m_now + time; m_now < until;) {
            for (auto& [number, node] : m_nodes) {
                if (const auto cell = node->cellToHandBack(m_now)) {
                    node->onCellDropped(*cell, m_now);
                    node->onTakeFailed(*cell, m_now);
                    ++count;
                }
            }
            run(200ms);
        }
        return count;
    }

    std::map<int, int> ownedCounts()
    {
        std::map<int, int> counts;
        for (auto& [number, node] : m_nodes) {
            for (const PoolId& cell : cells)
                counts[number] += node->isOwnedHere(cell) ? 1 : 0;
        }
        return counts;
    }
    int ownedBy(int first, int last)
    {
        int sum = 0;
        for (const auto& [number, count] : ownedCounts())
            sum += number >= first && number <= last ? count : 0;
        return sum;
    }
    int total()
    {
        int sum = 0;
        for (const auto& [number, count] : ownedCounts())
            sum += count;
        return sum;
    }
    TimePoint now() const { return m_now; }

private:
    static std::string address(int number) { return "10.0.0." + std::to_string(number + 1) + ":7000"; }

    TimePoint m_now { 1000s };
    std::map<int, std::unique_ptr<Ownership>> m_nodes;
    std::map<PoolId, Fence> m_terms;
};

} // namespace

TEST(Ownership, CellsAreSpreadOverTheNodes)
{
    Nodes nodes { 7 };
    nodes.run(3s);
    EXPECT_EQ(nodes.total(), 5);
    for (const auto& [number, count] : nodes.ownedCounts())
        EXPECT_LE(count, 1) << number;
}

TEST(Ownership, CellsOfADeadNodeAreTakenWithinTwoSeconds)
{
    Nodes nodes { 3 };
    nodes.run(3s);
    nodes.kill(0);
    nodes.run(2s);
    EXPECT_EQ(nodes.total(), 5);
}

TEST(Ownership, LeavingNodeTakesNoCells)
{
    Nodes nodes { 2 };
    nodes[0].leave();
    nodes.run(3s);
    EXPECT_EQ(nodes.ownedCounts().at(0), 0);
    EXPECT_EQ(nodes.ownedCounts().at(1), 5);
}

/// Each announcement would be sent there as well, for as long as the process runs.
TEST(Ownership, AddressThatIsNoLongerListedGetsNoAnnouncements)
{
    Ownership node { NodeId { "n0" }, "10.0.0.1:7000", TimePoint { 1s } };
    node.setListedAddresses({ "10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000" }, TimePoint { 1s });
    EXPECT_EQ(node.announcementAddresses(TimePoint { 1s }).size(), 2U);
    node.onAnnouncement({ NodeId { "n1" }, "10.0.0.2:7000", 1 }, TimePoint { 2s });
    node.setListedAddresses({ "10.0.0.1:7000" }, TimePoint { 3s });
    EXPECT_EQ(node.announcementAddresses(TimePoint { 3s }), std::vector<std::string> { "10.0.0.2:7000" });
    node.setListedAddresses({ "10.0.0.1:7000" }, TimePoint { 3s } + peerRetention);
    EXPECT_FALSE(node.silence(NodeId { "n1" }, TimePoint { 3s } + peerRetention));
}

/// Their processes end within seconds, with what they are asked.
TEST(Ownership, LeavingPeersAreNotAskedForTheStore)
{
    Nodes nodes { 3 };
    nodes.run(1s);
    EXPECT_EQ(nodes[0].peersReachingStore(nodes.now()).size(), 2U);
    nodes[1].leave();
    nodes.run(200ms);
    EXPECT_EQ(nodes[0].peersReachingStore(nodes.now()).size(), 1U);
    nodes[2].setStoreReachable(false);
    nodes.run(200ms);
    EXPECT_TRUE(nodes[0].peersReachingStore(nodes.now()).empty());
}

TEST(Ownership, NodeThatCannotReachTheStoreTakesNoCells)
{
    Nodes nodes { 2 };
    nodes[0].setStoreReachable(false);
    nodes.run(3s);
    EXPECT_EQ(nodes.ownedCounts().at(1), 5);
}

TEST(Ownership, NodeWithTheHighestTermIsTheOwner)
{
    Ownership node { NodeId { "n0" }, "10.0.0.1:7000", TimePoint { 1s } };
    node.setCells(cells);
    node.onCellTaken(cells[0], 3, TimePoint { 1s });
    node.onAnnouncement(
        { NodeId { "n1" }, "10.0.0.2:7000", 1, false, true, { { cells[0], 4 } }, {}, {}, {}, {} }, TimePoint { 2s });
    EXPECT_EQ(node.owner(cells[0], TimePoint { 2s })->node, NodeId { "n1" });
    EXPECT_EQ(node.owner(cells[0], TimePoint { 9s })->node, NodeId { "n0" });
}

TEST(Ownership, NewNodeIsGivenItsShare)
{
    Nodes nodes { 1 };
    nodes.run(3s);
    nodes.add(1);
    nodes.run(6s);
    EXPECT_TRUE(nodes[0].cellToHandBack(nodes.now()).has_value());
}

TEST(Ownership, RestartedNodeReplacesItsPredecessorAtTheAddress)
{
    Ownership node { NodeId { "n0" }, "10.0.0.1:7000", TimePoint { 1s } };
    node.onAnnouncement(
        { NodeId { "old" }, "10.0.0.2:7000", 9, false, true, { { cells[0], 1 } }, {}, {}, {}, {} }, TimePoint { 2s });
    node.onAnnouncement({ NodeId { "new" }, "10.0.0.2:7000", 1, false, true, {}, {}, {}, {}, {} }, TimePoint { 2s });
    EXPECT_FALSE(node.owner(cells[0], TimePoint { 2s }).has_value());
    EXPECT_EQ(node.liveAnnouncements(TimePoint { 2s }).size(), 1U); // Without itself.
}

namespace {

constexpr double largeShare = 0.5;
constexpr double smallShare = 0.12;
constexpr int largeNodes = 10;
constexpr int allNodes = 35;

/// Ten large nodes and 25 small ones.
Nodes mixedNodes()
{
    Nodes nodes { largeNodes, largeShare };
    for (int number = largeNodes; number < allNodes; ++number)
        nodes.add(number, smallShare);
    return nodes;
}

} // namespace

TEST(Ownership, CellsGoToTheNodesWithMoreProcessor)
{
    Nodes nodes = mixedNodes();
    nodes.run(3s);
    EXPECT_EQ(nodes.ownedBy(0, largeNodes - 1), 5);
    EXPECT_EQ(nodes.total(), 5);
}

TEST(Ownership, LargeNodeTakesSecondCellBeforeSmallNodeTakesFirst)
{
    Nodes nodes { 2, largeShare };
    for (int number = 2; number < 9; ++number)
        nodes.add(number, smallShare);
    nodes.run(3s);
    EXPECT_EQ(nodes.ownedBy(0, 1), 5);
}

TEST(Ownership, SmallNodesTakeOverWhenAllLargeOnesAreLost)
{
    Nodes nodes = mixedNodes();
    nodes.run(3s);
    for (int number = 0; number < largeNodes; ++number)
        nodes.kill(number);
    nodes.run(1600ms);
    EXPECT_EQ(nodes.total(), 5);
    for (const auto& [number, count] : nodes.ownedCounts())
        EXPECT_LE(count, 1) << number;
}

TEST(Ownership, CellsReturnToLargeNodesOnceAndStay)
{
    Nodes nodes = mixedNodes();
    nodes.run(3s);
    for (int number = 0; number < largeNodes; ++number)
        nodes.kill(number);
    nodes.run(3s);
    ASSERT_EQ(nodes.total(), 5);
    for (int number = 0; number < largeNodes; ++number)
        nodes.add(number, largeShare);
    EXPECT_EQ(nodes.runHandingBack(20s), 5);
    EXPECT_EQ(nodes.ownedBy(0, largeNodes - 1), 5);
    EXPECT_EQ(nodes.runHandingBack(60s), 0);
}

TEST(Ownership, CellsDoNotFlapWhileNodesComeAndGo)
{
    Nodes nodes = mixedNodes();
    nodes.run(3s);
    int moves = 0;
    for (int round = 0; round < 10; ++round) {
        nodes.kill(allNodes - 1 - round);
        nodes.add(allNodes + round, round % 2 == 0 ? largeShare : smallShare);
        moves += nodes.runHandingBack(6s);
    }
    EXPECT_EQ(moves, 0);
    EXPECT_EQ(nodes.total(), 5);
}

TEST(Ownership, CellStaysWhereTheGainIsSmall)
{
    Nodes nodes { 5, 0.3 };
    nodes.run(3s);
    for (int number = 5; number < 10; ++number)
        nodes.add(number, largeShare); // Load 2 there instead of 3.3.
    EXPECT_EQ(nodes.runHandingBack(20s), 0);
    EXPECT_EQ(nodes.total(), 5);
}

TEST(Ownership, MachineDutyWeighsLessThanACell)
{
    Ownership node { NodeId { "n0" }, "10.0.0.1:7000", TimePoint { 1s } };
    node.setCells({ cells[0], cells[1], duty }, { duty });
    node.onCellTaken(duty, 1, TimePoint { 1s });
    const NodeAnnouncement other { NodeId { "n1" }, "10.0.0.2:7000", 1, false, true, { { cells[0], 1 } } };
    node.onAnnouncement(other, TimePoint { 3s });
    EXPECT_EQ(node.cellsToTake(TimePoint { 3s }), std::vector { cells[1] });
}

TEST(Ownership, InvalidProcessorShareCountsAsTheDefault)
{
    for (const double share : { 0.0, -1.0, std::numeric_limits<double>::quiet_NaN() }) {
        Ownership node { NodeId { "n0" }, "10.0.0.1:7000", TimePoint { 1s }, largeShare };
        NodeAnnouncement other { NodeId { "n1" }, "10.0.0.2:7000", 1, false, true };
        other.processorShare = share;
        node.setCells({ cells[0] });
        node.onAnnouncement(other, TimePoint { 3s });
        EXPECT_EQ(node.liveAnnouncements(TimePoint { 3s }).front()->processorShare, defaultProcessorShare) << share;
        EXPECT_TRUE(node.cellsToTake(TimePoint { 3s }).empty()) << share;
    }
}

namespace {

/// A node that has been running for long, as others have; `a` is the only cell.
class TakeoverRanks : public testing::Test {
protected:
    TakeoverRanks() { m_self.setCells({ cells[0] }); }

    /// `node` owns `a` if `isOwner`. `age`: for how long another node had the announcement before it passed it on.
    void announce(const char* node, double share, bool isOwner, Duration uptime = 1h, Duration age = {})
    {
        NodeAnnouncement announcement { NodeId { node }, std::string { node } + ":7000", ++m_sequence };
        announcement.processorShare = share;
        announcement.uptime = uptime;
        announcement.age = age;
        if (isOwner)
            announcement.cells = { { cells[0], 1 } };
        m_self.onAnnouncement(announcement, m_now);
    }
    bool watches() { return !m_self.cellsToWatch(m_now).empty(); }
    bool takes() { return watches() && !m_self.cellsToTake(m_now).empty(); }

    TimePoint m_now { 1000s };
    std::uint64_t m_sequence { 0 };
    Ownership m_self { NodeId { "self" }, "self:7000", m_now - 1h };
};

} // namespace

TEST_F(TakeoverRanks, LostOwnerIsNotACandidateForItsOwnCells)
{
    announce("owner", 10, true);
    m_now += 400ms;
    announce("b", 5, false);
    announce("c", 5, false);
    EXPECT_TRUE(watches());
}

TEST_F(TakeoverRanks, NodeThatHasWatchedTakesTheCellThoughABetterNodeComesLater)
{
    announce("owner", 1, true);
    m_now += 400ms;
    EXPECT_TRUE(watches());
    m_now += 900ms;
    announce("larger", 4, false);
    EXPECT_TRUE(takes());
}

TEST_F(TakeoverRanks, NewProcessIsNoCandidateForOneThatStartedShortlyBefore)
{
    m_self = Ownership { NodeId { "self" }, "self:7000", m_now };
    m_self.setCells({ cells[0] });
    m_now += 500ms;
    announce("owner", 1, true);
    m_now += 500ms;
    announce("new", 4, false, 100ms);
    m_now += 800ms;
    announce("new", 4, false, 900ms);
    EXPECT_TRUE(takes());
}

TEST_F(TakeoverRanks, PassedOnAnnouncementDoesNotProlongTheLifeOfALostOwner)
{
    announce("owner", 1, true, 1h, 400ms);
    EXPECT_EQ(m_self.silenceOfOwner(cells[0], m_now), 400ms);
    m_now += 100ms;
    const auto missed = m_self.announcementsMissedBy({ NodeId { "b" }, "b:7000", 1 }, m_now);
    EXPECT_TRUE(missed.empty()); // 500 ms old.
    m_now += 800ms;
    EXPECT_TRUE(takes());
}

TEST_F(TakeoverRanks, AnnouncementIsPassedOnWithItsAge)
{
    m_sequence = 10;
    announce("owner", 1, true);
    m_now += 200ms;
    const auto missed = m_self.announcementsMissedBy({ NodeId { "b" }, "b:7000", 1 }, m_now);
    ASSERT_EQ(missed.size(), 1U);
    EXPECT_EQ(missed[0].age, 200ms);
}
