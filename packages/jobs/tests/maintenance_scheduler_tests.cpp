#include "rattanrack/jobs/maintenance_scheduler.h"

#include <gtest/gtest.h>

#include <random>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Duration maintenanceTime = 2s;
constexpr Duration listLag = 300ms;

/// Machines in virtual time whose draining ones become empty after a while. Records how many machines were down at once
/// at most, how many were maintained, and how many were taken down while something ran on them.
class FleetSimulation {
public:
    FleetSimulation(int machines, int maxAtOnce, Duration timeLimit, double lostResponses)
        : m_lostResponses(lostResponses)
    {
        m_wave = { 1, {}, timeLimit, maxAtOnce };
        for (int number = 0; number < machines; ++number) {
            const MachineId id { "m" + std::to_string(number) };
            const PoolId pool { number % 5 == 4 ? "standby" : "pool" + std::to_string(number % 2) };
            m_machines[id]
                = { { id, pool, MachineState::Up, "a", "r", { Millicores { 16000 }, {}, {} }, workerOf(id, 1) } };
            m_wave.machines.push_back(id);
        }
        m_scheduler.setOwnedPools({ PoolId { "pool0" }, PoolId { "pool1" } });
        m_scheduler.setWaves({ m_wave }, unixMs(), m_now);
    }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += 100ms)
            tick();
    }

    /// Replaces the owner by one that has only the stored progress.
    void changeOwner()
    {
        m_scheduler = MaintenanceScheduler { { m_stored }, m_now + 3300ms };
        m_scheduler.setOwnedPools({ PoolId { "pool0" }, PoolId { "pool1" } });
        m_scheduler.setWaves({ m_wave }, unixMs(), m_now);
    }

    int maxDown() const { return m_maxDown; }
    int maintained() const { return m_maintained; }
    int interruptedMachines() const { return m_interruptedMachines; }
    bool isCompleted() const { return m_stored.isCompleted; }

private:
    struct State {
        Machine machine;
        TimePoint upAt {};
        TimePoint drainingSince {};
        int incarnations { 1 };
        bool isMaintained { false };
    };

    static WorkerId workerOf(const MachineId& machine, int incarnation)
    {
        return WorkerId { machine.value() + "-" + std::to_string(incarnation) };
    }
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }
    bool isDrained(const State& state) const
    {
        return state.drainingSince != TimePoint {} && m_now - state.drainingSince > 1500ms;
    }

    void tick()
    {
        int down = 0;
        DrainedMachines drained;
        const auto draining = m_scheduler.drainingMachines();
        for (auto& [id, state] : m_machines) {
            if (state.machine.state == MachineState::Maintenance && m_now >= state.upAt) {
                state.machine.state = MachineState::Up;
                state.machine.worker = workerOf(id, ++state.incarnations);
            }
            down += state.machine.state == MachineState::Maintenance ? 1 : 0;
            state.drainingSince = !draining.contains(id) ? TimePoint {}
                : state.drainingSince == TimePoint {}    ? m_now
                                                         : state.drainingSince;
            if (isDrained(state))
                drained.emplace(id, state.machine.worker);
        }
        m_maxDown = std::max(m_maxDown, down);
        m_scheduler.setDrainedMachines(drained);
        deliverList();
        const auto output = m_scheduler.advance(m_now, unixMs());
        for (const WaveProgress& progress : output.changedProgress)
            m_stored = progress;
        for (const MaintenanceCommand& command : output.commands)
            execute(command);
    }

    void deliverList()
    {
        std::vector<Machine> machines;
        for (const auto& [id, state] : m_machines)
            machines.push_back(state.machine);
        m_pendingLists.push_back(std::move(machines));
        if (m_pendingLists.size() > static_cast<std::size_t>(listLag / 100ms)) {
            m_scheduler.setMachines(m_pendingLists.front(), m_now - listLag, m_now);
            m_pendingLists.erase(m_pendingLists.begin());
        }
    }

    void execute(const MaintenanceCommand& command)
    {
        State& state = m_machines.at(command.machine);
        if (state.machine.state != MachineState::Up) {
            m_scheduler.onResult(command, MachineCommandStatus::Busy, m_now);
            return;
        }
        if (!state.isMaintained) {
            state.isMaintained = true;
            ++m_maintained;
            m_interruptedMachines += state.machine.pool != PoolId { "standby" } && !isDrained(state) ? 1 : 0;
            state.machine.state = MachineState::Maintenance;
            state.machine.worker = WorkerId {};
            state.upAt = m_now + maintenanceTime;
        }
        const bool isLost = std::uniform_real_distribution<> {}(m_random) < m_lostResponses;
        m_scheduler.onResult(command, isLost ? MachineCommandStatus::NoResponse : MachineCommandStatus::Done, m_now);
    }

    TimePoint m_now { 1000s };
    double m_lostResponses;
    std::mt19937_64 m_random { 5 };
    MaintenanceWave m_wave;
    std::map<MachineId, State> m_machines;
    std::vector<std::vector<Machine>> m_pendingLists;
    MaintenanceScheduler m_scheduler { {}, TimePoint {} };
    WaveProgress m_stored;
    int m_maxDown { 0 };
    int m_maintained { 0 };
    int m_interruptedMachines { 0 };
};

} // namespace

