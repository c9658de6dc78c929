#include "platform_server.h"
#include "worker_group.h"

#include "rattanrack/platform/http_object_store.h"
#include "rattanrack/platform/http_table.h"
#include "rattanrack/platform/http_vm_list.h"
#include "rattanrack/platform/http_worker.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::platform;
using namespace rattanrack::standin;
using namespace std::chrono_literals;

namespace {

VmDescription vm()
{
    VmDescription description;
    description.id = VmId { "w1" };
    description.address = "127.0.0.1:0";
    description.capacity = { Millicores { 16000 }, Mebibytes { 65536 }, Accelerators { 0 } };
    description.slots = Slots { 2 };
    description.connections = 16;
    return description;
}

TaskOrder order(const std::string& attempt, Duration runTime = 0ms, Duration lease = 20s)
{
    TaskOrder task;
    task.request = RequestId { "request of " + attempt };
    task.attempt = AttemptId { attempt };
    task.poolEpoch = 5;
    task.payload = attempt;
    task.declaredRunTime = runTime;
    task.lease = Deadline::after(SystemClock {}.now(), lease);
    return task;
}

class StandinWorker : public testing::Test {
protected:
    AttemptState stateOf(const std::string& attempt) { return m_client->attempt(AttemptId { attempt }).value().state; }
    void awaitRunning(const std::string& attempt)
    {
        while (stateOf(attempt) != AttemptState::Running)
            std::this_thread::yield();
    }
    std::thread startLong(const std::string& attempt, TaskOutcome& outcome)
    {
        std::thread runner { [this, attempt, &outcome] { outcome = m_client->run(order(attempt, 1h)); } };
        awaitRunning(attempt);
        return runner;
    }

    TaskLog m_log;
    std::unique_ptr<WorkerServer> m_server = WorkerServer::create(vm(), m_log, 1).value();
    std::unique_ptr<HttpWorker> m_client = HttpWorker::create(m_server->address()).value();
};

} // namespace

TEST_F(StandinWorker, RunsAnAttemptOnceHoweverOftenItIsOrdered)
{
    EXPECT_EQ(m_client->run(order("a1")).output, "echo:a1");
    EXPECT_EQ(m_client->run(order("a1")).output, "echo:a1");
    EXPECT_EQ(m_log.entries(0, 10).size(), 1U);
}

TEST_F(StandinWorker, RefusesRevokedOldAndSurplusWork)
{
    EXPECT_EQ(m_client->revoke(AttemptId { "a1" }).value().state, AttemptState::Revoked);
    EXPECT_EQ(m_client->run(order("a1")).status, TaskStatus::RefusedRevoked);
    const auto bootId = m_client->report().value().bootId;
    EXPECT_FALSE(m_client->setDraining(true, 6, bootId + 1)) << "an order to another boot";
    EXPECT_TRUE(m_client->setDraining(true, 6, bootId));
    EXPECT_EQ(m_client->run(order("a2")).status, TaskStatus::RefusedEpoch);
    auto current = order("a3");
    current.poolEpoch = 6;
    EXPECT_EQ(m_client->run(current).status, TaskStatus::RefusedDraining);
    EXPECT_FALSE(m_client->setDraining(false, 5, bootId));
    EXPECT_TRUE(m_log.entries(0, 10).empty());
}

TEST_F(StandinWorker, StopsCheckpointsAndRefusesWhenFull)
{
    TaskOutcome first;
    TaskOutcome second;
    auto firstRunner = startLong("a1", first);
    auto secondRunner = startLong("a2", second);
    EXPECT_EQ(m_client->run(order("a3")).status, TaskStatus::RefusedBusy);
    const auto bootId = m_client->report().value().bootId;
    ASSERT_TRUE(m_client->setDraining(true, 5, bootId));
    EXPECT_FALSE(m_client->reboot(5, bootId)) << "tasks are running";
    EXPECT_TRUE(m_client->stop(AttemptId { "a1" }, StopMode::Stop));
    EXPECT_TRUE(m_client->stop(AttemptId { "a2" }, StopMode::Checkpoint));
    firstRunner.join();
    secondRunner.join();
    EXPECT_EQ(first.status, TaskStatus::Stopped);
    EXPECT_EQ(second.output.substr(0, 11), "checkpoint:");
    EXPECT_EQ(m_client->revoke(AttemptId { "a1" }).value().state, AttemptState::Stopped);
}

TEST_F(StandinWorker, EndsATaskWhoseLeaseLapses)
{
    EXPECT_EQ(m_client->run(order("a1", 1h, 20ms)).status, TaskStatus::Stopped);
    EXPECT_EQ(m_log.entries(0, 10).front().state, "lease_lapsed");
}

