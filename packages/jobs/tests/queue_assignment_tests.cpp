#include "late_part_store.h"
#include "rattanrack/jobs/cell_queues.h"
#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/owned_part.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

const QueueAddress queue { "a.example/jobs/" };
const PoolId here { "here" };
const PoolId there { "there" };

class QueueAssignmentTest : public testing::Test {
protected:
    QueueAssignmentTest() { store.isCalm = true; }

    QueueClaimResult claim(const PoolId& cell, std::uint64_t version, std::uint64_t closedThrough = 0)
    {
        return valueOrNothing([&] { return claimQueue(store, { queue, cell, version, closedThrough }); }).value();
    }

    void close(const PoolId& cell, std::uint64_t version) { write(cell, closedQueueRow(queue, version)); }

    void putJob(const PoolId& cell, const std::string& id, const QueueAddress& address)
    {
        Job job { JobId { id }, QueueId { "q" }, 5, { "text", { {} }, {} } };
        job.queueAddress = address;
        write(cell, { { jobTable, id }, encode(job) });
    }

    void removeJob(const PoolId& cell, const std::string& id) { write(cell, { { jobTable, id }, std::nullopt }); }

    LatePartStore store { 1 };

private:
    void write(const PoolId& cell, RowWrite row)
    {
        ASSERT_EQ(store.commit({ cell.value(), {}, { std::move(row) } }).status, TransactionStatus::Done);
    }
};

std::shared_ptr<const QueueRoutes> routesTo(const PoolId& cell)
{
    return std::make_shared<const QueueRoutes>(QueueRoutes { { queue, cell } });
}

QueueAssignments assignedTo(const PoolId& cell, std::uint64_t version, RowVersion rowVersion = 1)
{
    return { { { queue, { cell, version, {}, rowVersion } } }, rowVersion };
}

} // namespace

TEST_F(QueueAssignmentTest, FirstClaimAssignsTheQueue)
{
    const auto first = claim(here, 7);
    EXPECT_EQ(first.status, QueueClaimStatus::Claimed);
    EXPECT_EQ(first.assignment.cell, here);
    EXPECT_EQ(claim(here, 9).assignment, first.assignment); // Nothing is written again.
}

TEST_F(QueueAssignmentTest, QueueIsNotClaimedBeforeTheEarlierCellHasClosedIt)
{
    claim(here, 7);
    EXPECT_EQ(claim(there, 8).status, QueueClaimStatus::NotReleased);
    close(here, 6); // By an earlier configuration than the one by which it has the queue.
    EXPECT_EQ(claim(there, 8).status, QueueClaimStatus::NotReleased);
    close(here, 8);
    EXPECT_EQ(claim(there, 8).status, QueueClaimStatus::Claimed);
}

TEST_F(QueueAssignmentTest, ClaimByAnOlderConfigurationIsOutdated)
{
    claim(here, 7);
    EXPECT_EQ(claim(there, 6).status, QueueClaimStatus::Outdated);
    EXPECT_EQ(claim(here, 8, 8).status, QueueClaimStatus::Outdated); // Closed through the same version.
    EXPECT_EQ(claim(here, 9, 8).status, QueueClaimStatus::Claimed);
}

TEST_F(QueueAssignmentTest, ClaimReadsTheJobsOfEarlierCells)
{
    claim(here, 7);
    putJob(here, "j1", queue);
    putJob(here, "j2", QueueAddress { "a.example/other/" });
    putJob(here, "j3", {}); // Written by an earlier release.
    close(here, 8);
    const auto claimed = claim(there, 8);
    EXPECT_EQ(claimed.earlierJobs, (std::vector<EarlierJob> { { JobId { "j1" }, here }, { JobId { "j3" }, here } }));
    EXPECT_EQ(claimed.assignment.earlierCells, std::vector { here });
}

TEST_F(QueueAssignmentTest, EarlierCellWithoutJobsIsRemoved)
{
    claim(here, 7);
    putJob(here, "j1", queue);
    close(here, 8);
    EXPECT_EQ(claim(there, 8).assignment.earlierCells, std::vector { here });
    removeJob(here, "j1");
    EXPECT_TRUE(claim(there, 8).assignment.earlierCells.empty());
}

