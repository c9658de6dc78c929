#include "rattanrack/jobs/maintenance_scheduler.h"

#include <gtest/gtest.h>

#include <random>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Duration upkeepTime = 2s;
constexpr Duration listLag = 300ms;

/// Machines in virtual time whose owner empties what is closing after a while. The oracle: never more down at once than
/// the wave allows, never one on which something runs, each exactly once.
class Fleet {
public:
    Fleet(int machines, int cap, Duration within, double lostAnswers)
        : m_lostAnswers(lostAnswers)
    {
        m_wave = { 1, {}, within, cap };
        for (int number = 0; number < machines; ++number) {
            const MachineId id { "m" + std::to_string(number) };
            const PoolId pool { number % 5 == 4 ? "standby" : "pool" + std::to_string(number % 2) };
            m_machines[id]
                = { { id, pool, MachineState::Up, "a", "r", { Millicores { 16000 }, {}, {} }, worker(id, 1) } };
            m_wave.machines.push_back(id);
        }
        m_maintenance.setOwnedPools({ PoolId { "pool0" }, PoolId { "pool1" } });
        m_maintenance.setWaves({ m_wave }, unixMs());
    }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += 100ms)
            step();
    }

    /// The holder is gone; the next one knows what was stored.
    void changeHolder()
    {
        m_maintenance = MaintenanceScheduler { { m_stored }, m_now + 3300ms };
        m_maintenance.setOwnedPools({ PoolId { "pool0" }, PoolId { "pool1" } });
        m_maintenance.setWaves({ m_wave }, unixMs());
    }

    int mostDown() const { return m_mostDown; }
    int maintained() const { return m_maintained; }
    int endedWork() const { return m_endedWork; }
    bool isCompleted() const { return m_stored.isCompleted; }

private:
    struct State {
        Machine machine;
        TimePoint upAt {};
        TimePoint closedAt {};
        int lives { 1 };
        bool isMaintained { false };
    };

    static WorkerId worker(const MachineId& machine, int life)
    {
        return WorkerId { machine.value() + "-" + std::to_string(life) };
    }
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }
    bool isEmpty(const State& state) const { return state.closedAt != TimePoint {} && m_now - state.closedAt > 1500ms; }

    void step()
    {
        int down = 0;
        std::set<MachineId> emptied;
        const auto closing = m_maintenance.drainingMachines();
        for (auto& [id, state] : m_machines) {
            if (state.machine.state == MachineState::Maintenance && m_now >= state.upAt) {
                state.machine.state = MachineState::Up;
                state.machine.worker = worker(id, ++state.lives);
            }
            down += state.machine.state == MachineState::Maintenance ? 1 : 0;
            state.closedAt = !closing.contains(id) ? TimePoint {}
                : state.closedAt == TimePoint {}   ? m_now
                                                   : state.closedAt;
            if (isEmpty(state))
                emptied.insert(id);
        }
        m_mostDown = std::max(m_mostDown, down);
        m_maintenance.setDrainedMachines(emptied);
        list();
        const auto output = m_maintenance.advance(m_now, unixMs());
        for (const WaveProgress& progress : output.changedProgress)
            m_stored = progress;
        for (const MaintenanceCommand& order : output.commands)
            perform(order);
    }

    void list()
    {
        std::vector<Machine> machines;
        for (const auto& [id, state] : m_machines)
            machines.push_back(state.machine);
        m_lists.push_back(std::move(machines));
        if (m_lists.size() > static_cast<std::size_t>(listLag / 100ms)) {
            m_maintenance.setMachines(m_lists.front(), m_now - listLag, m_now);
            m_lists.erase(m_lists.begin());
        }
    }

    void perform(const MaintenanceCommand& order)
    {
        State& state = m_machines.at(order.machine);
        if (state.machine.state != MachineState::Up) {
            m_maintenance.onResult(order, MachineCommandStatus::Busy, m_now);
            return;
        }
        if (!state.isMaintained) {
            state.isMaintained = true;
            ++m_maintained;
            m_endedWork += state.machine.pool != PoolId { "standby" } && !isEmpty(state) ? 1 : 0;
            state.machine.state = MachineState::Maintenance;
            state.machine.worker = WorkerId {};
            state.upAt = m_now + upkeepTime;
        }
        const bool isLost = std::uniform_real_distribution<> {}(m_random) < m_lostAnswers;
        m_maintenance.onResult(order, isLost ? MachineCommandStatus::NoResponse : MachineCommandStatus::Done, m_now);
    }

    TimePoint m_now { 1000s };
    double m_lostAnswers;
    std::mt19937_64 m_random { 5 };
    MaintenanceWave m_wave;
    std::map<MachineId, State> m_machines;
    std::vector<std::vector<Machine>> m_lists;
    MaintenanceScheduler m_maintenance { {}, TimePoint {} };
    WaveProgress m_stored;
    int m_mostDown { 0 };
    int m_maintained { 0 };
    int m_endedWork { 0 };
};

} // namespace