TEST_F(StandinWorker, RenewedLeaseLetsATaskComplete)
{
    TaskOutcome outcome;
    std::thread runner { [&] { outcome = m_client->run(order("a1", 3200ms, 3s)); } };
    awaitRunning("a1");
    EXPECT_TRUE(m_client->renewLease(AttemptId { "a1" }, Deadline::after(SystemClock {}.now(), 20s)));
    runner.join();
    EXPECT_EQ(outcome.status, TaskStatus::Completed);
    EXPECT_FALSE(m_client->renewLease(AttemptId { "a1" }, Deadline::after(SystemClock {}.now(), 20s)));
}

TEST_F(StandinWorker, DeathKillsAndRefusesConnectionsUntilItIsBack)
{
    TaskOutcome outcome;
    auto runner = startLong("a1", outcome);
    m_server->setFaults({ .isDead = true });
    runner.join();
    EXPECT_EQ(outcome.status, TaskStatus::Unknown);
    EXPECT_EQ(HttpWorker::create(m_server->address()).value()->run(order("a2")).status, TaskStatus::NotSent);
    m_server->setFaults({});
    EXPECT_EQ(stateOf("a1"), AttemptState::Stopped);
    EXPECT_EQ(m_log.entries(0, 10).front().state, "killed");
}

TEST_F(StandinWorker, FaultyAnswersAreNeverTakenForCompleted)
{
    m_server->setFaults({ .truncate = 1 });
    EXPECT_EQ(m_client->run(order("a1")).status, TaskStatus::Unknown);
    m_server->setFaults({ .doubled = 1 });
    for (const char* attempt : { "a2", "a3", "a4" }) {
        const auto outcome = m_client->run(order(attempt));
        EXPECT_TRUE(outcome.status == TaskStatus::Unknown || outcome.output == std::string { "echo:" } + attempt);
    }
    m_server->setFaults({ .failsEverything = true });
    EXPECT_EQ(m_client->run(order("a5")).status, TaskStatus::Failed);
}

TEST(StandinPlatform, KeepsRowsObjectsAndItsHistory)
{
    const auto server = PlatformServer::create("127.0.0.1:0", { vm() }, 1).value();
    const auto table = HttpTable::create(server->address()).value();
    const auto first = table->commit({ { { "a", 0 } }, { { "a", "1" }, { "b", "2" } } });
    EXPECT_EQ(table->commit({ { { "a", 0 } }, { { "a", "x" } } }).status, CommitStatus::Conflict);
    EXPECT_EQ(table->commit({ {}, { { "b", std::nullopt } } }).status, CommitStatus::Done);
    EXPECT_EQ(table->read({ "b", "a", "c" }).value(), (Rows { { "a", "1", first.version } }));
    EXPECT_TRUE(table->scan("a", first.version, 10).value().empty());
    EXPECT_EQ(server->table().history(0, 10).size(), 3U);

    const auto store = HttpObjectStore::create(server->address()).value();
    const std::string bytes { "\xff\0 +%&", 6 };
    EXPECT_TRUE(store->put("answer/a 1+%", bytes));
    EXPECT_EQ(store->read("answer/a 1+%").value(), bytes);
    EXPECT_FALSE(store->read("other"));
    EXPECT_EQ(HttpVmList::create(server->address()).value()->list().value(), std::vector { vm() });
}

TEST(StandinPlatform, FaultsLoseAnswersButNotEffects)
{
    const auto server = PlatformServer::create("127.0.0.1:0", {}, 1).value();
    const auto table = HttpTable::create(server->address()).value();
    server->setFaults({ .loseAnswer = 1 });
    EXPECT_EQ(table->commit({ {}, { { "a", "1" } } }).status, CommitStatus::Unknown);
    EXPECT_EQ(table->read({ "a" }).value().size(), 1U);
    server->setFaults({ .applyLate = 1, .lateBy = 1ms });
    EXPECT_EQ(table->commit({ {}, { { "b", "1" } } }).status, CommitStatus::Unknown);
    while (table->read({ "b" }).value().empty())
        std::this_thread::yield();
    server->setFaults({ .isDown = true });
    EXPECT_EQ(table->commit({ {}, { { "c", "1" } } }).status, CommitStatus::Unavailable);
    EXPECT_FALSE(table->read({ "a" }));
}

TEST(StandinPlatform, ListLags)
{
    LaggingList list { { vm() } };
    list.setLag(2s);
    const TimePoint start { 100s };
    EXPECT_TRUE(list.setState(VmId { "w1" }, VmState::Leaving, start));
    EXPECT_EQ(list.visible(start + 1s).front().state, VmState::Live);
    EXPECT_EQ(list.visible(start + 2s).front().state, VmState::Leaving);
}