TEST_F(QueueAssignmentTest, ClosedQueueKeepsItsAssignmentUntilEarlierCellsHaveNoJobs)
{
    claim(here, 7);
    putJob(here, "j1", queue);
    close(here, 8);
    const AssignedQueue ended { queue, claim(there, 8).assignment };
    close(there, 9);
    const auto remove = [&] { return valueOrNothing([&] { return removeUnusedAssignment(store, ended); }).value(); };
    EXPECT_FALSE(remove());
    removeJob(here, "j1");
    EXPECT_TRUE(remove());
    EXPECT_TRUE(valueOrNothing([&] { return readQueueAssignments(store); })->byQueue.empty());
}

TEST(CellQueuesTest, QueueIsOpenOnlyWhileAssigned)
{
    CellQueues queues { here, {} };
    EXPECT_EQ(queues.access(queue), QueueAccess::Elsewhere);
    queues.configure(7, routesTo(here));
    EXPECT_EQ(queues.access(queue), QueueAccess::Claimable);
    queues.setAssignments(assignedTo(here, 7));
    EXPECT_EQ(queues.access(queue), QueueAccess::Open);
    queues.configure(8, routesTo(there));
    EXPECT_EQ(queues.access(queue), QueueAccess::Elsewhere);
    EXPECT_EQ(queues.acceptingCell(queue), there);
}

TEST(CellQueuesTest, ConfigurationThatIsNotLaterThanTheAssignmentClosesNothing)
{
    CellQueues queues { here, {} };
    queues.configure(6, routesTo(there));
    queues.setAssignments(assignedTo(here, 7));
    EXPECT_EQ(queues.access(queue), QueueAccess::Open);
    EXPECT_TRUE(queues.queuesToClose().empty());
}

TEST(CellQueuesTest, QueueIsNotOpenWhileItsCloseIsInFlight)
{
    CellQueues queues { here, {} };
    queues.setAssignments(assignedTo(here, 7));
    queues.configure(8, routesTo(there));
    ASSERT_EQ(queues.queuesToClose(), std::vector { queue });
    queues.closeQueue(queue);
    queues.configure(9, routesTo(here)); // The route is back before the outcome is known.
    EXPECT_NE(queues.access(queue), QueueAccess::Open);
    queues.onClosesNotStored();
    EXPECT_EQ(queues.access(queue), QueueAccess::Open);
}

TEST(CellQueuesTest, QueueWithEarlierCellsIsNotOpenBeforeTheirJobsAreRead)
{
    CellQueues queues { here, {} };
    queues.configure(8, routesTo(here));
    QueueAssignments assignments = assignedTo(here, 8);
    assignments.byQueue.at(queue).earlierCells = { there };
    queues.setAssignments(assignments);
    EXPECT_EQ(queues.access(queue), QueueAccess::Claimable);
    queues.onClaimResult(
        queue, { QueueClaimStatus::Claimed, assignments.byQueue.at(queue), { { JobId { "j1" }, there } } });
    EXPECT_EQ(queues.access(queue), QueueAccess::Open);
    EXPECT_EQ(queues.cellOfEarlierJob(queue, JobId { "j1" }), there);
    EXPECT_EQ(queues.otherCells(queue), std::vector { there });
}

/// The result belongs to an assignment that has ended; the queue is back with jobs in another cell.
TEST(CellQueuesTest, LateClaimResultDoesNotStandForTheJobsOfALaterAssignment)
{
    CellQueues queues { here, {} };
    queues.configure(7, routesTo(here));
    const QueueAssignments first = assignedTo(here, 7);
    queues.setAssignments(first);
    queues.configure(8, routesTo(there));
    queues.closeQueue(queue);
    queues.onClosesStored();
    queues.onClaimResult(queue, { QueueClaimStatus::Claimed, first.byQueue.at(queue), {} });
    queues.configure(9, routesTo(here));
    QueueAssignments later = assignedTo(here, 9, 3);
    later.byQueue.at(queue).earlierCells = { there };
    queues.setAssignments(later);
    EXPECT_EQ(queues.access(queue), QueueAccess::Claimable);
}

