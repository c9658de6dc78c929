#include "memory_part_store.h"
#include "rattanrack/base/log.h"
#include "rattanrack/node/cell_host.h"

#include <gtest/gtest.h>

#include <map>
#include <mutex>
#include <string>
#include <thread>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

const PoolId pool { "p" };
const jobs::QueueId queue { "q" };

/// Workers that accept every start and never list an ended run.
class FakeWorkers final : public jobs::WorkerConnector {
public:
    std::unique_ptr<jobs::WorkerChannel> connect(const jobs::WorkerId&, const std::string&) override
    {
        return std::make_unique<Channel>(*this);
    }

    std::atomic<int> starts { 0 };
    std::atomic<int> polls { 0 };
    std::atomic<int> renewals { 0 }; ///< Polls that carried a lease.

private:
    class Channel final : public jobs::WorkerChannel {
    public:
        explicit Channel(FakeWorkers& workers)
            : m_workers(workers)
        {
        }

        jobs::CommandResult start(const jobs::StartCommand& command) override
        {
            const std::lock_guard lock(m_workers.m_mutex);
            ++m_workers.starts;
            m_workers.m_running.push_back({ command.task, command.run });
            return { jobs::CommandStatus::Done, jobs::RefusalReason::None, wallClockMilliseconds() };
        }
        jobs::CommandResult stop(const jobs::StopCommand&) override { return { jobs::CommandStatus::Done }; }
        jobs::CommandResult throttle(const jobs::ThrottleCommand&) override { return { jobs::CommandStatus::Done }; }
        jobs::PollResult poll(const jobs::PollCommand& command) override
        {
            const std::lock_guard lock(m_workers.m_mutex);
            m_workers.renewals += command.leaseUntilWorkerMs > 0 ? 1 : 0;
            ++m_workers.polls;
            return { jobs::CommandStatus::Done, jobs::RefusalReason::None,
                { 1, wallClockMilliseconds(), m_workers.m_running, {} } };
        }

    private:
        FakeWorkers& m_workers;
    };

    std::mutex m_mutex;
    std::vector<jobs::RunningRun> m_running;
};

class CellHostTest : public testing::Test {
protected:
    void SetUp() override
    {
        setLogLevel(LogLevel::Error);
        auto takeover = valueOrNothing([&] { return takeOverCell(store, clock, pool, NodeId { "n1" }); }).value();
        control.run([&] {
            CellHost::Parts parts { control, clock, metrics, log, loadMonitor, storeThreads, workerThreads, store,
                workers, nullptr, nullptr,
                [this](const jobs::CallerReply& reply) { ++(reply.isStored ? stored : refused); },
                [](const jobs::QueueAddress&) {}, [this] { ++lost; } };
            host = std::make_unique<CellHost>(
                std::move(parts), pool, CellTimeLimits { 4500ms, 120s, 900ms, 1500ms, 6s }, std::move(takeover));
        });
        configure(true);
    }

    jobs::Configuration configurationWith(bool enforcesCapacity) const
    {
        jobs::Configuration configuration { 1 };
        configuration.routes.push_back({ "h", "/", { queue, pool, 0, 3, 1.6, 600ms } });
        configuration.pools.push_back({ pool, false, enforcesCapacity });
        return configuration;
    }

    void configure(bool enforcesCapacity)
    {
        control.run([&] { host->configure(configurationWith(enforcesCapacity)); });
    }

    void TearDown() override
    {
        control.run([this] { host.reset(); });
        storeThreads.shutdown();
        workerThreads.shutdown();
    }

    void listWorkers(Duration age, Millicores capacity = Millicores { 1000 })
    {
        jobs::WorkerDescription worker { jobs::WorkerId { "w1" }, jobs::MachineId { "m1" }, pool, "10.0.0.1:1" };
        worker.capacity = { capacity, Mebibytes { 1000 }, {} };
        worker.incarnationUnixMs = 1;
        control.run([&] { host->setWorkers({ { worker }, clock.now() - age }); });
    }

    jobs::Acceptance submit(const char* id, const std::string& spec = "text")
    {
        jobs::Job job { jobs::JobId { id }, queue, wallClockMilliseconds(), { spec, { {} }, {} }, 3 };
        job.spec.steps[0].size = { Millicores { 100 }, Mebibytes { 10 }, {} };
        auto acceptance = jobs::Acceptance::Refused;
        control.run([&] { acceptance = host->submit(job, 1); });
        return acceptance;
    }

    void setDraining(const jobs::MachineId& machine)
    {
        control.run([&] { host->setDrainingMachines({ machine }); });
    }

