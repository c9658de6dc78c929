#include "memory_part_store.h"
#include "rattanrack/base/log.h"
#include "rattanrack/node/machine_controller.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

const PoolId standbyPool { "standby" };

/// The machine's clock, which can be set forward as if the process had been paused.
class PausableClock final : public Clock {
public:
    TimePoint now() const override { return m_clock.now() + Duration { m_pausedFor.load() }; }
    void pauseFor(Duration time) { m_pausedFor += time.count(); }

private:
    SystemClock m_clock;
    std::atomic<Duration::rep> m_pausedFor { 0 };
};

/// One machine that is up, and a count of the commands that it has received.
class OneMachine final : public jobs::MachineService {
public:
    Result<std::vector<jobs::Machine>> list() override
    {
        ++lists;
        jobs::Machine machine { jobs::MachineId { "m1" }, standbyPool, jobs::MachineState::Up };
        return std::vector { machine };
    }
    jobs::MachineCommandStatus maintain(const jobs::MaintenanceCommand&, const std::string&, jobs::Fence) override
    {
        ++commands;
        return jobs::MachineCommandStatus::Done;
    }
    jobs::MachineCommandStatus move(const jobs::MoveCommand&, const std::string&, jobs::Fence) override
    {
        ++commands;
        return jobs::MachineCommandStatus::Done;
    }

    std::atomic<int> lists { 0 };
    std::atomic<int> commands { 0 };
};

class NoFleet final : public jobs::FleetSource {
public:
    Result<jobs::FleetDirectives> directives() override { return jobs::FleetDirectives {}; }
    Result<bool> waitForChange(jobs::RowVersion, Duration) override { return false; }
    [[nodiscard]] bool report(std::int64_t, bool) override { return true; }
    Result<std::vector<jobs::WorkerDescription>> workers() override { return std::vector<jobs::WorkerDescription> {}; }
};

class MachineControllerTest : public testing::Test {
protected:
    void SetUp() override
    {
        setLogLevel(LogLevel::Error);
        replaceOwner("n1");
    }

    /// The node with that name takes the part over.
    void replaceOwner(const char* name)
    {
        const NodeId node { name };
        auto takeover = valueOrNothing([&] { return takeOverMachines(store, clock, node); }).value();
        control.run([&] {
            MachineController::Parts parts { control, clock, threads, store, machines, fleet, node,
                [this] { ++losses; } };
            controller = std::make_unique<MachineController>(std::move(parts), std::move(takeover));
        });
    }

    void TearDown() override
    {
        control.run([&] { controller.reset(); });
        threads.shutdown();
    }

    void tick()
    {
        control.run([&] { controller->tick(); });
        std::this_thread::sleep_for(10ms);
    }

    void tickUntilLost()
    {
        for (int ticks = 0; ticks < 300 && losses == 0; ++ticks)
            tick();
    }

    /// Requests maintenance of the machine, once its list is known.
    void requestMaintenance()
    {
        for (int ticks = 0; ticks < 300 && machines.lists == 0; ++ticks)
            tick();
        tick();
        control.run([&] { controller->setWaves({ { 1, { jobs::MachineId { "m1" } }, 20s, 1 } }); });
    }

    PausableClock clock;
    tests::MemoryPartStore store;
    OneMachine machines;
    NoFleet fleet;
    ElasticThreadPool threads { 1, 16 };
    std::atomic<int> losses { 0 };
    std::unique_ptr<MachineController> controller;
    ControlLoop control { clock };
};

} // namespace

TEST_F(MachineControllerTest, CommandIsSentWhileTheOwnershipIsConfirmed)
{
    requestMaintenance();
    for (int ticks = 0; ticks < 300 && machines.commands == 0; ++ticks)
        tick();
    EXPECT_EQ(machines.commands, 1);
}

TEST_F(MachineControllerTest, CommandDecidedBeforeAPauseIsNotSentAfterTheOwnershipMayHaveEnded)
{
    requestMaintenance();
    std::promise<void> release;
    std::promise<void> blocked;
    ASSERT_TRUE(threads.submit([&] {
        blocked.set_value();
        release.get_future().wait();
    }));
    blocked.get_future().wait();
    tick(); // The command waits for the thread.
    clock.pauseFor(5s); // The next owner sends commands 3.3 s after its takeover.
    release.set_value();
    control.run([&] { controller->handBack(); }); // No further commands.
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(machines.commands, 0);
}

