#include "rattanrack/jobs/announcement_pacer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 35;
constexpr Duration tick = 200ms;
const PoolId duty { "~duty" };
const std::vector<PoolId> cells { PoolId { "a" }, PoolId { "b" }, PoolId { "c" }, PoolId { "d" }, PoolId { "e" },
    duty };

struct Node {
    Ownership ownership;
    AnnouncementPacer pacer;
    TimePoint nextTick;
};

/// Nodes that tick at different times and send their announcements when due. Announcements arrive at once.
class PacedNodes {
public:
    PacedNodes()
    {
        for (int number = 0; number < nodeCount; ++number) {
            const auto text = std::to_string(number);
            m_nodes.emplace(
                address(number), Node { { NodeId { "n" + text }, address(number), m_now }, {}, m_now + number * 5ms });
        }
        for (auto& [each, node] : m_nodes) {
            node.ownership.setCells(cells, { duty });
            for (int number = 0; number < nodeCount; ++number)
                node.ownership.addAddress(address(number));
        }
    }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += 5ms) {
            for (auto& [each, node] : m_nodes) {
                if (m_now >= node.nextTick)
                    tickNode(node);
            }
        }
    }

    std::string ownerOf(const PoolId& cell) const
    {
        for (const auto& [each, node] : m_nodes) {
            if (node.ownership.isOwnedHere(cell))
                return each;
        }
        return {};
    }
    /// Number of nodes that know the cell's present owner.
    int nodesThatKnowOwnerOf(const PoolId& cell) const
    {
        int count = 0;
        for (const auto& [each, node] : m_nodes) {
            const auto owner = node.ownership.owner(cell, m_now);
            count += owner && owner->address == ownerOf(cell) ? 1 : 0;
        }
        return count;
    }
    bool isIdle(const std::string& address) const
    {
        return std::none_of(cells.begin(), cells.end(), [&](const PoolId& cell) { return ownerOf(cell) == address; });
    }
    std::string anyIdleNode() const
    {
        return std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& each) {
            return isIdle(each.first);
        })->first;
    }
    std::size_t liveNodesKnownTo(const std::string& address) const
    {
        return m_nodes.at(address).ownership.liveAnnouncements(m_now).size();
    }
    void kill(const std::string& address) { m_nodes.erase(address); }
    int messages() const { return m_messages; }

private:
    static std::string address(int number) { return "10.0.0." + std::to_string(number + 1) + ":7000"; }

    void tickNode(Node& node)
    {
        node.nextTick = m_now + tick;
        for (const PoolId& cell : node.ownership.cellsToTake(m_now)) {
            node.ownership.onCellTaken(cell, ++m_terms[cell], m_now);
            send(node);
        }
        if (node.pacer.isDue(node.ownership.announcement(), node.ownership.announcementAddresses(m_now), m_now))
            send(node);
    }

    void send(Node& node)
    {
        const NodeAnnouncement announcement = node.ownership.announcement();
        const auto addresses = node.ownership.announcementAddresses(m_now);
        node.pacer.onSent(announcement, addresses, m_now);
        for (const std::string& each : addresses) {
            ++m_messages;
            const auto receiver = m_nodes.find(each);
            if (receiver != m_nodes.end())
                receiver->second.ownership.onAnnouncement(announcement, m_now);
        }
    }

    TimePoint m_now { 1000s };
    std::map<std::string, Node> m_nodes;
    std::map<PoolId, Fence> m_terms;
    int m_messages { 0 };
};

} // namespace

TEST(AnnouncementPacer, IdleNodesSendLessThanHalfTheAnnouncements)
{
    PacedNodes nodes;
    nodes.run(5s);
    const int before = nodes.messages();
    nodes.run(6s);
    EXPECT_LT(nodes.messages() - before, 6 * nodeCount * (nodeCount - 1) * 5 / 2);
}

TEST(AnnouncementPacer, EveryNodeIsConsideredLive)
{
    PacedNodes nodes;
    nodes.run(5s);
    for (int step = 0; step < 300; ++step) {
        nodes.run(20ms);
        ASSERT_EQ(nodes.liveNodesKnownTo(nodes.ownerOf(cells[0])), nodeCount - 1U);
        ASSERT_EQ(nodes.liveNodesKnownTo(nodes.anyIdleNode()), nodeCount - 1U);
    }
}

TEST(AnnouncementPacer, OwnerAfterADeadOneIsKnownToAllWithinTwoSeconds)
{
    PacedNodes nodes;
    nodes.run(5s);
    nodes.kill(nodes.ownerOf(cells[0]));
    nodes.run(1800ms);
    EXPECT_EQ(nodes.nodesThatKnowOwnerOf(cells[0]), nodeCount - 1);
}

TEST(AnnouncementPacer, CellsAreTakenOverPromptlyWhenIdleNodesDieWithTheirOwner)
{
    PacedNodes nodes;
    nodes.run(5s);
    nodes.kill(nodes.ownerOf(cells[0]));
    for (int number = 0; number < 10; ++number)
        nodes.kill(nodes.anyIdleNode());
    nodes.run(1800ms);
    for (const PoolId& cell : cells)
        EXPECT_EQ(nodes.nodesThatKnowOwnerOf(cell), nodeCount - 11);
}

TEST(AnnouncementPacer, ChangesAreSentAgainSoonInCaseTheyWereLost)
{
    Ownership node { NodeId { "n0" }, "10.0.0.1:7000", TimePoint { 1s } };
    AnnouncementPacer pacer;
    const std::vector<std::string> addresses { "10.0.0.2:7000" };
    const auto isDue = [&](Duration at) { return pacer.isDue(node.announcement(), addresses, TimePoint { at }); };
    pacer.onSent(node.announcement(), addresses, TimePoint { 2s });
    EXPECT_TRUE(isDue(2200ms));
    pacer.onSent(node.announcement(), addresses, TimePoint { 2800ms });
    EXPECT_FALSE(isDue(3200ms));
    EXPECT_TRUE(isDue(3400ms));
    pacer.onSent(node.announcement(), addresses, TimePoint { 3400ms });
    node.leave();
    EXPECT_TRUE(isDue(3500ms));
    pacer.onSent(node.announcement(), addresses, TimePoint { 3500ms });
    EXPECT_TRUE(isDue(3700ms));
}

TEST(AnnouncementPacer, NewAddressGetsAnAnnouncementAtOnce)
{
    Ownership node { NodeId { "n0" }, "10.0.0.1:7000", TimePoint { 1s } };
    AnnouncementPacer pacer;
    pacer.onSent(node.announcement(), {}, TimePoint { 2s });
    pacer.onSent(node.announcement(), {}, TimePoint { 3s });
    EXPECT_FALSE(pacer.isDue(node.announcement(), {}, TimePoint { 3200ms }));
    EXPECT_TRUE(pacer.isDue(node.announcement(), { "10.0.0.2:7000" }, TimePoint { 3200ms }));
}