TEST(CellQueuesTest, QueueThatIsRoutedElsewhereByNowIsNotClaimed)
{
    CellQueues queues { here, {} };
    queues.setAssignments(assignedTo(there, 7));
    queues.configure(7, routesTo(there));
    ASSERT_TRUE(queues.claim(queue, 8));
    queues.configure(9, routesTo(there));
    EXPECT_FALSE(queues.claim(queue, 8));
}

TEST(CellQueuesTest, QueuesToClaimAndToCloseFollowEachChange)
{
    const std::vector<QueueAddress> none;
    const std::vector one { queue };
    CellQueues queues { here, {} };
    queues.configure(7, routesTo(here));
    EXPECT_EQ(queues.queuesToClaim(), none);
    queues.setAssignments(assignedTo(there, 6));
    EXPECT_EQ(queues.queuesToClaim(), one);
    queues.onClaimResult(queue, { QueueClaimStatus::Claimed, { here, 7, { there }, 2 }, {} });
    EXPECT_EQ(queues.queuesToClaim(), none);
    EXPECT_EQ(queues.queuesToClose(), none);
    queues.configure(8, routesTo(there));
    EXPECT_EQ(queues.queuesToClose(), one);
    queues.closeQueue(queue);
    EXPECT_EQ(queues.queuesToClose(), none);
    queues.onClosesNotStored();
    EXPECT_EQ(queues.queuesToClose(), one);
    queues.setAssignments({ {}, 3 });
    EXPECT_EQ(queues.queuesToClose(), none);
}

TEST(CellQueuesTest, QueueOfAnEarlierReleaseIsClaimedWithoutACall)
{
    CellQueues queues { here, {} };
    queues.configure(7, routesTo(here));
    EXPECT_TRUE(queues.queuesToClaim().empty());
    queues.setQueuesOfEarlierRelease({ queue });
    EXPECT_EQ(queues.queuesToClaim(), std::vector { queue });
    queues.setAssignments(assignedTo(here, 7));
    EXPECT_TRUE(queues.queuesToClaim().empty());
}

TEST(CellQueuesTest, CallByALaterConfigurationMayClaimTheQueue)
{
    CellQueues queues { here, {} };
    queues.setAssignments(assignedTo(there, 7));
    queues.configure(7, routesTo(there));
    EXPECT_EQ(queues.access(queue, 7), QueueAccess::Elsewhere);
    EXPECT_EQ(queues.access(queue, 8), QueueAccess::Claimable);
    EXPECT_EQ(queues.claim(queue, 8)->configurationVersion, 8);
}

TEST(CellQueuesTest, AssignmentEndsWithItsQueueUnlessAnotherCellClaimsIt)
{
    CellQueues queues { here, {} };
    QueueAssignments assignments = assignedTo(here, 7);
    assignments.byQueue.at(queue).earlierCells = { there };
    queues.setAssignments(assignments);
    queues.configure(8, std::make_shared<const QueueRoutes>());
    queues.closeQueue(queue);
    EXPECT_TRUE(queues.closedQueuesWithoutSuccessor().empty()); // The close is in flight.
    queues.onClosesStored();
    EXPECT_EQ(queues.closedQueuesWithoutSuccessor().size(), 1);
    queues.setAssignments(assignedTo(there, 9, 2));
    EXPECT_TRUE(queues.closedQueuesWithoutSuccessor().empty());
}

TEST(CellsInUse, CellOfAcceptedJobsIsInUseWithoutARoute)
{
    Configuration configuration;
    configuration.routes.push_back({ "a.example", "/jobs/", { QueueId { "q" }, there } });
    QueueAssignments assignments = assignedTo(there, 8);
    assignments.byQueue.at(queue).earlierCells = { here };
    EXPECT_EQ(cellsInUse(configuration, {}), std::set { there });
    EXPECT_EQ(cellsInUse(configuration, assignments), (std::set { here, there }));
    EXPECT_EQ(cellsInUse({}, assignments), (std::set { here, there }));
}