    jobs::DrainedMachines drainedMachines()
    {
        jobs::DrainedMachines machines;
        control.run([&] { machines = host->drainedMachines(); });
        return machines;
    }

    /// Polls for three seconds until `condition` holds; returns whether it holds.
    template <typename Condition> static bool eventually(Condition condition)
    {
        for (int tries = 0; tries < 300 && !condition(); ++tries)
            std::this_thread::sleep_for(10ms);
        return condition();
    }

    SystemClock clock;
    Metrics metrics;
    CellLog log { clock };
    NodeLoadMonitor loadMonitor { metrics };
    tests::MemoryPartStore store;
    FakeWorkers workers;
    ElasticThreadPool storeThreads { 4, 16 };
    ElasticThreadPool workerThreads { 8, 16 };
    std::atomic<int> stored { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> lost { 0 };
    std::unique_ptr<CellHost> host;
    ControlLoop control { clock };
};

} // namespace

TEST_F(CellHostTest, NoRunStartsOnAStaleWorkerList)
{
    listWorkers(10s);
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return stored == 1; }));
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(workers.starts, 0);
    listWorkers(0s);
    EXPECT_TRUE(eventually([&] { return workers.starts == 1; }));
}

TEST_F(CellHostTest, WorkerThatHasLeftIsNotUsedAgainForAListThatWasRequestedEarlier)
{
    control.run([&] { host->setWorkers({ {}, clock.now() }); });
    listWorkers(200ms); // Requested before the list above, and received after it.
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return stored == 1; }));
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(workers.starts, 0);
    listWorkers(0s);
    EXPECT_TRUE(eventually([&] { return workers.starts == 1; }));
}

TEST_F(CellHostTest, OneMalformedRowDoesNotPreventTheTakeoverOfTheOthers)
{
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_EQ(submit("b"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return stored == 2; }));
    const auto write = [&](const char* table, const char* key, const std::string& value) {
        ASSERT_EQ(
            store.commit({ pool.value(), {}, { { { table, key }, value } } }).status, jobs::TransactionStatus::Done);
    };
    write(jobs::jobTable, "c", "not a job");
    write(jobs::progressTable, "b", "not progress");
    const auto takeover = valueOrNothing([&] { return takeOverCell(store, clock, pool, NodeId { "n2" }); });
    ASSERT_TRUE(takeover.has_value());
    std::map<std::string, bool> isFailed;
    for (const jobs::StoredJob& each : takeover->jobs)
        isFailed[each.job.id.value()] = each.progress.isFailed;
    // Which tasks of "b" and "c" have run is unknown, so that none may start, nor be submitted once more.
    EXPECT_EQ(isFailed, (std::map<std::string, bool> { { "a", false }, { "b", true }, { "c", true } }));
}

TEST_F(CellHostTest, ReportsOfFiniteTasksWithoutARunAreCountedByReason)
{
    listWorkers(10s);
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    std::this_thread::sleep_for(2s);
    const auto reports = [&](jobs::MissingRunReason reason) {
        return metrics.value("rattanrack_tasks_without_run_total", { { "reason", std::string { describe(reason) } } });
    };
    EXPECT_TRUE(eventually([&] { return reports(jobs::MissingRunReason::OwnerMayStartNothing) == 1; }));
    EXPECT_EQ(reports(jobs::MissingRunReason::NoRoom), 0);
}

TEST_F(CellHostTest, NoRunStartsOnAStaleWorkerListDuringAStoreOutage)
{
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return stored == 1; }));
    listWorkers(10s);
    std::this_thread::sleep_for(300ms); // Until the worker is stored in the owner row.
    store.isDown = true;
    std::this_thread::sleep_for(2s); // A renewal fails in between.
    EXPECT_EQ(workers.starts, 0);
}

TEST_F(CellHostTest, NoRunStartsOnAListFromBeforeAStoreOutageWhereWorkersMayHaveShrunk)
{
    configure(false);
    listWorkers(0s, Millicores { 0 });
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return stored == 1; }));
    std::this_thread::sleep_for(300ms); // Until the worker is stored in the owner row.
    store.isDown = true;
    std::this_thread::sleep_for(2s); // A renewal fails in between.
    listWorkers(2200ms);
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(workers.starts, 0);
    configure(true);
    EXPECT_TRUE(eventually([&] { return workers.starts == 1; }));
}

