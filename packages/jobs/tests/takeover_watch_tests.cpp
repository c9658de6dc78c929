#include "rattanrack/jobs/takeover_watch.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

const PoolId cell { "cell" };
const NodeId owner { "owner-1" };

/// A node that receives the announcements of some others, and reads the owner row each 0.6 s.
class WatchingNode : public testing::Test {
protected:
    void announce(const char* node, std::vector<OwnedCell> cells = {})
    {
        const std::string address = std::string { node } + ":7000";
        m_ownership.onAnnouncement({ NodeId { node }, address, ++m_sequence, false, true, std::move(cells) }, m_now);
    }
    void read(RowVersion version, const NodeId& holder = owner) { readSlowly(version, m_now, holder); }
    void readSlowly(RowVersion version, TimePoint sentAt, const NodeId& holder = owner)
    {
        m_watch.onRead(cell, { holder, 3, version }, sentAt, m_now);
    }
    std::optional<TakeoverCondition> condition() const { return m_watch.condition(cell, m_ownership, m_now); }

    TimePoint m_now { 100s };
    Ownership m_ownership { NodeId { "self-9" }, "self:7000", m_now };
    TakeoverWatch m_watch;

private:
    std::uint64_t m_sequence { 0 };
};

} // namespace

TEST_F(WatchingNode, TakesNothingThatItHasNotRead) { EXPECT_FALSE(condition()); }

TEST_F(WatchingNode, TakesAtOnceWhatWasHandedBackOrIsOfAnEndedProcess)
{
    read(7, NodeId {});
    ASSERT_TRUE(condition());
    EXPECT_EQ(condition()->rowVersion, 7U);
    read(8, NodeId { "self-4" });
    EXPECT_TRUE(condition()); // An earlier process of this node.
}

TEST_F(WatchingNode, TakesFromAnOwnerWhoseRowHasNotChangedWhileItWasWatched)
{
    read(7);
    m_now += 600ms;
    read(7);
    EXPECT_FALSE(condition());
    m_now += 250ms;
    ASSERT_TRUE(condition());
    EXPECT_EQ(condition()->rowVersion, 7U);
}

TEST_F(WatchingNode, TimeOfASlowReadIsNoTimeOfWatching)
{
    const TimePoint sentAt = m_now;
    m_now += 900ms;
    readSlowly(7, sentAt);
    EXPECT_FALSE(condition());
    m_now += 650ms;
    EXPECT_FALSE(condition());
    m_now += 50ms;
    EXPECT_TRUE(condition());
}

TEST_F(WatchingNode, WatchesAnOwnerThatRunsForLonger)
{
    read(7);
    m_now += 600ms;
    read(8);
    m_now += 900ms;
    EXPECT_FALSE(condition());
    m_now += 700ms;
    EXPECT_TRUE(condition());
}

TEST_F(WatchingNode, FailedTakeoverStartsTheWatchAnew)
{
    read(7);
    m_now += 900ms;
    ASSERT_TRUE(condition());
    m_watch.onTakeFailed(cell, m_now);
    EXPECT_FALSE(condition());
    EXPECT_TRUE(m_watch.isReadDue(cell, m_now));
}

TEST_F(WatchingNode, ReplacesAnOwnerThatRunsButReachesNobody)
{
    announce(owner.value().c_str(), { { cell, 3 } });
    for (RowVersion version = 1; version <= 8; ++version) {
        EXPECT_FALSE(condition()) << version;
        m_now += 400ms;
        announce("a-1");
        announce("b-1");
        read(version);
    }
    m_now += 300ms;
    announce("a-1");
    ASSERT_TRUE(condition()); // 3 s and more without announcements of the owner; those of the other nodes arrive.
    EXPECT_FALSE(condition()->rowVersion);
    EXPECT_EQ(condition()->term, Fence { 3 });
}

TEST_F(WatchingNode, DoesNotHoldTheSilenceOfAFormerOwnerAgainstTheNextOne)
{
    announce(owner.value().c_str(), { { cell, 3 } });
    read(1);
    m_now += 5s; // The owner has died, and another node has just taken the cell.
    announce("a-1");
    announce("b-1");
    m_watch.onRead(cell, { NodeId { "b-1" }, 4, 2 }, m_now, m_now);
    EXPECT_FALSE(condition());
}

TEST_F(WatchingNode, ReplacesNoRunningOwnerIfItReceivesNobodyItself)
{
    announce(owner.value().c_str(), { { cell, 3 } });
    announce("a-1");
    announce("b-1");
    for (RowVersion version = 1; version <= 20; ++version) {
        m_now += 400ms;
        read(version);
        EXPECT_FALSE(condition()) << version;
    }
}

TEST_F(WatchingNode, ReplacesNoRunningOwnerHoweverLongItReceivesNobody)
{
    announce(owner.value().c_str(), { { cell, 3 } });
    announce("a-1");
    for (RowVersion version = 1; version <= 60; ++version) {
        m_now += 400ms;
        read(version);
        EXPECT_FALSE(condition()) << version;
    }
}

TEST_F(WatchingNode, ReplacesNoRunningOwnerIfItHasReceivedNobodySinceItsStart)
{
    for (const char* address : { "owner-1:7000", "a-1:7000", "b-1:7000" })
        m_ownership.addAddress(address);
    for (RowVersion version = 1; version <= 20; ++version) {
        m_now += 400ms;
        read(version);
        EXPECT_FALSE(condition()) << version;
    }
}
