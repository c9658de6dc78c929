#include "rattanrack/jobs/capacity_planner.h"
#include "rattanrack/jobs/drain_announcements.h"
#include "rattanrack/jobs/offered_load.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Duration moveTime = 1500ms;
constexpr std::int64_t machineMillicores = 16000;
const PoolId left { "left" };
const PoolId right { "right" };
const PoolId standby { "spare" };

/// Simulates two pools of 10 * `scale` machines each and 6 * `scale` standby machines in virtual time. A pool's demand
/// is met up to the capacity of its machines.
class PoolSimulation {
public:
    explicit PoolSimulation(int scale = 1)
    {
        for (int number = 0; number < 26 * scale; ++number) {
            const MachineId id { "m" + std::to_string(number) };
            const PoolId pool = number < 10 * scale ? left : number < 20 * scale ? right : standby;
            m_machines[id] = { { id, pool, MachineState::Up, "a", "r", { Millicores { machineMillicores }, {}, {} },
                pool == standby ? WorkerId {} : WorkerId { id.value() + "-1" } } };
        }
        m_planner.setPools({ left, right }, { standby });
    }

    /// Runs for `time` with the given demand of each pool, in cores.
    void run(int demandLeft, int demandRight, Duration time)
    {
        m_demand = { { left, demandLeft * 1000 }, { right, demandRight * 1000 } };
        for (const TimePoint until = m_now + time; m_now < until; m_now += 100ms)
            tick();
    }

    int upMachineCount(const PoolId& pool) const
    {
        int count = 0;
        for (const auto& [id, state] : m_machines)
            count += state.machine.pool == pool && state.machine.state == MachineState::Up ? 1 : 0;
        return count;
    }
    int moves() const { return m_moves; }
    int movesOfBusyMachines() const { return m_movesOfBusy; }
    double unmetCoreSeconds() const { return m_unmetCoreSeconds; }
    CapacityPlanner& planner() { return m_planner; }
    void rejectAllMoves() { m_rejectsMoves = true; }
    int rejections() const { return m_rejections; }

private:
    struct State {
        Machine machine;
        TimePoint upAt {};
        bool isBusy { false };
    };

    void tick()
    {
        std::set<MachineId> idle;
        std::vector<CellLoad> loads;
        for (const PoolId& pool : { left, right }) {
            std::int64_t remaining = m_demand.at(pool);
            for (auto& [id, state] : m_machines) {
                if (state.machine.pool != pool || state.machine.state != MachineState::Up)
                    continue;
                state.isBusy = remaining > 0;
                remaining -= machineMillicores;
                if (!state.isBusy)
                    idle.insert(id);
            }
            const std::int64_t waiting = std::max<std::int64_t>(remaining, 0);
            m_unmetCoreSeconds += static_cast<double>(waiting) / 1000 * 0.1;
            loads.push_back({ pool, Millicores { m_demand.at(pool) - waiting }, Millicores { waiting } });
        }
        std::vector<Machine> machines;
        for (auto& [id, state] : m_machines) {
            if (state.machine.state == MachineState::Moving && m_now >= state.upAt) {
                state.machine.state = MachineState::Up;
                if (state.machine.pool != standby)
                    state.machine.worker = WorkerId { id.value() + "-" + std::to_string(++m_incarnations) };
            }
            machines.push_back(state.machine);
        }
        m_planner.setMachines(machines, m_now);
        m_planner.setMovableMachines(idle);
        DrainedMachines drained;
        for (const MachineId& id : idle)
            drained.emplace(id, m_machines.at(id).machine.worker);
        m_planner.setDrainedMachines(std::move(drained));
        m_planner.setLoads(loads, m_now);
        for (const MoveCommand& command : m_planner.advance(m_now))
            execute(command);
    }

    void execute(const MoveCommand& command)
    {
        if (m_rejectsMoves) {
            ++m_rejections;
            m_planner.onResult(command, MachineCommandStatus::Impossible, m_now);
            return;
        }
        State& state = m_machines.at(command.machine);
        ++m_moves;
        m_movesOfBusy += state.isBusy ? 1 : 0;
        state.machine.pool = command.pool;
        state.machine.state = MachineState::Moving;
        state.machine.worker = WorkerId {};
        state.upAt = m_now + moveTime;
        state.isBusy = false;
        m_planner.onResult(command, MachineCommandStatus::Done, m_now);
    }

    TimePoint m_now { 1000s };
    CapacityPlanner m_planner { {}, TimePoint {} };
    std::map<MachineId, State> m_machines;
    std::map<PoolId, std::int64_t> m_demand;
    int m_moves { 0 };
    int m_movesOfBusy { 0 };
    int m_incarnations { 1 };
    double m_unmetCoreSeconds { 0 };
    bool m_rejectsMoves { false };
    int m_rejections { 0 };
};

} // namespace