TEST_F(CellHostTest, OwnerThatMayHaveBeenReplacedDoesNotReportAJobAsUnknown)
{
    const auto isReportedUnknown = [&] {
        bool isUnknown = false;
        control.run([&] { isUnknown = !host->state(jobs::JobId { "a" }) && host->isJobListComplete(); });
        return isUnknown;
    };
    EXPECT_TRUE(isReportedUnknown());
    store.isDown = true;
    EXPECT_TRUE(eventually([&] { return !isReportedUnknown(); })); // Another owner may have accepted the job meanwhile.
    store.isDown = false;
    EXPECT_TRUE(eventually(isReportedUnknown));
}

TEST_F(CellHostTest, JobIsAcceptedAlthoughAResponseOfTheStoreWasLost)
{
    store.responsesToLose = 1;
    ASSERT_TRUE(eventually([&] { return store.responsesToLose == 0; }));
    EXPECT_EQ(submit("a"), jobs::Acceptance::Pending);
    EXPECT_TRUE(eventually([&] { return stored == 1; }));
    EXPECT_EQ(refused, 0);
}

TEST_F(CellHostTest, JobsAreRefusedOnceTheStoreHasNotRespondedForAWhile)
{
    store.responsesToLose = 1000;
    ASSERT_TRUE(eventually([&] { return store.responsesToLose < 1000; }));
    EXPECT_EQ(submit("a"), jobs::Acceptance::Pending);
    EXPECT_TRUE(eventually([&] { return refused == 1; })); // It is in no transaction.
    EXPECT_EQ(submit("b"), jobs::Acceptance::Refused);
    store.responsesToLose = 0;
    EXPECT_TRUE(eventually([&] { return submit("a") != jobs::Acceptance::Refused; }));
    EXPECT_TRUE(eventually([&] { return stored > 0; }));
}

TEST_F(CellHostTest, CallerReceivesTheCommitOutcomeWhenTheCellIsHandedBack)
{
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    control.run([&] { host->handBack(); });
    EXPECT_TRUE(eventually([&] { return lost == 1; }));
    EXPECT_EQ(stored, 1);
    const auto next = valueOrNothing([&] { return takeOverCell(store, clock, pool, NodeId { "n2" }); });
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(next->jobs.size(), 1U);
}

TEST_F(CellHostTest, CancelIsRefusedAtOnceWhileTheCellIsHandedBack)
{
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return stored == 1; }));
    std::optional<jobs::Acceptance> acceptance;
    control.run([&] {
        host->handBack();
        acceptance = host->cancel(jobs::JobId { "a" }, 2);
    });
    EXPECT_EQ(acceptance, jobs::Acceptance::Refused);
}

TEST_F(CellHostTest, JobListIsIncompleteIfTheOwnerWasReplacedBeforeItsHostWasCreated)
{
    const PoolId other { "other" };
    auto takeover = valueOrNothing([&] { return takeOverCell(store, clock, other, NodeId { "n1" }); }).value();
    ASSERT_TRUE(valueOrNothing([&] { return takeOverCell(store, clock, other, NodeId { "n2" }); }).has_value());
    std::this_thread::sleep_for(2100ms); // As if the node were paused, or read the rows slowly.
    bool isJobListComplete = true;
    control.run([&] {
        CellHost::Parts parts { control, clock, metrics, log, loadMonitor, storeThreads, workerThreads, store, workers,
            nullptr, nullptr, [](const jobs::CallerReply&) {}, [](const jobs::QueueAddress&) {}, [] {} };
        CellHost late { std::move(parts), other, CellTimeLimits { 4500ms, 120s, 900ms, 1500ms, 6s },
            std::move(takeover) };
        isJobListComplete = late.isJobListComplete();
    });
    EXPECT_FALSE(isJobListComplete);
}

/// Its entry may be of another writer.
TEST_F(CellHostTest, TakeoverWaitsForAWorkerWhoseMachineAnEntryOfAnotherPoolNames)
{
    listWorkers(0s);
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return workers.starts == 1; })); // The owner row names w1.
    jobs::Job waiting { jobs::JobId { "b" }, queue, wallClockMilliseconds(), { "text", { {} }, {} }, 3 };
    waiting.spec.steps[0].size = { Millicores { 5000 }, Mebibytes { 10 }, {} };
    control.run([&] { host->submit(waiting, 2); });
    ASSERT_TRUE(eventually([&] { return stored == 2; }));
    auto takeover = valueOrNothing([&] { return takeOverCell(store, clock, pool, NodeId { "n2" }); }).value();
    jobs::WorkerDescription own { jobs::WorkerId { "w2" }, jobs::MachineId { "m2" }, pool, "10.0.0.2:1" };
    own.capacity = { Millicores { 10000 }, Mebibytes { 1000 }, {} };
    own.incarnationUnixMs = 1;
    jobs::WorkerDescription moved { jobs::WorkerId { "w9" }, jobs::MachineId { "m1" }, PoolId { "other" },
        "10.0.0.1:1" };
    moved.incarnationUnixMs = 2;
    control.run([&] {
        CellHost::Parts parts { control, clock, metrics, log, loadMonitor, storeThreads, workerThreads, store, workers,
            nullptr, nullptr, [](const jobs::CallerReply&) {}, [](const jobs::QueueAddress&) {}, [] {} };
        host = std::make_unique<CellHost>(
            std::move(parts), pool, CellTimeLimits { 4500ms, 120s, 900ms, 1500ms, 6s }, std::move(takeover));
        host->configure(configurationWith(true));
        host->setWorkers({ { own, moved }, clock.now() });
    });
    const int polls = workers.polls;
    std::this_thread::sleep_for(1s);
    EXPECT_GT(workers.polls, polls); // Of w2.
    EXPECT_EQ(workers.starts, 1);
}