TEST(MaintenanceScheduler, WaveCompletesInTimeWithinItsLimit)
{
    FleetSimulation fleet { 25, 9, 28s, 0 };
    fleet.run(28s);
    EXPECT_EQ(fleet.maintained(), 25);
    EXPECT_TRUE(fleet.isCompleted());
    EXPECT_LE(fleet.maxDown(), 9);
    EXPECT_EQ(fleet.interruptedMachines(), 0);
}

TEST(MaintenanceScheduler, LimitOfOneMachineIsKept)
{
    FleetSimulation fleet { 6, 1, 60s, 0 };
    fleet.run(60s);
    EXPECT_TRUE(fleet.isCompleted());
    EXPECT_EQ(fleet.maxDown(), 1);
}

TEST(MaintenanceScheduler, MachinesWithoutResponseCountAsDown)
{
    FleetSimulation fleet { 20, 3, 60s, 0.4 };
    fleet.run(80s);
    EXPECT_EQ(fleet.maintained(), 20);
    EXPECT_TRUE(fleet.isCompleted());
    EXPECT_LE(fleet.maxDown(), 3);
    EXPECT_EQ(fleet.interruptedMachines(), 0);
}

TEST(MaintenanceScheduler, NextOwnerContinuesFromTheStoredProgress)
{
    FleetSimulation fleet { 20, 4, 60s, 0 };
    fleet.run(8s);
    fleet.changeOwner();
    fleet.run(8s);
    fleet.changeOwner();
    fleet.run(60s);
    EXPECT_EQ(fleet.maintained(), 20);
    EXPECT_TRUE(fleet.isCompleted());
    EXPECT_LE(fleet.maxDown(), 4);
}

TEST(MaintenanceScheduler, MachineStaysDrainingUntilItIsBack)
{
    const TimePoint now { 1000s };
    const MachineId id { "m" };
    const std::set<MachineId> only { id };
    Machine machine { id, PoolId { "p" }, MachineState::Up, "a", "r", { Millicores { 1 }, {}, {} }, WorkerId { "1" } };
    MaintenanceScheduler scheduler { {}, TimePoint {} };
    scheduler.setOwnedPools({ PoolId { "p" } });
    scheduler.setWaves({ { 1, { id }, 20s, 1 } }, 0, now);
    scheduler.setMachines({ machine }, now, now);
    EXPECT_TRUE(scheduler.advance(now, 0).commands.empty());
    EXPECT_EQ(scheduler.drainingMachines(), only);
    scheduler.setDrainedMachines({ { id, machine.worker } });
    ASSERT_EQ(scheduler.advance(now, 0).commands.size(), 1U);
    // Nothing may be started on the machine while the command is in flight.
    EXPECT_EQ(scheduler.drainingMachines(), only);
    (void)scheduler.advance(now + 200ms, 200);
    EXPECT_EQ(scheduler.drainingMachines(), only);
    scheduler.onResult({ id, 1 }, MachineCommandStatus::Done, now + 300ms);
    (void)scheduler.advance(now + 400ms, 400);
    EXPECT_EQ(scheduler.drainingMachines(), only);
    machine.worker = WorkerId { "2" };
    scheduler.setMachines({ machine }, now + 3s, now + 3s);
    (void)scheduler.advance(now + 3s, 3000);
    EXPECT_TRUE(scheduler.drainingMachines().empty());
}

