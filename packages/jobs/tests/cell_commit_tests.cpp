#include "cell_harness.h"
#include "rattanrack/jobs/owned_part.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

/// Rows that the store takes in no transaction, and the size of the owner's row.
namespace {

constexpr std::size_t rowLimit = 65'536; ///< Of the store, in bytes.

Job smallJob(const std::string& id)
{
    Job job { JobId { id }, QueueId { "q" }, 1'000'000, { "text", { {} }, {} } };
    job.spec.steps[0].size = { Millicores { 10 }, Mebibytes { 1 }, {} };
    return job;
}

bool contains(const CellCommit& commit, const std::string& job)
{
    return std::any_of(
        commit.rows.begin(), commit.rows.end(), [&](const CellRow& row) { return row.job == JobId { job }; });
}

/// Carries out transactions until nothing is left to store, as a store that rejects those with the rows of `rejected`.
/// Returns the number of rejections.
int storeWithout(CellHarness& harness, const std::string& rejected)
{
    constexpr int mostTransactions = 100;
    int rejections = 0;
    for (int count = 0; count < mostTransactions && harness.cell().hasUncommittedChanges(); ++count) {
        const auto commit = harness.cell().takeCommit(1'000'000);
        if (commit && contains(*commit, rejected)) {
            ++rejections;
            harness.cell().onCommitRejected();
        } else {
            harness.cell().onCommitted(1'000'000);
        }
    }
    EXPECT_FALSE(harness.cell().hasUncommittedChanges());
    return rejections;
}

std::vector<WorkerDescription> workersNamed(int count, std::size_t nameBytes)
{
    std::vector<WorkerDescription> workers;
    for (int number = 0; number < count; ++number) {
        std::string name = std::to_string(number);
        name.resize(std::max(nameBytes, name.size()), 'x');
        WorkerDescription worker { WorkerId { name }, MachineId { name }, PoolId { "p" }, "10.0.0.1:1" };
        worker.capacity = { Millicores { 1000 }, Mebibytes { 1000 }, {} };
        worker.incarnationUnixMs = 1;
        workers.push_back(worker);
    }
    return workers;
}

std::size_t ownerRowBytes(const CellHarness& harness, Cell& cell)
{
    OwnerRow row { NodeId { "edge-a-1@1234567890123" }, 123'456, 1'234'567, cell.workersInUse() };
    row.outstandingLeases = cell.outstandingLeases(harness.now());
    row.earlierGrantsLeft = 5s;
    return encode(row).size();
}

} // namespace

TEST(CellCommit, OneJobThatTheStoreRejectsIsFoundAndTheOthersAreStored)
{
    CellHarness harness;
    constexpr int jobs = 40;
    for (int number = 0; number < jobs; ++number)
        harness.cell().submit(smallJob("j" + std::to_string(number)), 1, harness.now());
    EXPECT_LE(storeWithout(harness, "j17"), 7); // Halves of forty jobs, and then the job alone.
    for (int number = 0; number < jobs; ++number) {
        const bool isStored = harness.cell().state(JobId { "j" + std::to_string(number) }).has_value();
        EXPECT_EQ(isStored, number != 17) << number;
    }
}

TEST(CellCommit, StoredJobWhoseProgressTheStoreRejectsIsNotSentAgainUnlessItIsSmaller)
{
    CellHarness harness;
    harness.submitAndStore("a");
    harness.submitAndStore("b");
    harness.cell().cancel(JobId { "a" }, 1, 1'000'000);
    EXPECT_EQ(storeWithout(harness, "a"), 1);
    harness.cell().cancel(JobId { "b" }, 2, 1'000'000);
    EXPECT_EQ(storeWithout(harness, "a"), 0);
    EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Queued); // As it is stored.
    EXPECT_EQ(harness.cell().state(JobId { "b" }), JobState::Cancelled);
}

TEST(CellCommit, NoJobIsBlamedWhileTheOwnersRowAloneIsRejected)
{
    CellHarness harness;
    harness.cell().submit(smallJob("a"), 1, harness.now());
    ASSERT_TRUE(harness.cell().takeCommit(1'000'000));
    harness.cell().onCommitRejected();
    EXPECT_FALSE(harness.cell().takeCommit(1'000'000)); // The owner's row goes alone.
    EXPECT_TRUE(harness.cell().needsConfirmation());
    harness.cell().onCommitRejected();
    EXPECT_EQ(storeWithout(harness, "none"), 0);
    EXPECT_TRUE(harness.cell().state(JobId { "a" }));
}

/// An entry among the workers' to which nothing responds may be of another writer.
TEST(CellCommit, WorkerThatHasNotRespondedIsNotInTheOwnersRow)
{
    CellHarness harness;
    auto workers = harness.listed();
    workers.push_back(workers[0]);
    workers.back().id = WorkerId { "silent" };
    harness.listWorkers(workers);
    EXPECT_FALSE(harness.cell().workersInUse().contains(WorkerId { "silent" }));
    harness.advance(100ms);
    harness.answerPoll("silent", {});
    EXPECT_TRUE(harness.cell().workersInUse().contains(WorkerId { "silent" }));
}

TEST(CellCommit, OwnersRowHoldsAThousandWorkersWithUsualNames)
{
    CellHarness harness;
    harness.listWorkers(workersNamed(1000, 10));
    harness.advance(100ms);
    harness.answerAllPolls();
    EXPECT_EQ(harness.cell().workersInUse().size(), 1000U);
    EXPECT_EQ(harness.cell().workersWithoutRoom(), 0U);
    EXPECT_LT(ownerRowBytes(harness, harness.cell()), rowLimit);
}

TEST(CellCommit, OwnersRowStaysWithinARowOfTheStoreWithTheLongestNames)
{
    CellHarness harness;
    harness.listWorkers(workersNamed(350, 200));
    harness.advance(100ms);
    harness.answerAllPolls();
    EXPECT_LT(ownerRowBytes(harness, harness.cell()), rowLimit);
    EXPECT_GT(harness.cell().workersInUse().size(), 80U);
    EXPECT_EQ(harness.cell().workersInUse().size() + harness.cell().workersWithoutRoom(), 350U);
}