TEST(Maintenance, WaveIsDoneInTimeWithinItsCap)
{
    Fleet fleet { 25, 9, 28s, 0 };
    fleet.run(28s);
    EXPECT_EQ(fleet.maintained(), 25);
    EXPECT_TRUE(fleet.isCompleted());
    EXPECT_LE(fleet.mostDown(), 9);
    EXPECT_EQ(fleet.endedWork(), 0);
}

TEST(Maintenance, SmallCapIsKept)
{
    Fleet fleet { 6, 1, 60s, 0 };
    fleet.run(60s);
    EXPECT_TRUE(fleet.isCompleted());
    EXPECT_EQ(fleet.mostDown(), 1);
}

TEST(Maintenance, LostAnswersCountAsDown)
{
    Fleet fleet { 20, 3, 60s, 0.4 };
    fleet.run(80s);
    EXPECT_EQ(fleet.maintained(), 20);
    EXPECT_TRUE(fleet.isCompleted());
    EXPECT_LE(fleet.mostDown(), 3);
    EXPECT_EQ(fleet.endedWork(), 0);
}

TEST(Maintenance, NextHolderGoesOnWhereTheLastEnded)
{
    Fleet fleet { 20, 4, 60s, 0 };
    fleet.run(8s);
    fleet.changeHolder();
    fleet.run(8s);
    fleet.changeHolder();
    fleet.run(60s);
    EXPECT_EQ(fleet.maintained(), 20);
    EXPECT_TRUE(fleet.isCompleted());
    EXPECT_LE(fleet.mostDown(), 4);
}

TEST(Maintenance, MachineStaysClosedUntilItIsBack)
{
    const TimePoint now { 1000s };
    const MachineId id { "m" };
    const std::set<MachineId> only { id };
    Machine machine { id, PoolId { "p" }, MachineState::Up, "a", "r", { Millicores { 1 }, {}, {} }, WorkerId { "1" } };
    MaintenanceScheduler maintenance { {}, TimePoint {} };
    maintenance.setOwnedPools({ PoolId { "p" } });
    maintenance.setWaves({ { 1, { id }, 20s, 1 } }, 0);
    maintenance.setMachines({ machine }, now, now);
    EXPECT_TRUE(maintenance.advance(now, 0).commands.empty());
    EXPECT_EQ(maintenance.drainingMachines(), only);
    maintenance.setDrainedMachines(only);
    ASSERT_EQ(maintenance.advance(now, 0).commands.size(), 1U);
    EXPECT_EQ(maintenance.drainingMachines(), only); // While the order is on its way, nothing may be put there.
    (void)maintenance.advance(now + 200ms, 200);
    EXPECT_EQ(maintenance.drainingMachines(), only);
    maintenance.onResult({ id, 1 }, MachineCommandStatus::Done, now + 300ms);
    (void)maintenance.advance(now + 400ms, 400);
    EXPECT_EQ(maintenance.drainingMachines(), only);
    machine.worker = WorkerId { "2" };
    maintenance.setMachines({ machine }, now + 3s, now + 3s);
    (void)maintenance.advance(now + 3s, 3000);
    EXPECT_TRUE(maintenance.drainingMachines().empty());
}

TEST(Maintenance, StoredProgressGoesThereAndBack)
{
    const WaveProgress progress { 4, 99, { MachineId { "a" }, MachineId { "b" } }, true };
    EXPECT_EQ(valueOrNothing([&] { return decodeWaveProgress(encode(progress)); }), progress);
    EXPECT_FALSE(valueOrNothing([] { return decodeWaveProgress("x"); }));
}