TEST_F(CellHostTest, NextOwnerStartsNothingOnAMachineThatWasAnnouncedAsDrained)
{
    listWorkers(0s);
    ASSERT_TRUE(eventually([&] { return workers.polls > 0; }));
    setDraining(jobs::MachineId { "m1" });
    ASSERT_TRUE(eventually([&] { return drainedMachines().size() == 1; }));
    auto takeover = valueOrNothing([&] { return takeOverCell(store, clock, pool, NodeId { "n2" }); }).value();
    control.run([&] {
        CellHost::Parts parts { control, clock, metrics, log, loadMonitor, storeThreads, workerThreads, store, workers,
            nullptr, nullptr, [this](const jobs::CallerReply&) { ++stored; }, [](const jobs::QueueAddress&) {}, [] {} };
        host = std::make_unique<CellHost>(
            std::move(parts), pool, CellTimeLimits { 4500ms, 120s, 900ms, 1500ms, 6s }, std::move(takeover));
    });
    configure(true);
    listWorkers(0s);
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return stored == 1; }));
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(workers.starts, 0);
}

TEST_F(CellHostTest, OwnerThatMayHaveBeenReplacedAnnouncesNoDrainedMachines)
{
    listWorkers(0s);
    setDraining(jobs::MachineId { "m1" });
    ASSERT_TRUE(eventually([&] { return drainedMachines().size() == 1; }));
    store.isDown = true;
    EXPECT_TRUE(eventually([&] { return drainedMachines().empty(); }));
}

TEST_F(CellHostTest, NoLeaseIsRenewedOnceTheCellMayBeHandedBack)
{
    listWorkers(0s);
    ASSERT_EQ(submit("a"), jobs::Acceptance::Pending);
    ASSERT_TRUE(eventually([&] { return workers.renewals > 0; }));
    store.areHandBackResponsesLost = true;
    control.run([&] { host->handBack(); });
    ASSERT_TRUE(eventually([&] {
        const auto rows = valueOrNothing([&] { return store.read({ jobs::ownerTable, pool.value(), {} }); });
        const auto row = valueOrNothing([&] { return jobs::decodeOwnerRow(rows->rows.at(0).value); });
        return row && !row->outstandingLeases.empty();
    }));
    std::this_thread::sleep_for(100ms); // Polls that were in flight.
    const int renewals = workers.renewals;
    const int polls = workers.polls;
    ASSERT_TRUE(eventually([&] { return workers.polls > polls + 3; }));
    EXPECT_EQ(workers.renewals, renewals);
    EXPECT_EQ(lost, 0);
    store.areHandBackResponsesLost = false;
    EXPECT_TRUE(eventually([&] { return lost == 1; }));
}

/// A row that the store takes in no transaction: the other jobs of the cell are stored and run.
TEST_F(CellHostTest, JobThatTheStoreRejectsDoesNotStopTheOthers)
{
    constexpr std::size_t rowLimit = 2000;
    store.maxRowBytes = rowLimit;
    listWorkers(0ms);
    submit("a");
    submit("large", std::string(2 * rowLimit, 'x'));
    for (const char* id : { "b", "c", "d", "e" })
        submit(id);
    EXPECT_TRUE(eventually([&] { return stored == 5 && refused == 1; })) << stored << " stored, " << refused;
    EXPECT_TRUE(eventually([&] { return workers.starts == 5; })) << workers.starts;
    const int rejections = store.rejections;
    submit("f");
    EXPECT_TRUE(eventually([&] { return stored == 6; }));
    EXPECT_EQ(store.rejections, rejections); // It is never sent again unchanged.
    EXPECT_GT(metrics.value("rattanrack_transactions_rejected_total", { { "part", "p" } }), 0);
}