TEST_F(MachineControllerTest, NextOwnerDoesNotWaitWhenNoCommandCanBeUnderWay)
{
    for (int ticks = 0; ticks < 300 && machines.lists == 0; ++ticks)
        tick();
    control.run([&] { controller->handBack(); });
    for (int ticks = 0; ticks < 20; ++ticks)
        tick();
    replaceOwner("n2");
    requestMaintenance();
    for (int ticks = 0; ticks < 100 && machines.commands == 0; ++ticks)
        tick();
    EXPECT_EQ(machines.commands, 1);
}

TEST_F(MachineControllerTest, NextOwnerWaitsForTheCommandsOfTheFormerOne)
{
    requestMaintenance();
    for (int ticks = 0; ticks < 300 && machines.commands == 0; ++ticks)
        tick();
    ASSERT_EQ(machines.commands, 1);
    control.run([&] { controller->handBack(); });
    for (int ticks = 0; ticks < 20; ++ticks)
        tick();
    const auto takeover = valueOrNothing([&] { return takeOverMachines(store, clock, NodeId { "n2" }); }).value();
    EXPECT_GT(takeover.partTakeover.earlierGrantsLeft.value(), 2s);
    EXPECT_TRUE(takeover.partTakeover.previousHolder.isEmpty());
}

TEST_F(MachineControllerTest, OwnerThatWasReplacedIsTold)
{
    ASSERT_TRUE(valueOrNothing([&] { return takeOverMachines(store, clock, NodeId { "n2" }); }).has_value());
    tickUntilLost();
    EXPECT_EQ(losses, 1);
}

TEST_F(MachineControllerTest, OwnerIsToldThatItsHandBackIsStored)
{
    control.run([&] { controller->handBack(); });
    tickUntilLost();
    EXPECT_EQ(losses, 1);
}

TEST_F(MachineControllerTest, OwnerKeepsThePartWhileTheStoreDoesNotRespond)
{
    store.isDown = true;
    for (int ticks = 0; ticks < 100; ++ticks)
        tick();
    store.isDown = false;
    requestMaintenance();
    for (int ticks = 0; ticks < 300 && machines.commands == 0; ++ticks)
        tick();
    EXPECT_EQ(machines.commands, 1);
    EXPECT_EQ(losses, 0);
}

TEST_F(MachineControllerTest, OneMalformedRowDoesNotPreventTheTakeover)
{
    const std::string good = jobs::encode(jobs::WaveProgress { 2, 5, { jobs::MachineId { "m1" } }, true });
    const auto write = [&](const char* key, const std::string& value) {
        const jobs::PartTransaction transaction { machinePart.value(), {}, { { { "wave", key }, value } } };
        ASSERT_EQ(store.commit(transaction).status, jobs::TransactionStatus::Done);
    };
    write("1", "not a wave");
    write("2", good);
    const auto takeover = valueOrNothing([&] { return takeOverMachines(store, clock, NodeId { "n2" }); });
    ASSERT_TRUE(takeover.has_value());
    ASSERT_EQ(takeover->waves.size(), 1U);
    EXPECT_EQ(takeover->waves.front().number, 2);
}

/// The platform takes 100 rows in a transaction.
TEST_F(MachineControllerTest, ProgressOfMoreWavesThanATransactionHoldsIsStored)
{
    constexpr int waveCount = 150;
    std::vector<jobs::MaintenanceWave> waves;
    for (int number = 1; number <= waveCount; ++number)
        waves.push_back({ number, { jobs::MachineId { "m" + std::to_string(number) } }, 20s, 1 });
    control.run([&] { controller->setWaves(waves); });
    const auto storedWaves = [&] {
        const auto rows = valueOrNothing([&] { return store.read({ "wave", machinePart.value(), {} }); });
        return rows ? rows->rows.size() : 0;
    };
    for (int ticks = 0; ticks < 300 && storedWaves() < waveCount; ++ticks)
        tick();
    EXPECT_EQ(storedWaves(), static_cast<std::size_t>(waveCount));
    EXPECT_EQ(store.rejections, 0);
}
