#include "rattanrack/jobs/ownership.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

/// Until when earlier owners of a cell may have granted leases, as announcements show.
namespace {

constexpr Duration ownershipTimeout = 5s;
const PoolId cell { "cell" };

TimePoint at(Duration since) { return TimePoint { 100s } + since; }

class EarlierGrants : public testing::Test {
protected:
    /// `process` runs on the machine with that address.
    void announce(const char* process, const char* address, std::vector<OwnedCell> cells, TimePoint now)
    {
        ownership.onAnnouncement(
            { NodeId { process }, address, ++m_sequences[process], false, true, std::move(cells) }, now);
    }
    TimePoint latestGrant(Fence term, TimePoint takenOverAt) const
    {
        return ownership.latestEarlierGrant(cell, term, takenOverAt, ownershipTimeout);
    }

    Ownership ownership { NodeId { "self-9" }, "10.0.0.9:7000", at(0s) };

private:
    std::map<std::string, std::uint64_t> m_sequences;
};

} // namespace

TEST_F(EarlierGrants, OwnerThatIsSilentMayGrantUntilItsAuthorityEnds)
{
    EXPECT_EQ(latestGrant(2, at(20s)), at(25s));
    announce("a1", "10.0.0.1:7000", { { cell, 1 } }, at(1s));
    EXPECT_EQ(latestGrant(2, at(20s)), at(25s));
}

TEST_F(EarlierGrants, OwnerThatAnnouncesTheCellNoMoreGrantsNothing)
{
    announce("a1", "10.0.0.1:7000", { { cell, 1 } }, at(1s));
    announce("a1", "10.0.0.1:7000", {}, at(21s));
    EXPECT_EQ(latestGrant(2, at(20s)), at(21s));
}

TEST_F(EarlierGrants, ProcessThatHasRestartedGrantsNothing)
{
    announce("a1", "10.0.0.1:7000", { { cell, 1 } }, at(1s));
    announce("a2", "10.0.0.1:7000", {}, at(21s));
    EXPECT_EQ(latestGrant(2, at(20s)), at(21s));
}

TEST_F(EarlierGrants, LateMessageOfAnEndedProcessReleasesNothing)
{
    announce("a1", "10.0.0.1:7000", {}, at(1s));
    announce("a2", "10.0.0.1:7000", { { cell, 1 } }, at(2s));
    announce("a1", "10.0.0.1:7000", {}, at(3s));
    EXPECT_EQ(latestGrant(2, at(20s)), at(25s));
}

TEST_F(EarlierGrants, OwnerBeforeThePreviousOneCounts)
{
    announce("a1", "10.0.0.1:7000", { { cell, 1 } }, at(1s));
    announce("b1", "10.0.0.2:7000", { { cell, 2 } }, at(18s));
    announce("b2", "10.0.0.2:7000", {}, at(20s));
    EXPECT_EQ(latestGrant(3, at(19s)), at(23s)); // The owner of term 1 is silent.
    announce("a2", "10.0.0.1:7000", {}, at(21s));
    EXPECT_EQ(latestGrant(3, at(19s)), at(21s));
}

TEST_F(EarlierGrants, AnnouncementFromBeforeTheTakeoverReleasesNothing)
{
    announce("a1", "10.0.0.1:7000", {}, at(1s));
    EXPECT_EQ(latestGrant(2, at(20s)), at(25s));
}

TEST_F(EarlierGrants, EarlierProcessOfThisNodeHasEnded)
{
    ownership.onPreviousOwner(cell, { NodeId { "self-1" }, 1, 0s }, at(2s));
    EXPECT_EQ(latestGrant(2, at(2s)), at(0s)); // The start of this process.
}

TEST_F(EarlierGrants, RestartedNodeNeedsNoAnnouncementOfEarlierTerms)
{
    announce("a-5", "10.0.0.1:7000", {}, at(1s));
    ownership.onPreviousOwner(cell, { NodeId { "a-4" }, 7, 0s }, at(2s));
    announce("a-5", "10.0.0.1:7000", {}, at(2100ms));
    EXPECT_EQ(latestGrant(8, at(2s)), at(1s));
}

TEST_F(EarlierGrants, AnnouncementFromBeforeTheRowWasReadProvesNoEnd)
{
    announce("a-5", "10.0.0.1:7000", {}, at(1s));
    ownership.onPreviousOwner(cell, { NodeId { "a-4" }, 7, 0s }, at(2s));
    EXPECT_EQ(latestGrant(8, at(2s)), at(7s));
}

/// The earlier process started while the wall clock was ahead.
TEST_F(EarlierGrants, StepOfTheWallClockProvesNoEnd)
{
    announce("a-9", "10.0.0.1:7000", {}, at(1s));
    announce("a-5", "10.0.0.1:7000", {}, at(2s));
    ownership.onPreviousOwner(cell, { NodeId { "a-5" }, 7, 0s }, at(3s));
    announce("a-9", "10.0.0.1:7000", {}, at(4s)); // Late.
    EXPECT_EQ(latestGrant(8, at(3s)), at(8s));
}

TEST_F(EarlierGrants, LaterProcessThatAnnouncesItselfAfterTheTakeoverProvesTheEnd)
{
    ownership.onPreviousOwner(cell, { NodeId { "a-4" }, 7, 0s }, at(2s));
    EXPECT_EQ(latestGrant(8, at(2s)), at(7s));
    announce("a-5", "10.0.0.1:7000", {}, at(3s));
    EXPECT_EQ(latestGrant(8, at(2s)), at(3s));
}

TEST_F(EarlierGrants, EarlierOrUnknownProcessProvesNothing)
{
    ownership.onPreviousOwner(cell, { NodeId { "a-4" }, 7, 0s }, at(2s));
    announce("a-3", "10.0.0.1:7000", {}, at(3s));
    announce("b-9", "10.0.0.2:7000", {}, at(3s));
    EXPECT_EQ(latestGrant(8, at(2s)), at(7s));
}

TEST_F(EarlierGrants, RowTellsUntilWhenOwnersBeforeThePreviousOneMayGrant)
{
    announce("a-5", "10.0.0.1:7000", {}, at(1s));
    ownership.onPreviousOwner(cell, { NodeId { "a-4" }, 7, 3s }, at(2s));
    announce("a-5", "10.0.0.1:7000", {}, at(2100ms));
    EXPECT_EQ(latestGrant(8, at(2s)), at(5s));
}

TEST_F(EarlierGrants, OwnerThatHandedBackGrantsNothing)
{
    ownership.onPreviousOwner(cell, { {}, 7, 0s }, at(2s));
    EXPECT_EQ(latestGrant(8, at(2s)), at(2s));
}

TEST_F(EarlierGrants, FirstTermHasNoEarlierOwner) { EXPECT_EQ(latestGrant(1, at(20s)), TimePoint {}); }