TEST(DrainAnnouncements, AnnouncementOfAnEarlierDrainDoesNotCountForALaterOne)
{
    const MachineId machine { "m" };
    DrainAnnouncements announcements;
    announcements.record({ machine }, 5);
    EXPECT_FALSE(announcements.isKnownAt(machine, 4));
    EXPECT_TRUE(announcements.isKnownAt(machine, 5));
    announcements.record({}, 6);
    EXPECT_FALSE(announcements.isKnownAt(machine, 6));
    announcements.record({ machine }, 8);
    announcements.record({ machine }, 9);
    // An owner that has received the announcements up to 7 has not been informed of the present drain, which is first
    // announced by 8.
    EXPECT_FALSE(announcements.isKnownAt(machine, 7));
    EXPECT_TRUE(announcements.isKnownAt(machine, 8));
}

TEST(OfferedLoad, RateShowsAnOverloadWhileTheSubmittedWorkIsStillWaiting)
{
    const Millicores capacity { 160'000 };
    TimePoint now { 1000s };
    OfferedLoad load;
    for (int job = 0; job < 40; ++job) { // 40 jobs per second, each of 5 core-seconds.
        load.record(Millicores { 10'000 }, 500ms, capacity, now);
        now += 25ms;
    }
    EXPECT_GT(load.rate(now).count(), 150'000);
    EXPECT_LT(load.rate(now).count(), 250'000);
    EXPECT_EQ(load.rate(now + 2s).count(), 0);
}

TEST(OfferedLoad, OneLargeJobIsNoOverload)
{
    const Millicores capacity { 160'000 };
    const TimePoint now { 1000s };
    OfferedLoad load;
    load.record(Millicores { 200'000 }, 4s, capacity, now);
    EXPECT_LE(load.rate(now).count(), capacity.count() / 5);
}

TEST(CapacityPlanner, LoadBelowCapacityMovesNoMachines)
{
    PoolSimulation pools;
    pools.run(60, 100, 30s);
    EXPECT_EQ(pools.moves(), 0);
}

TEST(CapacityPlanner, OverloadedPoolBorrowsTheStandbyMachines)
{
    PoolSimulation pools;
    pools.run(20, 20, 5s);
    pools.run(230, 20, 3s);
    EXPECT_EQ(pools.upMachineCount(left), 16);
    EXPECT_EQ(pools.upMachineCount(right), 10);
    EXPECT_EQ(pools.movesOfBusyMachines(), 0);
    // Without lent machines, a demand of 70 cores would remain unmet for all three seconds.
    EXPECT_LT(pools.unmetCoreSeconds(), 70 * 3.0 * 0.7);
}

TEST(CapacityPlanner, LargePoolBorrowsMachinesAsFastAsASmallOne)
{
    constexpr int scale = 8;
    PoolSimulation pools { scale };
    pools.run(20 * scale, 20 * scale, 5s);
    pools.run(230 * scale, 20 * scale, 3s);
    EXPECT_EQ(pools.upMachineCount(left), 16 * scale);
    EXPECT_LT(pools.unmetCoreSeconds(), 70 * 3.0 * 0.7 * scale);
}

TEST(CapacityPlanner, LentMachinesReturnAfterTheOverload)
{
    PoolSimulation pools;
    pools.run(230, 20, 5s);
    pools.run(10, 20, 8s);
    EXPECT_EQ(pools.upMachineCount(standby), 6);
    EXPECT_EQ(pools.upMachineCount(left), 10);
    EXPECT_EQ(pools.moves(), 12);
}

TEST(CapacityPlanner, LentMachinesMoveOnToTheNextOverloadedPool)
{
    PoolSimulation pools;
    pools.run(230, 10, 5s);
    pools.run(10, 230, 4s);
    EXPECT_EQ(pools.upMachineCount(right), 16);
    EXPECT_EQ(pools.upMachineCount(left), 10);
    EXPECT_EQ(pools.moves(), 12);
    EXPECT_EQ(pools.movesOfBusyMachines(), 0);
}

TEST(CapacityPlanner, FluctuatingLoadDoesNotMoveMachinesBackAndForth)
{
    PoolSimulation pools;
    for (int second = 0; second < 30; ++second)
        pools.run(second % 2 == 0 ? 170 : 100, 10, 1s);
    EXPECT_LE(pools.moves(), 12);
}

TEST(CapacityPlanner, MachineKindThatAPoolRejectedIsNotMovedThereAgain)
{
    PoolSimulation pools;
    pools.rejectAllMoves();
    pools.run(230, 20, 5s);
    EXPECT_EQ(pools.upMachineCount(left), 10);
    EXPECT_LE(pools.rejections(), 6); // All requested before the first rejection was received.
}

TEST(CapacityPlanner, ReservedMachinesAreNotMoved)
{
    PoolSimulation pools;
    std::set<MachineId> all;
    for (int number = 0; number < 26; ++number)
        all.insert(MachineId { "m" + std::to_string(number) });
    pools.planner().setReservedMachines(all);
    pools.run(230, 230, 5s);
    EXPECT_EQ(pools.moves(), 0);
}