TEST(MaintenanceScheduler, DrainOfAnEarlierWorkerSaysNothingOfTheNextOneOnTheMachine)
{
    const TimePoint now { 1000s };
    const MachineId id { "m" };
    Machine machine { id, PoolId { "p" }, MachineState::Up, "a", "r", { Millicores { 1 }, {}, {} }, WorkerId { "1" } };
    MaintenanceScheduler scheduler { {}, TimePoint {} };
    scheduler.setOwnedPools({ PoolId { "p" }, PoolId { "q" } });
    scheduler.setWaves({ { 1, { id }, 20s, 1 } }, 0, now);
    const DrainedMachines drainedInTheEarlierPool { { id, machine.worker } };
    machine.pool = PoolId { "q" };
    machine.worker = WorkerId { "2" };
    scheduler.setMachines({ machine }, now, now);
    (void)scheduler.advance(now, 0);
    scheduler.setDrainedMachines(drainedInTheEarlierPool);
    EXPECT_TRUE(scheduler.advance(now, 0).commands.empty());
    scheduler.setDrainedMachines({ { id, machine.worker } });
    EXPECT_EQ(scheduler.advance(now, 0).commands.size(), 1U);
}

namespace {

/// A wave of one machine, which the scheduler has received at `receivedAt`.
class LateList {
public:
    explicit LateList(std::vector<WaveProgress> stored = {})
        : m_scheduler(std::move(stored), TimePoint {})
    {
        m_scheduler.setOwnedPools({ PoolId { "p" } });
    }

    void receiveWave() { m_scheduler.setWaves({ { 1, { m_machine.id }, 30s, 1 } }, 0, receivedAt); }

    /// Delivers a list with or without the machine.
    void list(bool isContained, Duration requestedAfterWave, Duration receivedAfterWave)
    {
        m_scheduler.setMachines(isContained ? std::vector { m_machine } : std::vector<Machine> {},
            receivedAt + requestedAfterWave, receivedAt + receivedAfterWave);
    }

    bool isCompletedAt(Duration afterWave)
    {
        (void)m_scheduler.advance(receivedAt + afterWave, 0);
        return m_scheduler.waveProgress().at(0).isCompleted;
    }

    /// Whether the machine is to be drained for the wave.
    bool isDraining() const { return m_scheduler.drainingMachines().contains(m_machine.id); }

    static constexpr TimePoint receivedAt { 1000s };

private:
    Machine m_machine { MachineId { "m" }, PoolId { "p" }, MachineState::Up, "a", "r", { Millicores { 1 }, {}, {} },
        WorkerId { "1" } };
    MaintenanceScheduler m_scheduler;
};

} // namespace

/// The list of machines can't be read while machines come and waves name them.
TEST(MaintenanceScheduler, MachineThatWasNeverListedIsNotTakenForRemovedByAnEarlierList)
{
    LateList wave;
    wave.list(false, -10s, -9900ms);
    wave.receiveWave();
    EXPECT_FALSE(wave.isCompletedAt(100ms));
    EXPECT_FALSE(wave.isCompletedAt(20s)); // No list was requested since.
    wave.list(true, 20s, 20100ms);
    EXPECT_FALSE(wave.isCompletedAt(20200ms));
    EXPECT_TRUE(wave.isDraining());
}

TEST(MaintenanceScheduler, FirstListWithoutANewMachineDoesNotProveItsRemoval)
{
    LateList wave;
    wave.receiveWave();
    wave.list(false, 1s, 1100ms);
    EXPECT_FALSE(wave.isCompletedAt(10s)); // The list may lag behind.
    wave.list(true, 10s, 10100ms);
    EXPECT_FALSE(wave.isCompletedAt(10200ms));
    EXPECT_TRUE(wave.isDraining());
}

/// The list is out for longer than it takes to conclude a removal.
TEST(MaintenanceScheduler, ListFromBeforeTheOutageDoesNotProveARemoval)
{
    LateList wave;
    wave.receiveWave();
    wave.list(true, 0s, 100ms);
    wave.list(false, 200ms, 5s); // Requested early, received late.
    EXPECT_FALSE(wave.isCompletedAt(12s));
}

TEST(MaintenanceScheduler, RemovedMachineCompletesItsWave)
{
    LateList wave;
    wave.receiveWave();
    wave.list(true, 0s, 100ms);
    wave.list(false, 2s, 2100ms);
    EXPECT_FALSE(wave.isCompletedAt(2200ms));
    wave.list(false, 5s, 5100ms);
    EXPECT_TRUE(wave.isCompletedAt(5200ms));
}

/// It would count as down for ever, and the others of its wave would wait for it.
TEST(MaintenanceScheduler, MachineThatIsRemovedWhileItIsDownTakesNoPlaceInItsWave)
{
    const TimePoint begin { 1000s };
    const auto machine = [](const char* name) {
        return Machine { MachineId { name }, PoolId { "standby" }, MachineState::Up, "a", "r",
            { Millicores { 1 }, {}, {} }, WorkerId { name } };
    };
    MaintenanceScheduler scheduler { {}, TimePoint {} };
    scheduler.setWaves({ { 1, { MachineId { "m1" }, MachineId { "m2" } }, 60s, 1 } }, 0, begin);
    scheduler.setMachines({ machine("m1"), machine("m2") }, begin, begin);
    const auto first = scheduler.advance(begin, 0).commands;
    ASSERT_EQ(first.size(), 1U);
    scheduler.onResult(first[0], MachineCommandStatus::Done, begin);
    const Machine other = machine(first[0].machine == MachineId { "m1" } ? "m2" : "m1");
    scheduler.setMachines({ other }, begin + 1s, begin + 1s);
    EXPECT_TRUE(scheduler.advance(begin + 1s, 1000).commands.empty()); // It may be down.
    scheduler.setMachines({ other }, begin + 6s, begin + 6s);
    const auto next = scheduler.advance(begin + 6s, 6000).commands;
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].machine, other.id);
}

/// A node that takes the machines over has neither list nor history.
TEST(MaintenanceScheduler, NextOwnerDoesNotTakeAMachineForRemovedByItsFirstList)
{
    LateList next { { { 1, 0, {}, false } } };
    next.receiveWave();
    next.list(false, 100ms, 200ms);
    EXPECT_FALSE(next.isCompletedAt(300ms));
    EXPECT_FALSE(next.isCompletedAt(30s));
}

/// An earlier owner took a machine for removed that is listed again.
TEST(MaintenanceScheduler, CompletedWaveIsResumedIfOneOfItsMachinesIsListed)
{
    LateList next { { { 1, 0, {}, true } } };
    next.receiveWave();
    next.list(false, 100ms, 200ms);
    EXPECT_TRUE(next.isCompletedAt(300ms));
    next.list(true, 1s, 1100ms);
    EXPECT_FALSE(next.isCompletedAt(1200ms));
}

TEST(MaintenanceScheduler, StoredProgressRoundTrips)
{
    const WaveProgress progress { 4, 99, { MachineId { "a" }, MachineId { "b" } }, true };
    EXPECT_EQ(valueOrNothing([&] { return decodeWaveProgress(encode(progress)); }), progress);
    EXPECT_FALSE(valueOrNothing([] { return decodeWaveProgress("x"); }));
}
